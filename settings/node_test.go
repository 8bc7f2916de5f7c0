package settings

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

const nodeText = `[Node]
Name = side-1
DataCentre = lannion
IP = 10.1.0.13
AnnouncementAddress = 10.1.0.13:8166
PeerPort = 7720
MemoryMB = 152
[Store]
Address = 10.200.1.7:8169
[Worker]
Address = 10.1.0.13:8165
Service = orders
[Bounds]
DrainGrace = 6s
`

// TestNode checks that the error names the file and the section or key of a problem.
func TestNode(t *testing.T) {
	tests := map[string]struct {
		old, new string
		want     string
	}{
		"Good":     {"", "", ""},
		"Address":  {"10.200.1.7:8169", "store", "Address"},
		"IP":       {"IP = 10.1.0.13", "IP = x", "IP"},
		"Ports":    {"PeerPort = 7720", "PeerPort = 0", "PeerPort"},
		"Duration": {"6s", "six", "DrainGrace"},
		"RowBytes": {"Address = 10.200.1.7:8169", "Address = 10.200.1.7:8169\nRowBytes = 9", "RowBytes"},
		"Section":  {"[Bounds]", "[Limit]", "Limit"},
		"Key":      {"MemoryMB", "MemoryGB", "MemoryGB"},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			n, err := ParseNode("node.ini", []byte(strings.Replace(nodeText, c.old, c.new, 1)))
			if c.want == "" {
				assert.NilError(t, err)
				assert.NilError(t, n.CheckAgent("node.ini"))
				assert.ErrorContains(t, n.CheckEntry("node.ini"), "CallerAddress")

				return
			}

			assert.ErrorContains(t, err, c.want)
			assert.ErrorContains(t, err, "node.ini")
		})
	}
}

// FuzzParseNode checks that no input makes the parser panic.
func FuzzParseNode(f *testing.F) {
	f.Add(nodeText)
	f.Fuzz(func(_ *testing.T, text string) {
		// Only panics are failures.
		_, _ = ParseNode("node.ini", []byte(text))
	})
}
