package fleet

import "trefoildeck/core/job"

// imageHeadroom is the amount by which the speed of a worker's serving tasks of one
// image may fall. Package interference defines the speed.
type imageHeadroom struct {
	image    string
	headroom float64
}

// headrooms returns the headroom of a worker's serving tasks by image. The values
// are cached until a change on the worker or of the estimates, since a scheduling
// pass compares each waiting task with all workers.
func (f *Fleet) headrooms(w *workerInfo) []imageHeadroom {
	if g := f.Interference.Generation(); w.headroomsStale || w.headroomsGeneration != g {
		w.headrooms = f.computeHeadrooms(w, w.headrooms[:0])
		w.headroomsStale, w.headroomsGeneration = false, g
	}

	return w.headrooms
}

func (f *Fleet) computeHeadrooms(w *workerInfo, list []imageHeadroom) []imageHeadroom {
	if w.serving == 0 {
		return list
	}

serving:
	for _, r := range w.runs {
		if r.step.TargetLatency == 0 {
			continue
		}

		headroom := f.headroomOf(w, r)

		for i := range list {
			if list[i].image == r.step.Image {
				list[i].headroom = min(list[i].headroom, headroom)

				continue serving
			}
		}

		list = append(list, imageHeadroom{
			image:    r.step.Image,
			headroom: headroom,
		})
	}

	return list
}

// headroomOf returns the amount by which the speed of a serving task may fall. The
// expected effect of filling tasks that started too late to show in the latest
// latency reading is subtracted.
func (f *Fleet) headroomOf(w *workerInfo, serving *run) float64 {
	ratio := assumedLatencyRatio
	if serving.latencyMillis > 0 {
		ratio = float64(serving.latencyMillis) / float64(serving.step.TargetLatency.Milliseconds())
	}

	headroom := 1/ratio - 1/maxLatencyRatio

	for _, r := range w.runs {
		if r.step.Fills && r.started+latencyReadingDelay > serving.readAt {
			headroom -= f.Interference.Factor(r.step.Image, serving.step.Image) * w.share(r.step)
		}
	}

	return headroom
}

// share returns the share of a worker's processor time that a task of a step uses.
func (w *workerInfo) share(s *job.Step) float64 {
	return float64(s.Size.MilliCores) / float64(max(1, w.capacity.MilliCores))
}
