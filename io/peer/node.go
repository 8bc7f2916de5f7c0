package peer

import (
	"encoding/json"
	"fmt"
	"net/netip"

	"trefoildeck/io/rows"
)

// NodeTable is the store's table in which processes find each other.
const NodeTable = "node"

// Node is the row of a process, named by its machine.
type Node struct {
	Name       string `json:"-"`
	Address    netip.AddrPort
	DataCentre string
	Role       string
	// Boot differs with each start of the process.
	Boot string
	// ProcessorShare is the part of a core that the process has; 0 if not known.
	ProcessorShare float64 `json:",omitempty"`
}

// Row returns the node's row.
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

// DecodeNode reads a node's row.
func DecodeNode(r rows.Row) (Node, error) {
	var n Node
	if err := json.Unmarshal(r.Value, &n); err != nil {
		return Node{}, fmt.Errorf("decode node %q: %w", r.Key, err)
	}

	n.Name = r.Key

	return n, nil
}
