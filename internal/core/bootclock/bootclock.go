// Package bootclock reads a monotonic clock that advances while the host is suspended.
//
// The runtime's monotonic clock stops while a host is suspended. A lease holder that resumes
// after minutes would see no time passed on it and act concurrently with its successor.
// CLOCK_BOOTTIME includes the time of suspension and never jumps.
//
// # Usage
//
//	until := bootclock.Now().Add(lease)
//	if bootclock.Now().Before(until) { ... }
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host booted, as a time that can be compared only with other
// results of Now. If CLOCK_BOOTTIME can't be read, it falls back to the runtime's monotonic
// clock.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Unix(0, 0).Add(time.Since(start))
	}
	return time.Unix(t.Unix())
}

var start = time.Now()
