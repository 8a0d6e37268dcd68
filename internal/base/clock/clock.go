// Package clock gives access to the system's clock behind a small interface.
package clock

import "time"

// A Clock tells the time. Times carry a monotonic reading, so that differences
// are not affected by changes of the wall clock.
type Clock interface {
	Now() time.Time
}

// A System is the clock of the operating system.
type System struct{}

// Now returns the current time.
func (System) Now() time.Time { return time.Now() }
