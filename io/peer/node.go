package peer

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"trefoildeck/io/rows"
)

// NodeTable is the store's table of processes, by which they find each other.
const NodeTable = "node"

// Node describes a process in NodeTable. The row's key is the name of the machine
// on which it runs.
type Node struct {
	Name       string `json:"-"`
	Address    netip.AddrPort
	DataCentre string
	Role       string
	// Boot is unique to each start of the process.
	Boot string
	// ProcessorShare is the fraction of a core, such as 0.25, that the process may
	// use; 0 if unknown.
	ProcessorShare float64 `json:",omitempty"`
	// Refusals says that an entry tells stored refusals from jobs.
	Refusals bool `json:",omitempty"`
}

// Row encodes the node as its row.
func (n Node) Row() (rows.Row, error) {
	b, err := json.Marshal(n)
	if err != nil {
		return rows.Row{}, fmt.Errorf("encode node: %w", err)
	}

	return rows.Row{
		Table: NodeTable,
		Key:   n.Name,
		Value: b,
	}, nil
}

// DecodeNode decodes a node's row.
func DecodeNode(r rows.Row) (Node, error) {
	var n Node
	if err := json.Unmarshal(r.Value, &n); err != nil {
		return Node{}, fmt.Errorf("decode node %q: %w", r.Key, err)
	}

	n.Name = r.Key

	return n, nil
}
