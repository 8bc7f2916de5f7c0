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

// atWork returns a report of runs that a worker is known to run.
func atWork(node string, runs ...gate.Run) Report {
	r := described(node)
	r.Full = false

	for _, g := range runs {
		g.Confirmed, g.OrderKnown = true, true
		r.Runs = append(r.Runs, g)
	}

	return r
}

// TestLongProbe checks that a probe that works for long ends the quarantine, which waited for its
// end, and one that a worker is not known to run doesn't.
func TestLongProbe(t *testing.T) {
	for name, confirmed := range map[string]bool{"AtWork": true, "InDoubt": false} {
		t.Run(name, func(t *testing.T) {
			f := New(1)
			f.Report(0, "n1", described("n1"))
			quarantine(f, "n1")
			f.Add(0, 0, record(probeJob, step(1)))
			f.Add(0, 0, record(laterJob, step(1)))

			now := minQuarantine
			assert.Equal(t, len(starts(f.Schedule(now, time.Time{}))["n1"]), 1, "the probe")

			if confirmed {
				f.Report(now, "n1", atWork("n1", gate.Run{
					Task:    f.workers["n1"].health.probe,
					Attempt: 1,
				}))
			}

			assert.Equal(t, f.NextWake(now), now+lastingProbeDelay)
			assert.Equal(t, f.NextWake(now+lastingProbeDelay), now+provenAfter)
			assert.Equal(t, len(starts(f.Schedule(now+provenAfter-1, time.Time{}))), 0)

			want := 0
			if confirmed {
				want = 1
			}

			assert.Equal(t, len(starts(f.Schedule(now+provenAfter, time.Time{}))["n1"]), want)
		})
	}
}

// TestLastingProbe checks that a worker that is asked to run long-running tasks alone gets one as a
// probe: it was in quarantine until a task that ends had succeeded.
func TestLastingProbe(t *testing.T) {
	lasting := step(3)
	lasting.LongRunning = true

	f := New(1)
	f.Report(0, "n1", described("n1"))
	quarantine(f, "n1")
	f.Add(0, 0, record(laterJob, lasting))

	now := minQuarantine + lastingProbeDelay
	assert.Equal(t, len(starts(f.Schedule(now-1, time.Time{}))), 0)
	assert.Equal(t, len(starts(f.Schedule(now, time.Time{}))["n1"]), 1, "the probe")

	f.Report(now, "n1", atWork("n1", gate.Run{
		Task:    f.workers["n1"].health.probe,
		Attempt: 1,
	}))

	now += provenAfter
	assert.Equal(t, len(starts(f.Schedule(now, time.Time{}))["n1"]), 2)
}

// TestFailuresFarApart checks that failures don't add up to a quarantine while tasks that were
// started in between are at work: after three in its whole life, a worker that runs only
// long-running tasks was not used again.
func TestFailuresFarApart(t *testing.T) {
	tests := map[string]struct {
		// startEach says that a task is started after each failure, and not only before the first.
		startEach   bool
		quarantines int
	}{
		"StartedBetween": {true, 0},
		"StartedBefore":  {false, 1},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			lasting := step(1)
			lasting.LongRunning = true
			lasting.Size.MilliCores = 10

			f := New(1)
			f.Report(0, "n1", described("n1"))

			now := time.Second

			for i := range quarantineThreshold {
				if c.startEach || i == 0 {
					id := "00000000000000e" + string(rune('0'+i))
					f.Add(now, 0, record(id, lasting))
					assert.Equal(t, len(starts(f.Schedule(now, time.Time{}))["n1"]), 1)
					f.Report(now, "n1", atWork("n1", gate.Run{
						Task:    job.TaskID{Job: id},
						Attempt: 1,
					}))
				}

				now += provenAfter
				failing := "00000000000000f" + string(rune('0'+i))
				f.Add(now, 0, record(failing, step(1)))
				f.RecordEnd(now, "n1", end("n1", int64(i+1), failing, 1, gate.Failed).End)
				f.Cancel(failing)

				now += time.Millisecond
			}

			assert.Equal(t, len(f.Quarantines()), c.quarantines)
		})
	}
}
