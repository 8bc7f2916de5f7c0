package settings

import (
	"strings"
	"testing"

	"trefoildeck/core/backlog"

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

		"LookAhead":     {"[Bounds]", "[Scheduling]\nLookAhead = true\n[Bounds]", ""},
		"LookAheadOnce": {"[Bounds]", "[Scheduling]\nLookAhead = once\n[Bounds]", "[Scheduling] LookAhead"},
		"LookAheadKey":  {"[Bounds]", "[Scheduling]\nLookahead = true\n[Bounds]", "Lookahead"},
		"Order":         {"[Bounds]", "[Scheduling]\nOrder = Random\n[Bounds]", "[Scheduling] Order"},
		// The work ahead of a job is known only in the fair order.
		"Admission":  {"[Bounds]", "[Scheduling]\nAdmission = true\n[Bounds]", "[Scheduling] Admission"},
		"Preemption": {"[Bounds]", "[Scheduling]\nPreemption = yes\n[Bounds]", "[Scheduling] Preemption"},
		"Scheduling": {"[Bounds]", "[Scheduling]\nOrder = Fair\nAdmission = true\nPreemption = true\n[Bounds]", ""},
		"Colocation": {"[Bounds]", "[Scheduling]\nColocation = 2\n[Bounds]", "[Scheduling] Colocation"},
		"Speeds":     {"[Bounds]", "[Scheduling]\nSlowWorkers = perhaps\n[Bounds]", "SlowWorkers"},
		"Racks":      {"[Bounds]", "[Scheduling]\nRackWaits = 1.5\n[Bounds]", "RackWaits"},
		"Factor":     {"[Bounds]", "[Scheduling]\nRemoteFactor = 0.5\n[Bounds]", "RemoteFactor"},
		"Interval":   {"[Bounds]", "[Scheduling]\nCheckpointInterval = 100ms\n[Bounds]", "CheckpointInterval"},
		"NoFactor":   {"[Bounds]", "[Scheduling]\nRemoteFactor = NaN\n[Bounds]", "RemoteFactor"},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			n, err := ParseNode("node.ini", []byte(strings.Replace(nodeText, c.old, c.new, 1)))
			if c.want == "" {
				assert.NilError(t, err)
				assert.Equal(t, n.Scheduling.LookAhead, strings.Contains(c.new, "LookAhead = true"), "it is off by default")
				assert.Equal(t, n.Scheduling.ReportsProgress(), n.Scheduling.LookAhead)
				assert.NilError(t, n.CheckAgent("node.ini"))
				assert.ErrorContains(t, n.CheckEntry("node.ini"), "CallerAddress")

				return
			}

			assert.ErrorContains(t, err, c.want)
			assert.ErrorContains(t, err, "node.ini")
		})
	}
}

// TestScheduling checks that the parts of the scheduler are off without a key, and on with it.
func TestScheduling(t *testing.T) {
	n, err := ParseNode("node.ini", []byte(nodeText))
	assert.NilError(t, err)
	assert.Equal(t, n.Scheduling, SchedulingSection{Order: backlog.ByDeadline})
	assert.Equal(t, n.Scheduling.RemoteRunFactor(), 1.5)

	n, err = ParseNode("node.ini", []byte(nodeText+"[Scheduling]\nSlowWorkers = true\nRackWaits = true\nRemoteFactor = 2.5\n"))
	assert.NilError(t, err)
	assert.Assert(t, n.Scheduling.SlowWorkers && n.Scheduling.RackWaits)
	assert.Equal(t, n.Scheduling.RemoteRunFactor(), 2.5)
}

// FuzzParseNode checks that no input makes the parser panic.
func FuzzParseNode(f *testing.F) {
	f.Add(nodeText)
	f.Fuzz(func(_ *testing.T, text string) {
		// Only panics are failures.
		_, _ = ParseNode("node.ini", []byte(text))
	})
}
