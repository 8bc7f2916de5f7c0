// Package boottime reads the monotonic clock that also counts the time for which
// the machine is suspended. Leases are measured with it: the monotonic clock of the
// Go runtime stops during a suspension, while the machine's leases expire.
//
// # Usage
//
//	now := boottime.Now()
package boottime

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine booted, including suspension.
func Now() time.Duration {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		// Linux has this clock since 2.6.39; without it no lease can be measured.
		panic("read CLOCK_BOOTTIME: " + err.Error())
	}

	return time.Duration(t.Nano())
}
