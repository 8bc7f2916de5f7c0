package lookahead

import (
	"testing"
	"time"

	"trefoildeck/core/job"

	"gotest.tools/v3/assert"
)

func cores(n int64) job.Size {
	return job.Size{
		MilliCores: n * 1000,
		MemoryMB:   n * 1000,
	}
}

// TestEarliestFit guards against a time at which the task doesn't fit: too early when an end
// frees no processor time for it or never comes, too late when fewer ends are enough.
func TestEarliestFit(t *testing.T) {
	const now = 10 * time.Second

	memory := job.Size{MemoryMB: 4000}
	filling := Run{
		Size:  cores(4),
		Fills: true,
		End:   now + time.Second,
	}
	plain := func(n int64, after time.Duration) Run {
		return Run{
			Size: cores(n),
			End:  now + after,
		}
	}
	lasting := Run{Size: cores(8)}

	tests := map[string]struct {
		free  job.Size
		runs  []Run
		need  job.Size
		fills bool
		want  Fit
		ok    bool
	}{
		"Now":            {cores(4), []Run{plain(1, time.Second)}, cores(4), false, Fit{At: now}, true},
		"SeveralEnds":    {cores(1), []Run{plain(2, 3*time.Second), plain(1, time.Second), lasting}, cores(4), false, Fit{At: now + 3*time.Second}, true},
		"FewerEnds":      {cores(1), []Run{plain(2, 3*time.Second), plain(3, time.Second)}, cores(4), false, Fit{At: now + time.Second}, true},
		"OneEnd":         {cores(1), []Run{plain(4, time.Second)}, cores(4), false, Fit{At: now + time.Second, Alone: true}, true},
		"NeverEnds":      {cores(1), []Run{plain(2, time.Second), lasting}, cores(4), false, Fit{}, false},
		"FillingCores":   {cores(1), []Run{filling, plain(3, 2*time.Second)}, cores(4), false, Fit{At: now + 2*time.Second}, true},
		"FillingMemory":  {job.Size{MilliCores: 4000}, []Run{filling}, cores(4), false, Fit{At: now + time.Second}, true},
		"FillingForIdle": {cores(1), []Run{filling, plain(3, 2*time.Second)}, cores(4), true, Fit{At: now + time.Second, Alone: true}, true},
		"Overcommitted":  {job.Size{MilliCores: -3000}, []Run{filling, plain(3, 2*time.Second)}, cores(4), true, Fit{At: now + 2*time.Second}, true},
		"OnlyMemory":     {cores(0), []Run{filling}, memory, false, Fit{At: now + time.Second, Alone: true}, true},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			fit, ok := EarliestFit(now, c.free, c.runs, c.need, c.fills)
			assert.Equal(t, ok, c.ok)
			assert.Equal(t, fit, c.want)

			if ok {
				assert.Assert(t, RoomAt(fit.At, c.free, c.runs, c.fills).CanFit(c.need))
			}
		})
	}
}

// TestExpectedEnd guards against ends that are taken for past, and for too near where a run was
// resumed or is overdue: a reservation would stand on room that doesn't come.
func TestExpectedEnd(t *testing.T) {
	const (
		now     = 20 * time.Second
		started = 10 * time.Second
	)

	tests := map[string]struct {
		first, last Reading
		estimate    time.Duration
		want        time.Duration
	}{
		"Estimate":        {estimate: 15 * time.Second, want: 25 * time.Second},
		"Unknown":         {want: now + time.Second},
		"Progress":        {first: Reading{At: started}, last: Reading{now, 25}, estimate: 11 * time.Second, want: 50 * time.Second},
		"Resumed":         {first: Reading{started, 60}, last: Reading{now, 80}, estimate: time.Second, want: 30 * time.Second},
		"ResumedEstimate": {first: Reading{started, 60}, last: Reading{started, 60}, estimate: 30 * time.Second, want: 22 * time.Second},
		// The estimate is off by 90%: the run takes ten times as long.
		"Overdue":         {estimate: time.Second, want: now + time.Second},
		"OverdueProgress": {first: Reading{At: started}, last: Reading{12 * time.Second, 50}, want: now + time.Second},
		"Complete":        {first: Reading{At: started}, last: Reading{now, 100}, want: now + time.Second},
		"Malformed":       {first: Reading{At: started}, last: Reading{now, 1 << 30}, want: now + time.Second},
		"WentBack":        {first: Reading{started, 50}, last: Reading{now, 20}, estimate: 30 * time.Second, want: 25 * time.Second},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			assert.Equal(t, ExpectedEnd(now, started, c.first, c.last, c.estimate), c.want)
		})
	}

	assert.Equal(t, ExpectedEnd(now, now, Reading{}, Reading{}, 0), now+minOverdue)
}
