package fleet

import "trefoildeck/core/job"

// margin is by how much the speed of a worker's serving tasks of one image may
// fall (see package interference).
type margin struct {
	image string
	left  float64
}

// margins returns the margins of a worker's serving tasks. They are kept until
// something on the worker or an estimate changes: a pass compares each waiting
// task with all workers.
func (f *Fleet) margins(w *workerRow) []margin {
	if g := f.Interference.Generation(); w.marginsStale || w.marginsOf != g {
		w.margins = f.measure(w, w.margins[:0])
		w.marginsStale, w.marginsOf = false, g
	}

	return w.margins
}

func (f *Fleet) measure(w *workerRow, list []margin) []margin {
	if w.serving == 0 {
		return list
	}

serving:
	for _, r := range w.runs {
		if r.step.TargetLatency == 0 {
			continue
		}

		left := f.bears(w, r)

		for i := range list {
			if list[i].image == r.step.Image {
				list[i].left = min(list[i].left, left)

				continue serving
			}
		}

		list = append(list, margin{
			image: r.step.Image,
			left:  left,
		})
	}

	return list
}

// bears is by how much the speed of a serving task may fall. What
// was started too late to show in the reading counts already.
func (f *Fleet) bears(w *workerRow, serving *run) float64 {
	ratio := unknownRatio
	if serving.figure > 0 {
		ratio = float64(serving.figure) / float64(serving.step.TargetLatency.Milliseconds())
	}

	room := 1/ratio - 1/bearableRatio

	for _, r := range w.runs {
		if r.step.Fills && r.started+latencyAge > serving.seen {
			room -= f.Interference.Factor(r.step.Image, serving.step.Image) * w.share(r.step)
		}
	}

	return room
}

// share is the part of a worker that a task of a step uses.
func (w *workerRow) share(s *job.Step) float64 {
	return float64(s.Size.MilliCores) / float64(max(1, w.capacity.MilliCores))
}
