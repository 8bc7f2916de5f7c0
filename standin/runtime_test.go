package standin_test

import (
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"trefoildeck/core/placement"
	"trefoildeck/io/worker"
	"trefoildeck/standin"

	"gotest.tools/v3/assert"
)

// TestUnheard checks that a success counts as unheard only if its status was first read
// after the lease ran out, and that it is recorded once.
func TestUnheard(t *testing.T) {
	const lease = 6 * time.Second

	tests := map[string]struct {
		reads []time.Duration
		want  int
	}{
		"ReadUnderLease":  {[]time.Duration{2 * time.Second, 2 * lease}, 0},
		"ReadAfterLease":  {[]time.Duration{2 * lease, 3 * lease}, 1},
		"ReadBeforeEnd":   {[]time.Duration{time.Millisecond, 2 * lease}, 1},
		"ReadAtLeasesEnd": {[]time.Duration{lease}, 1},
	}

	for name, c := range tests {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				r := standin.NewRuntime("lannion-0")
				k := r.Client()
				status, err := k.Status(t.Context())
				assert.NilError(t, err)
				assert.NilError(t, k.Start(t.Context(), placement.AttemptID{Job: "mix@1"}, worker.Start{
					BootID:      status.BootID,
					StartBefore: time.Second,
					LeaseUntil:  lease,
					RunTime:     time.Second,
				}))

				for _, at := range c.reads {
					time.Sleep(at - time.Since(began))

					_, err := k.Status(t.Context())
					assert.NilError(t, err)
				}

				events := slices.DeleteFunc(r.Events(), func(e standin.Event) bool { return e.Phase != standin.PhaseUnheard })
				assert.Equal(t, len(events), c.want)
			})
		})
	}
}
