package routing

import "time"

// AttemptOutcome says how one attempt of a request ended.
type AttemptOutcome int

// The outcomes of an attempt.
const (
	// AttemptAnswered is an answer with any status other than 502, 503 and 504. It
	// is passed on to the caller.
	AttemptAnswered AttemptOutcome = iota
	// AttemptServerError is an answer with status 502, 503 or 504. Another endpoint
	// may succeed.
	AttemptServerError
	// AttemptRefused is a refusal: the request did not run.
	AttemptRefused
	// AttemptLost is an attempt without an answer: the request may have run.
	AttemptLost
)

// Outcome is the outcome of a request as reported to its caller.
type Outcome string

// The outcomes of a request.
const (
	// OutcomeAnswered means that an endpoint answered.
	OutcomeAnswered Outcome = "Answered"
	// OutcomeRefused means that the request did not run.
	OutcomeRefused Outcome = "Refused"
	// OutcomeUnknown means that the request may have run.
	OutcomeUnknown Outcome = "Unknown"
)

// Limits on the attempts of one request that were not refused, and on those that
// were.
const (
	maxAttempts = 3
	maxRefusals = 3
)

// minAttemptTime is the least time before the deadline at which another attempt
// is sent.
const minAttemptTime = 2 * time.Millisecond

// Request is a request as the retry policy sees it, with the attempts made so
// far.
type Request struct {
	Service    string
	Idempotent bool
	// Replayable means that the whole body is held in memory and can be resent.
	Replayable bool
	Deadline   time.Time

	attempts   int
	refusals   int
	mayHaveRun bool
	excluded   []string
}

// AttemptSent records that an attempt is sent to an endpoint.
func (r *Request) AttemptSent(endpoint string) {
	r.attempts++
	r.excluded = append(r.excluded, endpoint)
}

// Excluded returns the endpoints that the request was sent to.
func (r *Request) Excluded() []string {
	return r.excluded
}

// AttemptEnded records how an attempt ended and returns whether to send another
// one, which takes a token. pending means that other attempts are in flight.
//
// A request that may have run is sent again only if it is idempotent. The limit on
// refusals doesn't apply to it, because it can no longer be reported as refused.
func (t *Table) AttemptEnded(now time.Time, r *Request, o AttemptOutcome, pending bool) bool {
	if o == AttemptRefused {
		r.attempts--
		r.refusals++
	} else if o != AttemptAnswered {
		r.mayHaveRun = true
	}

	switch {
	case o == AttemptAnswered || pending:
		return false
	case !r.Replayable || r.attempts >= maxAttempts || r.refusals >= maxRefusals && !r.mayHaveRun || r.OutOfTime(now):
		return false
	case r.mayHaveRun && !r.Idempotent:
		return false
	}

	if r.mayHaveRun && o != AttemptServerError {
		return t.takeLossToken(r.Service)
	}

	return t.TakeRetryToken(r.Service)
}

// OutOfTime reports whether too little time is left for another attempt.
func (r *Request) OutOfTime(now time.Time) bool {
	return r.Deadline.Sub(now) < minAttemptTime
}

// NeedsRetryDelay reports whether the next attempt is sent after a delay: an
// endpoint was full, and the request may have run, so it can't be refused.
func (r *Request) NeedsRetryDelay() bool {
	return r.mayHaveRun && r.refusals > 0
}

// MayHedge reports whether a hedge, a second attempt beside the first, may be
// sent. It takes a token from the retry budget.
func (t *Table) MayHedge(now time.Time, r *Request) bool {
	if !r.Idempotent || !r.Replayable || r.attempts >= maxAttempts || r.OutOfTime(now) {
		return false
	}

	p := t.pool(r.Service)

	return p != nil && p.takeHedgeToken()
}

// Outcome returns the outcome of a request that no attempt answered.
func (r *Request) Outcome() Outcome {
	if r.mayHaveRun {
		return OutcomeUnknown
	}

	return OutcomeRefused
}

// AttemptAbandoned records that an attempt was cancelled while it may have been
// running.
func (r *Request) AttemptAbandoned() {
	r.mayHaveRun = true
}
