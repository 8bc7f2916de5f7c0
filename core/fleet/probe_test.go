package fleet

import (
	"testing"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

const (
	probeJob = "00000000000000d0"
	laterJob = "00000000000000e0"
)

// quarantine makes a worker fail tasks of several jobs.
func quarantine(f *Fleet, node string) {
	for i := range quarantineThreshold {
		id := "00000000000000f" + string(rune('0'+i))
		r := record(id, step(1))
		r.MaxAttempts = 9
		f.Add(0, 0, r)
		f.RecordEnd(0, node, end(node, int64(i+1), id, 1, gate.Failed).End)
		f.Cancel(id)
	}
}

// TestProbeNotRecorded checks that a worker is used again after its probe ended in a way that
// says nothing of the worker: it was never sent a start again.
func TestProbeNotRecorded(t *testing.T) {
	gang := step(2)
	gang.Gang = true
	gang.AntiAffinity = 1

	pair := step(2)
	pair.AntiAffinity = 1

	tests := map[string]struct {
		step job.Step
		// stop ends the probe on n1. The other task of a pair or gang runs on n2.
		stop func(*Fleet)
	}{
		"Cancelled": {
			step: step(1),
			stop: func(f *Fleet) {
				f.Cancel(probeJob)
				f.RecordEnd(minQuarantine, "n1", end("n1", 9, probeJob, 1, gate.Stopped).End)
			},
		},
		"JobFailed": {
			step: pair,
			stop: func(f *Fleet) {
				other := end("n2", 1, probeJob, 1, gate.Failed).End
				other.Task.Index = 1 - f.workers["n1"].health.probe.Index
				f.RecordEnd(minQuarantine, "n2", other)

				e := end("n1", 9, probeJob, 1, gate.Stopped).End
				e.Task = f.workers["n1"].health.probe
				f.RecordEnd(minQuarantine, "n1", e)
			},
		},
		"GangDone": {
			step: gang,
			stop: func(f *Fleet) {
				other := end("n2", 1, probeJob, 1, gate.Done).End
				other.Task.Index = 1 - f.workers["n1"].health.probe.Index
				f.RecordEnd(minQuarantine, "n2", other)
			},
		},
		"Lost": {
			step: step(1),
			stop: func(f *Fleet) {
				f.Cancel(probeJob)
				f.Disconnected("n1")
				f.Report(minQuarantine, "n1", described("n1"))
			},
		},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			f := New(1)
			f.Report(0, "n1", described("n1"))
			quarantine(f, "n1")
			assert.Equal(t, len(f.Quarantines()), 1)

			if c.step.Count > 1 {
				f.Report(0, "n2", described("n2"))
			}

			r := record(probeJob, c.step)
			r.MaxAttempts = 1
			f.Add(0, 0, r)
			assert.Equal(t, len(starts(f.Schedule(minQuarantine, time.Time{}))["n1"]), 1, "the probe")

			c.stop(f)
			f.Disconnected("n2")
			f.Add(0, 0, record(laterJob, step(1)))
			assert.Equal(t, len(starts(f.Schedule(minQuarantine, time.Time{}))["n1"]), 1)
		})
	}
}

// TestProbeOfCancelledJob checks that the end of a probe is judged although its job is over: a
// worker that is sound waited for another probe.
func TestProbeOfCancelledJob(t *testing.T) {
	f := New(1)
	f.Report(0, "n1", described("n1"))
	quarantine(f, "n1")
	f.Add(0, 0, record(probeJob, step(1)))
	assert.Equal(t, len(starts(f.Schedule(minQuarantine, time.Time{}))["n1"]), 1, "the probe")

	f.Cancel(probeJob)
	f.RecordEnd(minQuarantine, "n1", end("n1", 9, probeJob, 1, gate.Done).End)

	f.Add(0, 0, record(laterJob, step(2)))
	assert.Equal(t, len(starts(f.Schedule(minQuarantine, time.Time{}))["n1"]), 2)
}
