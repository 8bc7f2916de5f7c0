package fleet

import (
	"maps"
	"slices"
	"time"
)

// idleAbsenceDelay is how long a node whose worker runs nothing is without a session until it is
// absent. An agent that restarts is back within it.
const idleAbsenceDelay = time.Second

// markAbsent records that a node is out of contact and that its worker holds no lease.
func (f *Fleet) markAbsent(node string) { f.absent[node] = true }

// Absent returns the nodes, sorted, that are out of contact and whose workers certainly hold no lease:
// either nothing ran there, or the leases have expired since. A node stops being absent with its
// first full report. It returns false before AwaitReports is called: until then it doesn't know those that
// were absent under the previous leader.
func (f *Fleet) Absent(now time.Duration) ([]string, bool) {
	if !f.nodesKnown {
		return nil, false
	}

	f.awaitsReports(now)
	f.expireRuns(now)

	for _, w := range f.sortedWorkers {
		// A report that was not full doesn't say what runs there.
		if !f.awaits(w.node) && w.idleAbsent(now) {
			f.markAbsent(w.node)
		}
	}

	return slices.Sorted(maps.Keys(f.absent)), true
}

// awaits reports whether a node has sent no full report in this term and may still do so.
func (f *Fleet) awaits(node string) bool {
	_, unreported := f.unreported[node]
	_, idle := f.idle[node]

	return unreported || idle
}

// idleAbsent reports whether a worker has had no session for idleAbsenceDelay and holds no lease.
func (w *workerInfo) idleAbsent(now time.Duration) bool {
	return !w.connected && w.leasesLeft(now) == 0 && now >= w.lastContact+idleAbsenceDelay
}

// leasesLeft returns the longest time for which leases may last on a worker, if it has no contact from now
// on. Ends that are not stored count as leases: the next leader learns of them by the node's report only, and
// would start their tasks again. The task of an end that is reported later than that may run again.
func (w *workerInfo) leasesLeft(now time.Duration) time.Duration {
	end := now
	if len(w.runs) > 0 || w.hasUnrecordedEnds() {
		end = max(end, w.lastContact+MaxLeaseTime)
	}

	if w.strayAt > 0 {
		end = max(end, w.strayAt+MaxLeaseTime)
	}

	return end - now
}

func (w *workerInfo) hasUnrecordedEnds() bool {
	return w.lastEnd.number > 0 &&
		(w.lastEnd.incarnation != w.lastRecorded.incarnation || w.lastEnd.number > w.lastRecorded.number)
}

// Absences is a leader's view of the stored row that lists the absent nodes. The load that it
// answers is a leader that is replaced after machines were lost for good: its successor, who can't
// know that they are gone, would start no task of a loaded job for MaxLeaseTime.
//
// A listed node must not be used, not even by another process on its machine, before the row is known
// not to list it: the next leader would not wait for its report, and start its tasks a second time.
type Absences struct {
	// Version is the version of the row, 0 if there is none.
	Version int64
	// stored is the content of the row, and possible has the nodes that it may list: those of
	// stored, and of writes whose outcome is unknown.
	stored, possible map[string]bool
}

// NewAbsences returns the view of a row that was just read, or of none. No other process may
// write it.
func NewAbsences(nodes []string, version int64) Absences {
	a := Absences{
		Version:  version,
		stored:   map[string]bool{},
		possible: map[string]bool{},
	}

	for _, n := range nodes {
		a.stored[n], a.possible[n] = true, true
	}

	return a
}

// MayList reports whether the row may list a node.
func (a *Absences) MayList(node string) bool { return a.possible[node] }

// Listed returns the nodes that the row lists.
func (a *Absences) Listed() map[string]bool { return a.stored }

// BeginWrite reports whether the row has to be written to list the given nodes and no others. If so,
// the caller tries to write it, and the row may list them from now on.
func (a *Absences) BeginWrite(nodes []string) bool {
	next := NewAbsences(nodes, 0)
	if maps.Equal(next.stored, a.stored) && maps.Equal(next.stored, a.possible) {
		return false
	}

	if a.possible == nil {
		a.possible = map[string]bool{}
	}

	maps.Copy(a.possible, next.stored)

	return true
}

// FinishWrite records that the row lists the given nodes and no others.
func (a *Absences) FinishWrite(nodes []string, version int64) { *a = NewAbsences(nodes, version) }
