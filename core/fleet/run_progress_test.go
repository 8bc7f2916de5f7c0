package fleet

import (
	"math"
	"testing"
	"time"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"
	"trefoildeck/core/locality"
	"trefoildeck/core/lookahead"

	"gotest.tools/v3/assert"
)

// TestRunProgress guards against an expected end that counts the progress of an earlier run, or the
// time before a new leader found the run, as this run's speed.
func TestRunProgress(t *testing.T) {
	const started = 10 * time.Second

	tests := map[string]struct {
		resumed  bool
		readings []lookahead.Reading
		want     time.Duration
	}{
		"None":         {false, nil, started + 4*time.Second},
		"ResumedNone":  {true, nil, started + 4*time.Second},
		"FromStart":    {false, []lookahead.Reading{{At: started + time.Second, Percent: 10}}, started + 10*time.Second},
		"Resumed":      {true, []lookahead.Reading{{At: started + time.Second, Percent: 60}, {At: started + 2*time.Second, Percent: 70}}, started + 5*time.Second},
		"Found":        {false, []lookahead.Reading{{At: started, Percent: 25}}, started + 3*time.Second},
		"FoundAtSpeed": {false, []lookahead.Reading{{At: started, Percent: 50}, {At: started + 2*time.Second, Percent: 60}}, started + 10*time.Second},
		"Unchanged":    {false, []lookahead.Reading{{At: started + time.Second, Percent: 10}, {At: started + 2*time.Second, Percent: 10}}, started + 10*time.Second},
		"WentBack":     {false, []lookahead.Reading{{At: started + time.Second, Percent: 50}, {At: started + 2*time.Second, Percent: 25}}, started + 3*time.Second},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			s := sized(1, 1, 4*time.Second)
			r := run{
				step:     &s,
				started:  started,
				progress: runProgress{resumed: c.resumed},
			}

			for _, p := range c.readings {
				r.recordProgress(p.At, p.Percent)
			}

			assert.Equal(t, r.expectedEnd(started+2*time.Second), c.want)
		})
	}

	lasting := sized(1, 1, time.Second)
	lasting.LongRunning = true
	assert.Equal(t, (&run{step: &lasting}).expectedEnd(time.Hour), time.Duration(0))
}

// TestLargestEstimate guards against a run that is expected to end at once because its estimate is so long
// that the end overflows: room would be kept, or a rack awaited, for an end that doesn't come.
func TestLargestEstimate(t *testing.T) {
	const now = time.Hour

	s := sized(1, 1, math.MaxInt64)
	r := run{
		step:    &s,
		started: now - time.Second,
	}
	assert.Assert(t, r.expectedEnd(now) > now+24*time.Hour)

	f := New(1)
	f.Add(0, 0, record(jobA, s))
	assert.Assert(t, locality.ExpectedEnd(now, r.started, f.expectedDuration(job.TaskID{Job: jobA}, &s, nil)) > now+24*time.Hour)

	j := f.jobs[jobA]
	assert.Assert(t, claimOf(now, j, &j.steps[0]).End > now+24*time.Hour)
}

// TestCheckpointKept guards against a task that starts anew after a move because reports of progress
// don't repeat its checkpoint.
func TestCheckpointKept(t *testing.T) {
	f := New(1)
	f.Add(0, 0, record(jobA, step(1)))
	f.Report(0, "n1", described("n1"))
	f.Schedule(0, time.Time{})

	for i, c := range []string{"saved", ""} {
		f.Report(time.Duration(i)*time.Second, "n1", Report{Runs: []gate.Run{{
			Task:            job.TaskID{Job: jobA},
			Attempt:         1,
			Checkpoint:      c,
			ProgressPercent: 10 * i,
			Confirmed:       true,
			OrderKnown:      true,
		}}})
	}

	assert.Equal(t, f.jobs[jobA].steps[0].tasks[0].checkpoint, "saved")
	assert.Equal(t, f.workers["n1"].runs[job.TaskID{Job: jobA}].progressPercent, 10)
}

// TestSavedProgress guards against a move from a slow worker that counts work as saved that is not,
// because reports of progress don't repeat the checkpoint.
func TestSavedProgress(t *testing.T) {
	f := New(1)
	f.EnableSlowWorkers()
	f.Add(0, 0, record(jobA, step(1)))
	f.Report(0, "n1", described("n1"))
	f.Schedule(0, time.Time{})

	for i, c := range []string{"", "first", "", "", "second"} {
		f.Report(time.Duration(i)*time.Second, "n1", Report{Runs: []gate.Run{{
			Task:            job.TaskID{Job: jobA},
			Attempt:         1,
			Checkpoint:      c,
			ProgressPercent: 10 * (i + 1),
			Confirmed:       true,
			OrderKnown:      true,
		}}})

		// The checkpoint was made after the reading before it.
		want := []int{0, 10, 10, 10, 40}[i]
		assert.Equal(t, f.workers["n1"].runs[job.TaskID{Job: jobA}].saved.percent, want, "report %d", i)
	}
}
