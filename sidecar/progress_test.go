package sidecar

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"slices"
	"testing"

	"trefoildeck/core/gate"

	"gotest.tools/v3/assert"
)

// TestProgressReported guards against a leader that doesn't learn the progress of runs without new
// checkpoints, and against reports that repeat what it knows, or that are sent although no part of
// the leader uses them.
func TestProgressReported(t *testing.T) {
	tests := map[string]struct {
		enabled bool
		// percents are those that the runs have at each status report, and want the runs that
		// it has.
		percents [][2]int
		want     [][]int64
	}{
		"On":  {true, [][2]int{{10, 0}, {30, 0}, {30, 0}, {60, 5}}, [][]int64{{0, 10}, {30}, {}, {5, 60}}},
		"Off": {false, [][2]int{{10, 0}, {30, 0}, {60, 5}}, [][]int64{{0, 10}, {}, {}}},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			running := ""
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, err := fmt.Fprintf(w, `{"clock_ms":1000,"born":5,"running":[%s],"finished":[]}`, running)
				assert.Check(t, err)
			}))
			defer server.Close()

			s := newTestSidecar(t, server)
			s.settings.Scheduling.LookAhead = c.enabled
			s.handleAnnouncement(gate.Announcement{
				Incarnation: gate.Incarnation{
					ID:   "i-1",
					Born: 5,
				},
				Sequence: 1,
			})
			s.listOnce(t.Context())
			s.listOnce(t.Context())

			reports := connectLeader(t, s, 1)
			assert.Assert(t, (<-reports).GetFull())

			for i, p := range c.percents {
				running = fmt.Sprintf(`["00000000000000aa.0.0.0",1,"saved",%d,0],["00000000000000aa.0.0.1",1,"saved",%d,0]`, p[0], p[1])
				s.listOnce(t.Context())

				s.mu.Lock()
				for _, e := range s.gate.Runs {
					// The order of a run that is unknown is asked for with each report.
					e.OrderKnown = true
				}

				s.sendStatus()
				s.sendReport(nil)
				s.mu.Unlock()

				percents := []int64{}

				// The report without runs is the last one.
				for r := <-reports; len(r.GetRuns()) > 0; r = <-reports {
					for _, g := range r.GetRuns() {
						percents = append(percents, g.GetPercent())
						assert.Equal(t, g.GetCheckpoint() != "", i == 0, "a checkpoint that is known is sent again")
					}
				}

				slices.Sort(percents)
				assert.DeepEqual(t, percents, c.want[i])
			}
		})
	}
}
