package integration_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"trefoildeck/core/placement"
	"trefoildeck/standin"

	"gotest.tools/v3/assert"
)

// sentRequest is a request and the response that its caller received.
type sentRequest struct {
	id      string
	key     string
	outcome string
	status  int
	err     error
	took    time.Duration
	began   time.Time
	// complete reports whether the whole response to this request was received.
	complete bool
}

// load sends requests until it is ended, and records the result of each.
type load struct {
	d    *deployment
	stop chan struct{}
	wg   sync.WaitGroup
	mu   sync.Mutex
	sent []sentRequest
	// ready has the indices of the entries that a load balancer would send to.
	ready []int
}

// loadPause is the time between two requests of one caller.
const loadPause = 10 * time.Millisecond

func (d *deployment) startLoad(callers int) *load {
	l := &load{
		d:    d,
		stop: make(chan struct{}),
	}
	l.updateReady()

	l.wg.Go(l.pollReadiness)

	for n := range callers {
		l.wg.Go(func() { l.runCaller(n) })
	}

	d.t.Cleanup(l.end)

	return l
}

func (l *load) end() {
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}

	l.wg.Wait()
}

// pollReadiness polls which entries are ready, as the platform's load balancer does.
func (l *load) pollReadiness() {
	for {
		select {
		case <-l.stop:
			return
		case <-time.After(50 * time.Millisecond):
			l.updateReady()
		}
	}
}

func (l *load) updateReady() {
	client := http.Client{Timeout: 200 * time.Millisecond}

	var ready []int

	for n, e := range l.d.entries {
		res, err := client.Get("http://" + e.admin.String() + "/readyz")
		if err != nil {
			continue
		}

		res.Body.Close()

		if res.StatusCode == http.StatusOK {
			ready = append(ready, n)
		}
	}

	l.mu.Lock()
	defer l.mu.Unlock()

	l.ready = ready
}

func (l *load) pickEntry(r *rand.Rand) (int, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()

	if len(l.ready) == 0 {
		return 0, false
	}

	return l.ready[r.IntN(len(l.ready))], true
}

// runCaller sends GET requests and, every fourth time, a POST request with an
// idempotency key, which is sent up to three times until it is answered.
func (l *load) runCaller(caller int) {
	r := rand.New(rand.NewPCG(uint64(caller), 1))

	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		case <-time.After(loadPause):
		}

		id := fmt.Sprintf("%d-%d", caller, i)

		if i%4 != 0 {
			l.send(r, http.MethodGet, id, "")

			continue
		}

		for try := range 3 {
			s := l.send(r, http.MethodPost, fmt.Sprintf("%s-%d", id, try), "key-"+id)
			if s.outcome == "Answered" {
				break
			}
		}
	}
}

func (l *load) send(r *rand.Rand, method, id, key string) sentRequest {
	s := sentRequest{
		id:    id,
		key:   key,
		began: time.Now(),
	}

	n, ok := l.pickEntry(r)
	if !ok {
		return s
	}

	body := "body of " + id
	if key != "" {
		body = "body of " + key
	}

	l.do(n, method, body, &s)
	s.took = time.Since(s.began)

	l.mu.Lock()
	defer l.mu.Unlock()

	l.sent = append(l.sent, s)

	return s
}

func (l *load) do(n int, method, body string, s *sentRequest) {
	var reader io.Reader
	if method == http.MethodPost {
		reader = strings.NewReader(body)
	}

	req, err := http.NewRequest(method, l.d.url(n)+"?id="+s.id, reader)
	if err != nil {
		s.err = err

		return
	}

	req.Header.Set("Trefoildeck-Request-Id", s.id)

	if s.key != "" {
		req.Header.Set("Idempotency-Key", s.key)
	}

	// With GetBody net/http may send the body again by itself, and the test would
	// count one request where two were sent.
	req.GetBody = nil

	res, err := http.DefaultTransport.RoundTrip(req)
	if err != nil {
		s.err = err

		return
	}
	defer res.Body.Close()

	data, err := io.ReadAll(res.Body)
	s.err = err
	s.status = res.StatusCode
	s.outcome = res.Header.Get("Trefoildeck-Outcome")

	if method == http.MethodPost {
		s.complete = strings.HasSuffix(string(data), body)
	} else {
		s.complete = strings.Contains(string(data), "?id="+s.id+" from")
	}
}

