// Package storeversion remembers which versions of the store a process has known for how long.
//
// # Usage
//
//	var l storeversion.Log
//	l.Note(now, version)                    // with each answer of the store
//	if row.Version <= l.KnownFor(now, d) {} // this process has known of the row for d
//
// The load that it answers is a process that is paused: a request waits in its buffers meanwhile, and is
// read when the process goes on, which may then already know what happened after the request was sent. What
// it has known for a while is older than a request that it reads now, unless the request was held up for
// longer on its way.
package storeversion

import "time"

const (
	// Kept is the longest time that KnownFor is asked for.
	Kept = time.Minute
	// samplePeriod is the least time between two samples.
	samplePeriod = 250 * time.Millisecond
)

type sample struct {
	at      time.Duration
	version int64
}

// Log has samples of the versions that a process knew, in the order of their times.
type Log struct {
	samples []sample
}

// Note records that a version is known at the time now, which never decreases.
func (l *Log) Note(now time.Duration, version int64) {
	last := len(l.samples) - 1

	if last >= 0 && (version <= l.samples[last].version || now < l.samples[last].at+samplePeriod) {
		return
	}

	l.samples = append(l.samples, sample{
		at:      now,
		version: version,
	})

	// The last sample of before is still the answer for Kept.
	for len(l.samples) > 1 && l.samples[1].at <= now-Kept {
		l.samples = l.samples[1:]
	}
}

// KnownFor returns the newest version that was certainly known a time ago, 0 if none was. The time is at
// most Kept.
func (l *Log) KnownFor(now, d time.Duration) int64 {
	for i := len(l.samples) - 1; i >= 0; i-- {
		if l.samples[i].at <= now-d {
			return l.samples[i].version
		}
	}

	return 0
}
