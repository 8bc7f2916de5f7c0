package fleet

import (
	"slices"
	"time"

	"trefoildeck/core/job"
	"trefoildeck/core/locality"
)

// dataRacks decides which tasks wait for the rack of their data.
type dataRacks struct {
	// remoteFactor is how many times as long a task takes outside the rack.
	remoteFactor float64
	// racks has the ends in each rack, as of the current pass.
	racks map[rackKey]*locality.Rack
	// wakeAt is when the first of the waiting tasks stops waiting, or 0.
	wakeAt time.Duration
}

// rackKey identifies the workers that may run tasks near their data.
type rackKey struct{ service, rack, requires string }

// EnableRackWaits makes tasks wait for the rack of their data if it is expected to have room in time. A
// task takes remoteFactor times as long elsewhere.
func (f *Fleet) EnableRackWaits(remoteFactor float64) {
	f.racks = &dataRacks{
		remoteFactor: remoteFactor,
		racks:        map[rackKey]*locality.Rack{},
	}
}

// startRackPass forgets the expectations of the last pass.
func (f *Fleet) startRackPass() {
	if f.racks != nil {
		clear(f.racks.racks)
		f.racks.wakeAt = 0
	}
}

// rackWake returns when the first task stops waiting for its rack, or 0.
func (f *Fleet) rackWake() time.Duration {
	if f.racks == nil {
		return 0
	}

	return f.racks.wakeAt
}

// awaitsRack reports whether the waiting tasks of a step, of which the best worker is outside the rack
// of their data, wait for the rack. Only tasks whose size is their processor time do: what a filling
// task waits for is the headroom of others.
func (f *Fleet) awaitsRack(now time.Duration, j *jobInfo, s *stepInfo, best *workerInfo) bool {
	if f.racks == nil || best == nil || !best.remoteFor(s.spec) || s.spec.Fills || s.spec.LongRunning || s.spec.Gang {
		return false
	}

	key := rackKey{
		service:  j.record.Service,
		rack:     s.spec.DataRack,
		requires: s.spec.Requires,
	}

	r := f.racks.racks[key]
	if r == nil {
		r = locality.NewRack(f.rackEnds(now, key, s.spec))
		f.racks.racks[key] = r
	}

	if s.rackSince == 0 {
		s.rackSince = now
	}

	wait := locality.Wait{
		Need:   int64(s.waiting) * s.spec.Size.MilliCores,
		Run:    s.spec.RunTime(),
		Factor: f.racks.remoteFactor,
		Since:  s.rackSince,
	}

	if !r.Waits(now, wait) {
		return false
	}

	if until := wait.Until(); f.racks.wakeAt == 0 || until < f.racks.wakeAt {
		f.racks.wakeAt = until
	}

	return true
}

// rackEnds returns the expected ends of the runs in a rack, as far as tasks of a step may use the room.
func (f *Fleet) rackEnds(now time.Duration, key rackKey, s *job.Step) []locality.End {
	var ends []locality.End

	for _, w := range f.sortedWorkers {
		if !f.usableRack(now, key, w) || w.quarantined(now, s) {
			continue
		}

		for id, r := range w.runs {
			if r.step.Fills || r.step.LongRunning {
				continue
			}

			ends = append(ends, locality.End{
				At:         locality.ExpectedEnd(now, r.started, f.expectedDuration(id, r.step, w)),
				MilliCores: r.step.Size.MilliCores,
			})
		}
	}

	return ends
}

func (f *Fleet) usableRack(now time.Duration, key rackKey, w *workerInfo) bool {
	return w.connected && w.ready && !f.Out[w.dataCentre] && !w.speed.avoided && now >= w.refusals.until && w.service == key.service &&
		slices.Contains(w.labels, key.rack) && (key.requires == "" || slices.Contains(w.labels, key.requires))
}

// expectedDuration returns how long a run of a step takes on a worker: as long as those elsewhere, if
// that is known, or else as estimated.
func (f *Fleet) expectedDuration(id job.TaskID, s *job.Step, w *workerInfo) time.Duration {
	if f.slow != nil && comparableProgress(s) {
		if d, ok := f.slow.tracker.Duration(speedStep(id, s, w), ""); ok {
			return d
		}
	}

	return s.RunTime()
}
