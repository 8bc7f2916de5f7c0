package backlog

import "time"

// minBusy is the time for which work must have waited before the rate is known: the first tasks of
// a burst have not ended before.
const minBusy = shareDecay / 2

// maxPeriod is the longest time between two updates that counts: after a longer one, it is not known
// whether work has waited throughout.
const maxPeriod = time.Second

// Rate measures at which rate work is done while more of it waits. At other times, the rate says
// how much was asked for and not how much can be done. Its zero value is ready for use.
type Rate struct {
	done, busy decaying
	last       time.Duration
	began      bool
}

// Update records the work that was done since the last call, and whether more work has waited
// meanwhile.
func (r *Rate) Update(now time.Duration, done int64, waited bool) {
	if r.began && waited && now-r.last <= maxPeriod {
		r.done.add(now, float64(done))
		r.busy.add(now, float64(now-r.last))
	}

	r.last, r.began = now, true
}

// MilliCores returns the rate, in millicore-milliseconds a millisecond, or 0 if it is not known.
func (r *Rate) MilliCores(now time.Duration) int64 {
	busy := r.busy.at(now)
	if busy < float64(minBusy) {
		return 0
	}

	return int64(min(r.done.at(now)/busy*float64(time.Millisecond), maxWork))
}
