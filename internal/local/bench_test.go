package local_test

import (
	"io"
	"net/http"
	"syscall"
	"testing"
	"time"

	"trefoildeck/core/resource"
	"trefoildeck/internal/local"

	"go.uber.org/zap"
)

// BenchmarkRequest compares a request through an entry and an agent with one
// that goes to the endpoint directly, in the same process.
func BenchmarkRequest(b *testing.B) {
	d, err := local.Start(local.Options{
		DataCentres: []string{"sabana"},
		Entries:     1,
		Agents:      2,
		Service:     "booking",
		Slots:       64,
		MilliCores:  8000,
		MemoryMB:    8000,
		TaskLease:   10 * time.Second,
		ShardLease:  5 * time.Second,
		Log:         zap.NewNop(),
	})
	if err != nil {
		b.Fatal(err)
	}

	b.Cleanup(d.Stop)

	_, err = d.Operator(0).Apply(b.Context(), []resource.Resource{
		{
			ID:   resource.ID{Kind: resource.KindDataCentre, Name: "sabana"},
			Spec: &resource.DataCentre{},
		},
		{
			ID:   resource.ID{Kind: resource.KindService, Name: "booking"},
			Spec: &resource.Service{LatencyTarget: time.Second, Timeout: time.Second, MaxBodyBytes: 1 << 20},
		},
	}, false)
	if err != nil {
		b.Fatal(err)
	}

	urls := map[string]string{
		"direct":  "http://" + d.EndpointAddress(0).String() + "/x",
		"through": "http://" + d.Entries[0].CallerAddress.String() + "/services/booking/x",
	}

	for deadline := time.Now().Add(5 * time.Second); call(urls["through"]) != http.StatusOK; {
		if time.Now().After(deadline) {
			b.Fatal("the service does not answer")
		}

		time.Sleep(20 * time.Millisecond)
	}

	for name, url := range urls {
		b.Run(name+"-many-callers", func(b *testing.B) {
			before := cpuTime()
			client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100}}

			b.SetParallelism(callersPerProcessor)
			b.RunParallel(func(p *testing.PB) {
				for p.Next() {
					if status := callWith(client, url); status != http.StatusOK {
						b.Error(status)

						return
					}
				}
			})
			b.ReportMetric(float64(cpuTime()-before)/float64(b.N), "cpu-ns/op")
		})

		b.Run(name, func(b *testing.B) {
			before := cpuTime()

			for b.Loop() {
				if status := call(url); status != http.StatusOK {
					b.Fatal(status)
				}
			}

			b.ReportMetric(float64(cpuTime()-before)/float64(b.N), "cpu-ns/op")
		})
	}
}

const callersPerProcessor = 8

func call(url string) int { return callWith(http.DefaultClient, url) }

func callWith(client *http.Client, url string) int {
	res, err := client.Get(url)
	if err != nil {
		return 0
	}
	defer res.Body.Close()

	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return 0
	}

	return res.StatusCode
}

// cpuTime returns the processor time that the process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}

	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
