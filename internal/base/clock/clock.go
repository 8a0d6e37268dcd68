// Package clock provides an interface to the system clock.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// A Clock returns the current time. Its times include a monotonic clock reading, so that
// changes of the wall clock do not affect their differences.
type Clock interface {
	Now() time.Time
}

// A System is the clock of the operating system.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time { return time.Now() }

// SinceBoot returns the time since the machine was started, with the time for which it has been suspended, or 0 if the
// boot-time clock cannot be read.
func SinceBoot() time.Duration {
	var t unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &t) != nil {
		return 0
	}
	return time.Duration(t.Nano())
}

// SuspendedTime returns the total time for which the machine has been suspended since boot. The monotonic clock does
// not count this time. SuspendedTime returns 0 if the boot-time clock or the monotonic clock cannot be read. A
// suspension then remains undetected.
func SuspendedTime() time.Duration {
	var sinceBoot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &sinceBoot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return time.Duration(sinceBoot.Nano() - monotonic.Nano())
}
