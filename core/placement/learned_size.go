package placement

const (
	// minUsageSamples is the number of usage samples needed to replace the
	// declared size.
	minUsageSamples = 5
	// sizeMargin is the factor by which a size exceeds the peak usage.
	sizeMargin = 1.15
	// peakDecay is the factor by which a peak decays with each sample.
	peakDecay = 0.999
)

// learnedSize estimates the size of a job's tasks from their peak usage.
type learnedSize struct {
	samples    int
	milliCores float64
	memoryMB   float64
}

func (l *learnedSize) add(used Size) {
	l.samples++
	l.milliCores = max(l.milliCores*peakDecay, float64(used.MilliCores))
	l.memoryMB = max(l.memoryMB*peakDecay, float64(used.MemoryMB))
}

// size returns the amount to commit for a task of a declared size. Accelerators
// always stay as declared.
func (l *learnedSize) size(declared Size) Size {
	if l.samples < minUsageSamples {
		return declared
	}

	return Size{
		MilliCores:   learnedAmount(l.milliCores, declared.MilliCores),
		MemoryMB:     learnedAmount(l.memoryMB, declared.MemoryMB),
		Accelerators: declared.Accelerators,
	}
}

// learnedAmount adds a margin to the peak, but doesn't exceed the declared amount
// while usage is within it. A margin on an accurate declaration would leave
// resources unused.
func learnedAmount(peak float64, declared int64) int64 {
	withMargin := max(1, int64(peak*sizeMargin))
	if peak <= float64(declared) {
		return min(withMargin, declared)
	}

	return withMargin
}

// learnSizes adds the reported usage of a worker's unthrottled attempts to the
// estimates of their jobs.
func (s *Scheduler) learnSizes(r *workerInfo) {
	for _, t := range r.report.Tasks {
		if t.Phase != PhaseRunning || r.throttleStep[t.ID] > 0 || s.evicting[t.ID] != nil {
			continue
		}

		if j, ok := s.jobs[t.ID.Job]; ok {
			j.learned.add(t.Used)
		}
	}
}
