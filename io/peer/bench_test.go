package peer

import (
	"testing"

	"trefoildeck/core/gate"
	"trefoildeck/core/job"
	"trefoildeck/io/peer/peerpb"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
)

// BenchmarkDecodeProgress measures the decoding of a report with the progress of 40 runs, and reports
// its size.
func BenchmarkDecodeProgress(b *testing.B) {
	var runs []TaskRun
	for i := range 40 {
		runs = append(runs, TaskRun{
			Task: job.TaskID{
				Job:   "00000000000000aa",
				Index: i,
			},
			State: &gate.RunState{
				Attempt:     1,
				Phase:       gate.Confirmed,
				OrderKnown:  true,
				PacePercent: 100,
				Run: gate.Run{
					Checkpoint:      "a checkpoint that the leader has",
					ProgressPercent: i,
					Measurement:     500,
				},
			},
			CheckpointKnown: true,
		})
	}

	data, err := proto.Marshal(EncodeReport(false, gate.New(), runs, nil)[0])
	assert.NilError(b, err)

	for b.Loop() {
		var m peerpb.WorkerReport

		assert.NilError(b, proto.Unmarshal(data, &m))

		_, err := DecodeReport("dc1", &m)
		assert.NilError(b, err)
	}

	b.ReportMetric(float64(len(data)), "bytes")
}
