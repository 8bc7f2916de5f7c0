package settings

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestLimits checks that the error names the file, the section and the key of a limit.
func TestLimits(t *testing.T) {
	tests := map[string]struct{ text, want string }{
		"Good":         {"Descriptors = 4100\nConnections = 10\nBodyTime = 5s\nRequestMemoryMB = 20", ""},
		"Descriptors":  {"Descriptors = -1", "Descriptors"},
		"Connections":  {"Connections = many", "Connections"},
		"Checks":       {"CheckConnections = 0", "CheckConnections"},
		"Peers":        {"PeerConnections = 0", "PeerConnections"},
		"Memory":       {"RequestMemoryMB = 200", "RequestMemoryMB"},
		"LittleMemory": {"RequestMemoryMB = 1", "RequestMemoryMB"},
		"Bodies":       {"Bodies = -1", "Bodies"},
		"PerAddress":   {"BodiesPerAddress = -1", "BodiesPerAddress"},
		"HeaderTime":   {"HeaderTime = 0s", "HeaderTime"},
		"IdleTime":     {"IdleTime = 2h", "IdleTime"},
		"BodyTime":     {"BodyTime = 0s", "BodyTime"},
		"BodyGrace":    {"BodyGrace = -1s", "BodyGrace"},
		"BodyRate":     {"BodyBytesPerSecond = x", "BodyBytesPerSecond"},
		"Key":          {"Connection = 1", "Connection"},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			_, err := ParseNode("node.ini", []byte(nodeText+"[Limits]\n"+c.text+"\n"))
			if c.want == "" {
				assert.NilError(t, err)

				return
			}

			assert.ErrorContains(t, err, "node.ini: [Limits] "+c.want)
		})
	}
}

// TestDerivedLimits checks the limits that are derived from the memory and the descriptors of the
// users' machines: the largest body is accepted, the bursts of the customers' callers fit in, and what
// clients hold at most leaves half of the memory to the process.
func TestDerivedLimits(t *testing.T) {
	const (
		// burst is the number of jobs that are cancelled at once.
		burst = 900
		body  = 262_144
	)

	tests := map[string]struct {
		memory                   string
		descriptors, connections int
	}{
		"SmallestEntry": {"184", 4100, 1570},
		"Entry":         {"284", 8192, 2423},
		"LargestEntry":  {"536", 8192, 3816},
		"FewFiles":      {"536", 4100, 1770},
		"Test":          {"64", 20_000, 546},
		"NoFiles":       {"64", 100, 16},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			n, err := ParseNode("node.ini", []byte(strings.Replace(nodeText, "MemoryMB = 152", "MemoryMB = "+c.memory, 1)))
			assert.NilError(t, err)

			l := n.CallerLimits(int64(c.descriptors))
			assert.Equal(t, l.Connections, c.connections)
			assert.Assert(t, l.Connections*2 <= max(2*minConnections, c.descriptors-reservedDescriptors))
			assert.Assert(t, l.Bytes >= 8*body)
			assert.Assert(t, int64(l.Connections)*connectionBytes+l.Bytes <= n.Node.MemoryMB<<20*55/100)
			assert.Equal(t, l.BodyGrace, 3*time.Second)

			if n.Node.MemoryMB >= 184 {
				assert.Assert(t, l.BodiesPerAddress > burst)
			}
		})
	}
}

// TestSetLimits checks that limits that are set are used, within the descriptors of the process.
func TestSetLimits(t *testing.T) {
	n, err := ParseNode("node.ini", []byte(nodeText+`[Limits]
Descriptors = 2000
Connections = 5000
Bodies = 100
BodiesPerAddress = 7
RequestMemoryMB = 20
PeerConnections = 5
CheckConnections = 10
BodyTime = 9s
`))
	assert.NilError(t, err)

	l := n.CallerLimits(4000)
	assert.Equal(t, l.Connections, (2000-reservedDescriptors-5-20)/2)
	assert.Equal(t, l.Bodies, 100)
	assert.Equal(t, l.BodiesPerAddress, 7)
	assert.Equal(t, l.Bytes, int64(20<<20))
	assert.Equal(t, l.BodyTime, 9*time.Second)
	assert.Equal(t, n.PeerLimits().Connections, 5)
	assert.Equal(t, n.CheckLimits().Connections, 10)
}
