package routing

import "time"

// AttemptOutcome says how one copy of a request ended.
type AttemptOutcome int

// The ends.
const (
	// AttemptAnswered is an answer of the endpoint.
	AttemptAnswered AttemptOutcome = iota
	// AttemptServerError is an answer that another endpoint may do better than:
	// 502, 503 or 504.
	AttemptServerError
	// AttemptRefused is a refusal: the copy surely did not run.
	AttemptRefused
	// AttemptLost is a copy that may have run.
	AttemptLost
)

// Outcome is what a caller is told.
type Outcome string

// The outcomes.
const (
	// OutcomeAnswered says that the answer is the endpoint's.
	OutcomeAnswered Outcome = "Answered"
	// OutcomeRefused says that the request surely did not run.
	OutcomeRefused Outcome = "Refused"
	// OutcomeUnknown says that the request may have run.
	OutcomeUnknown Outcome = "Unknown"
)

// Bounds on the copies of one request: those that may have run, and those that
// were refused.
const (
	maxAttempts = 3
	maxRefusals = 3
)

// minAttemptTime is the time left below which no further copy is sent.
const minAttemptTime = 2 * time.Millisecond

// Request is what the policy needs to know of a request, and what became of
// the copies sent so far.
type Request struct {
	Service    string
	Idempotent bool
	// Replayable says that the whole body is at hand.
	Replayable bool
	Deadline   time.Time

	attempts   int
	refusals   int
	mayHaveRun bool
	excluded   []string
}

// AttemptSent records that a copy goes to an endpoint.
func (r *Request) AttemptSent(endpoint string) {
	r.attempts++
	r.excluded = append(r.excluded, endpoint)
}

// Excluded lists the endpoints that had a copy.
func (r *Request) Excluded() []string {
	return r.excluded
}

// AttemptEnded records how a copy ended and returns whether another one is sent.
// pending says that other copies are still awaited.
func (t *Table) AttemptEnded(now time.Time, r *Request, e AttemptOutcome, pending bool) bool {
	if e == AttemptRefused {
		r.attempts--
		r.refusals++
	} else if e != AttemptAnswered {
		r.mayHaveRun = true
	}

	switch {
	case e == AttemptAnswered || pending:
		return false
	case !r.Replayable || r.attempts >= maxAttempts || r.refusals >= maxRefusals && !r.mayHaveRun || r.OutOfTime(now):
		return false
	case r.mayHaveRun && !r.Idempotent:
		return false
	}

	if r.mayHaveRun && e != AttemptServerError {
		return t.takeLossToken(r.Service)
	}

	return t.TakeRetryToken(r.Service)
}

// OutOfTime reports whether too little time is left for another copy.
func (r *Request) OutOfTime(now time.Time) bool {
	return r.Deadline.Sub(now) < minAttemptTime
}

// NeedsRetryDelay reports whether the next copy waits a little first: the request may have
// run, so that refusing it is no way out, and endpoints are full.
func (r *Request) NeedsRetryDelay() bool {
	return r.mayHaveRun && r.refusals > 0
}

// MayHedge reports whether a second copy is sent beside the first.
func (t *Table) MayHedge(now time.Time, r *Request) bool {
	if !r.Idempotent || !r.Replayable || r.attempts >= maxAttempts || r.OutOfTime(now) {
		return false
	}

	p := t.pool(r.Service)

	return p != nil && p.takeHedgeToken()
}

// Outcome is the true outcome of a request that no copy answered.
func (r *Request) Outcome() Outcome {
	if r.mayHaveRun {
		return OutcomeUnknown
	}

	return OutcomeRefused
}

// AttemptAbandoned records that a copy was given up while it may have been running.
func (r *Request) AttemptAbandoned() {
	r.mayHaveRun = true
}
