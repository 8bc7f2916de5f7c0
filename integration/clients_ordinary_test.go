package integration_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestClientsOrdinary checks that clients inside the limits never reach those of an entry as small as
// the users have: as many jobs at once as are ever cancelled at once, through one address, and one of
// the largest size over a slow link.
func TestClientsOrdinary(t *testing.T) {
	const (
		smallestMB = 184
		jobs       = 900
	)

	h := newHosted(t)
	h.memoryMB = smallestMB
	h.launch(make([]float64, 1), 0)
	h.awaitReady(0)

	ids := make([]string, jobs)
	for i := range ids {
		ids[i] = fmt.Sprintf("%016x", h.random.Uint64())
	}

	var wg sync.WaitGroup

	wg.Go(func() { assert.Check(t, sendSlowly(h.entries[0].callerAddress)) })

	for _, id := range ids {
		wg.Go(func() {
			spec := map[string]any{
				"spec":  "ordinary",
				"steps": []map[string]any{{"count": 1, "cpu": 100}},
			}

			for limit := time.Now().Add(finishTimeout); time.Now().Before(limit); time.Sleep(pollInterval) {
				if status, _ := h.call(0, http.MethodPost, id, spec); status == http.StatusOK {
					return
				}
			}

			assert.Check(t, false, "job %s is not accepted", id)
		})
	}

	wg.Wait()

	a, err := http.Get("http://" + strings.Replace(h.entries[0].callerAddress, callerPort, ":9464", 1) + "/metrics")
	assert.NilError(t, err)

	defer a.Body.Close()

	metrics, err := io.ReadAll(a.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(metrics), "trefoildeck_intake_connections"))

	for line := range strings.Lines(string(metrics)) {
		assert.Check(t, !strings.HasPrefix(line, "trefoildeck_intake_total") || strings.Contains(line, "IdleTime"), line)
	}
}

// sendSlowly submits a job whose body of the largest size takes 2.5 s, and more on a busy machine. It
// returns an error if it is not accepted.
func sendSlowly(address string) error {
	const (
		parts = 100
		gap   = 25 * time.Millisecond
	)

	c, err := net.Dial("tcp", address)
	if err != nil {
		return err
	}
	defer c.Close()

	body := padded(`{"spec":"s","steps":[{"count":1,"cpu":100}]}`, callerBodyBytes)
	head := fmt.Sprintf("POST %s%016x HTTP/1.1\r\nHost: %s\r\nTimeout-Ms: 30000\r\nConnection: close\r\n", hostedPrefix, 7, hostedHost)
	request := bodyCrowd{}.request(head, body)

	for n := len(request)/parts + 1; len(request) > 0; request = request[min(n, len(request)):] {
		if _, err := c.Write(request[:min(n, len(request))]); err != nil {
			return err
		}

		time.Sleep(gap)
	}

	answer, err := io.ReadAll(c)
	if err != nil {
		return err
	}

	if !strings.HasPrefix(string(answer), "HTTP/1.1 200 ") {
		return fmt.Errorf("answer %q", answer)
	}

	return nil
}
