package integration_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"trefoildeck/core/job"
	"trefoildeck/io/rows"

	"gotest.tools/v3/assert"
)

// fairScheduling switches the fair order, admission and preemption on.
const fairScheduling = `Order = Fair
Admission = true
Preemption = true
`

// startAdmitting starts a deployment that refuses what can't be useful. Each task takes a second.
func startAdmitting(t *testing.T, entries, agents int) *hosted {
	t.Helper()

	h := newHosted(t)
	h.scheduling = fairScheduling
	h.launch(make([]float64, entries), agents)
	h.planRuns(time.Second)
	h.awaitState("succeeded", h.submit(secondStep()))

	return h
}

// secondStep returns a step of four tasks of a core and a second. The objective of the job is
// 1.75 s.
func secondStep() job.Step {
	return job.Step{
		Count:    4,
		Size:     job.Size{MilliCores: 1000},
		Estimate: time.Second,
	}
}

// post submits a job to an entry. It returns the status, 0 if there was no response, and the
// Retry-After.
func (h *hosted) post(entry int, id string, spec job.Spec) (int, string) {
	body, err := json.Marshal(submission(spec))
	assert.NilError(h.t, err)

	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()

	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+h.entries[entry].callerAddress+hostedPrefix+id, bytes.NewReader(body))
	assert.NilError(h.t, err)

	r.Host = hostedHost
	r.Header.Set("Timeout-Ms", "3000")

	a, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, ""
	}

	assert.NilError(h.t, a.Body.Close())

	return a.StatusCode, a.Header.Get("Retry-After")
}

// submitOnce submits a job at entries in turn until one accepts or refuses it for the load. An answer
// 503 before that, for a store that refuses, is told from it by its row.
func (h *hosted) submitOnce(entry int, id string, spec job.Spec) (accepted bool, retryAfter string) {
	for i := range 40 {
		status, after := h.post((entry+i)%len(h.entries), id, spec)

		switch {
		case status == http.StatusOK:
			return true, ""
		case status == http.StatusServiceUnavailable && h.refusalStored(id):
			return false, after
		}

		time.Sleep(50 * time.Millisecond)
	}

	assert.Check(h.t, false, "job %s is neither accepted nor refused", id)

	return false, ""
}

func (h *hosted) refusalStored(id string) bool {
	for _, r := range h.store.Rows("job") {
		if r.Key == id {
			return bytes.HasPrefix(r.Value, []byte(`{"Refused":`))
		}
	}

	return false
}

// submitBurst submits jobs at the same time, and returns those that were accepted and refused.
func (h *hosted) submitBurst(jobs int) (accepted, refused []string) {
	h.t.Helper()

	var (
		mu    sync.Mutex
		group sync.WaitGroup
	)

	for i := range jobs {
		id := fmt.Sprintf("%016x", h.random.Uint64())
		spec := job.Spec{
			Text:  "text of " + id,
			Steps: []job.Step{secondStep()},
		}
		h.checker.RecordSubmission(id, spec)

		mu.Lock()
		h.specs[id] = spec
		mu.Unlock()

		group.Go(func() {
			ok, after := h.submitOnce(i%len(h.entries), id, spec)

			mu.Lock()
			defer mu.Unlock()

			if ok {
				accepted = append(accepted, id)

				return
			}

			h.checker.RecordRefusal(id)

			refused = append(refused, id)

			seconds, err := strconv.Atoi(after)
			assert.Check(h.t, err == nil && seconds >= 1 && seconds <= 30, "Retry-After %q", after)
		})

		// About ten times what the workers can do.
		time.Sleep(50 * time.Millisecond)
	}

	group.Wait()

	return accepted, refused
}

// checkRefused checks that refused jobs are not known, and have not run.
func (h *hosted) checkRefused(ids []string) {
	h.t.Helper()

	for i, id := range ids {
		for _, method := range []string{http.MethodGet, http.MethodDelete} {
			status, _ := h.call(i%len(h.entries), method, id, nil)
			assert.Equal(h.t, status, http.StatusGone, method)
		}

		assert.Equal(h.t, h.checker.StartCount(id), 0)
	}
}

// TestHostedOverload checks that a burst that the workers can't finish while it is useful is
// refused in part: that jobs are not known and don't run until they are submitted again. All jobs were
// accepted, and the last ones ended too late.
func TestHostedOverload(t *testing.T) {
	t.Parallel()

	h := startAdmitting(t, 3, 2)
	accepted, refused := h.submitBurst(60)
	assert.Assert(t, len(refused) > 0 && len(accepted) > 0, "%d jobs accepted, %d refused", len(accepted), len(refused))
	h.checkRefused(refused)
	h.awaitState("succeeded", accepted...)
	h.checkRefused(refused)

	// The backlog is gone, so that the job is accepted.
	id := refused[0]
	h.checker.RecordSubmission(id, h.specs[id])

	status := 0
	for i := 0; i < 10 && status != http.StatusOK; i++ {
		time.Sleep(time.Second)

		status, _ = h.post(i%len(h.entries), id, h.specs[id])
	}

	assert.Equal(t, status, http.StatusOK)
	h.awaitState("succeeded", id)
	h.checkViolations()
}

// TestHostedRefusalFaults checks the same while the store loses answers, and applies such writes up to
// 2 s late, and entries are killed, the leader among them. Callers repeat requests that were not
// answered at other entries.
func TestHostedRefusalFaults(t *testing.T) {
	t.Parallel()

	h := startAdmitting(t, 3, 2)

	var (
		mu sync.Mutex
		r  = rand.New(rand.NewPCG(5, 6))
	)

	h.store.LoseAnswer = func(rows.Transaction) (bool, time.Duration) {
		mu.Lock()
		defer mu.Unlock()

		return r.IntN(5) == 0, time.Duration(r.IntN(2000)) * time.Millisecond
	}

	var killing sync.WaitGroup

	killing.Go(func() {
		time.Sleep(time.Second)

		for range 2 {
			p := h.entries[max(0, h.leaseHolder())]
			h.kill(p)
			h.start(p)
			time.Sleep(time.Second)
		}
	})

	accepted, refused := h.submitBurst(80)

	killing.Wait()

	// Requests that callers gave up end, and late writes are applied.
	time.Sleep(5 * time.Second)
	t.Logf("%d jobs accepted, %d refused", len(accepted), len(refused))
	assert.Assert(t, len(accepted) > 0 && len(refused) > 0)
	h.checkRefused(refused)
	h.awaitState("succeeded", accepted...)
	h.checkRefused(refused)
	h.checkViolations()
}

// TestHostedOldEntry checks that nothing is refused while an entry is registered that may take a stored
// refusal for a job.
func TestHostedOldEntry(t *testing.T) {
	t.Parallel()

	h := newHosted(t)
	h.scheduling = fairScheduling
	h.store.Put(rows.Row{
		Table: "node",
		Key:   "front-9",
		Value: fmt.Appendf(nil, `{"Address":"127.%d.1.9:7720","DataCentre":"lannion","Role":"Entry","Boot":"b"}`, h.network),
	})
	h.launch(make([]float64, 2), 1)
	h.planRuns(200 * time.Millisecond)
	h.awaitState("succeeded", h.submit(secondStep()))

	accepted, refused := h.submitBurst(30)
	assert.Equal(t, len(refused), 0)
	h.awaitState("succeeded", accepted...)
	h.checkViolations()
}