// results returns a copy of the requests sent so far.
func (l *load) results() []sentRequest {
	l.mu.Lock()
	defer l.mu.Unlock()

	return append([]sentRequest(nil), l.sent...)
}

// check checks the guarantees that hold under all faults, by what the stand-ins
// recorded and by the responses to the requests of l, if it isn't nil.
func (d *deployment) check(l *load) {
	d.t.Helper()

	if l != nil {
		checkRequests(d.t, l.results(), d.endpointRequests())
	}

	checkTasks(d.t, d.events())
}

// checkRequests checks that the request of an idempotency key ran at most once, that
// an answered request received its own, complete response, and that a refused one
// never ran.
func checkRequests(t *testing.T, all []sentRequest, requests []standin.Request) {
	t.Helper()

	byID := map[string]int{}
	byKey := map[string]int{}

	for _, r := range requests {
		byID[r.RequestID]++
		if r.Key != "" {
			byKey[r.Key]++
		}
	}

	for key, n := range byKey {
		assert.Assert(t, n <= 1, "%s ran %d times", key, n)
	}

	answered := 0

	for _, s := range all {
		switch {
		case s.err != nil:
		case s.outcome == "Answered":
			answered++
			assert.Assert(t, s.complete, "%s received a response that is incomplete or not its own", s.id)
		case s.outcome == "Refused":
			assert.Assert(t, byID[s.id] == 0, "%s was refused but ran", s.id)
		default:
			assert.Equal(t, s.outcome, "Unknown", "%s", s.id)
		}
	}

	t.Logf("%d requests, %d answered", len(all), answered)
}

// checkTasks checks that a task finished at most once and that no two of its
// attempts ran at the same time. Successes don't count that were lost with a replaced
// instance or could not be reported before the lease ran out: the task has to run again.
func checkTasks(t *testing.T, events []standin.Event) {
	t.Helper()

	type span struct {
		from, to time.Time
		where    string
	}

	spans := map[placement.TaskID][]span{}
	open := map[string]standin.Event{}
	finished := map[placement.TaskID]int{}
	leftOut := map[placement.AttemptID]bool{}

	for _, e := range events {
		at := e.Worker + " " + e.ID.String()
		task := placement.TaskID{
			Job:  e.ID.Job,
			Task: e.ID.Task,
		}

		if e.Phase == placement.PhaseRunning {
			open[at] = e

			continue
		}

		switch e.Phase {
		case standin.PhaseForgotten, standin.PhaseUnheard:
			if !leftOut[e.ID] {
				finished[task]--
			}

			leftOut[e.ID] = true

			continue
		case placement.PhaseFinished:
			finished[task]++
		default:
		}

		spans[task] = append(spans[task], span{
			from:  open[at].Time,
			to:    e.Time,
			where: at,
		})

		delete(open, at)
	}

	for at, e := range open {
		task := placement.TaskID{
			Job:  e.ID.Job,
			Task: e.ID.Task,
		}
		spans[task] = append(spans[task], span{
			from:  e.Time,
			to:    time.Now(),
			where: at,
		})
	}

	for task, list := range spans {
		assert.Assert(t, finished[task] <= 1, "%v finished %d times", task, finished[task])

		for i, a := range list {
			for _, b := range list[:i] {
				assert.Assert(t, !a.from.Before(b.to) || !b.from.Before(a.to), "%v had two attempts at the same time: %v, %v", task, a, b)
			}
		}
	}
}

// failures counts the requests without a key that began at a time or later: those
// that were not answered with status 200, and all.
func failures(all []sentRequest, from time.Time) (failed, total int) {
	for _, s := range all {
		if s.key != "" || s.began.Before(from) {
			continue
		}

		total++

		if s.err != nil || s.outcome != "Answered" || s.status != http.StatusOK {
			failed++
		}
	}

	return failed, total
}
