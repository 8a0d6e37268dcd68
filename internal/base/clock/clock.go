// Package clock gives access to the system's clock behind a small interface.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// A Clock tells the time. Times carry a monotonic reading, so that differences
// are not affected by changes of the wall clock.
type Clock interface {
	Now() time.Time
}

// A System is the clock of the operating system.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time { return time.Now() }

// Suspended returns for how long the machine has been suspended since its start, which times do not count. A kernel
// that lacks one of the clocks cannot suspend unseen, so that an error counts as none.
func Suspended() time.Duration {
	var all, awake unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &all) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &awake) != nil {
		return 0
	}
	return time.Duration(all.Nano() - awake.Nano())
}
