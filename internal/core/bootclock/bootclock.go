// Package uptimer reads a clock that goes on while the host is suspended.
//
// # Why not the runtime's clock
//
// The runtime's monotonic clock stands still while a host is suspended. A
// holder of a lease that wakes up after minutes would believe, by that clock,
// that no time has passed, and act beside its successor. The boot-time clock
// counts suspension and never jumps.
//
// # Usage
//
//	now := uptimer.Now()
//	if uptimer.Now().Before(until) { ... }
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the host's start, as a time that only compares
// with others of this package. Where the boot-time clock can't be read it falls
// back to the runtime's.
func Now() time.Time {
	var t unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &t); err != nil {
		return time.Unix(0, 0).Add(time.Since(start))
	}
	return time.Unix(t.Unix())
}

var start = time.Now()
