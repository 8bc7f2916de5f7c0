package speed_test

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"trefoildeck/core/speed"
)

// BenchmarkSecond is the cost of one second: a reading of each of four runs on each worker, and ten
// judgements. The runs are of steps of ten tasks.
func BenchmarkSecond(b *testing.B) {
	for _, workers := range []int{52, 1700, 17_000} {
		b.Run(fmt.Sprintf("Workers%d", workers), func(b *testing.B) {
			t := speed.New()

			var now time.Duration

			for second := 0; b.Loop(); second++ {
				for i := range 4 * workers {
					id := taskID(strconv.Itoa(i/10), i%10)
					r := fullSpeed(second % 100)
					r.Age = time.Second
					t.Observe(now, "n"+strconv.Itoa(i%workers), speed.Step{Job: id.Job}, id, r)

					if i%(4*workers/10) == 0 {
						now += 100 * time.Millisecond
						t.Judge(now)
					}
				}
			}
		})
	}
}
