// Package tick is the task that records ticks at a fixed interval. After a pause of the process or the machine, readers
// of sockets use them to find the earliest time at which bytes may have arrived.
package tick

import (
	"sync/atomic"
	"time"

	"jacinthcross/internal/base/clock"
	"jacinthcross/internal/policy/pause"
	"jacinthcross/internal/super/tree"
)

// An ArrivalClock estimates when bytes arrived, from the ticks that a Task records. Only that Task writes to it. It is
// safe for concurrent use by readers.
type ArrivalClock struct{ state atomic.Pointer[state] }

type state struct {
	ticks pause.TickRecord
	// readSuspended returns the total time for which the machine has been suspended.
	readSuspended func() time.Duration
}

// ArrivalTime returns the earliest time at which bytes that were read at the given time may have arrived. exact is true
// if that is the time of the read, which it always is without a running Task.
func (a *ArrivalClock) ArrivalTime(read time.Time) (arrived time.Time, exact bool) {
	s := a.state.Load()
	if s == nil {
		return read, true
	}
	suspended := s.ticks.TotalSuspended()
	// Reading the suspended time takes a system call, so it is read again only when the wall clock suggests a
	// suspension.
	if s.ticks.WallClockJumpedForward(read) {
		suspended = s.readSuspended()
	}
	return s.ticks.Arrival(read, suspended)
}

// A Task records the ticks.
type Task struct {
	*tree.Loop
	readSuspended func() time.Duration
	notify        func(suspended time.Duration)
}

// An Option sets a property of a Task.
type Option func(*Task)

// WithSuspendedTimeFunc sets the function that returns the total time for which the machine has been suspended.
func WithSuspendedTimeFunc(read func() time.Duration) Option {
	return func(t *Task) { t.readSuspended = read }
}

// WithSuspensionFunc sets the function that is called with the length of each suspension above pause.Threshold. It
// must not block.
func WithSuspensionFunc(notify func(suspended time.Duration)) Option {
	return func(t *Task) { t.notify = notify }
}

// New starts the task, which writes to arrivalClock.
func New(arrivalClock *ArrivalClock, options ...Option) *Task {
	t := &Task{Loop: tree.NewLoop(), readSuspended: clock.SuspendedTime, notify: func(time.Duration) {}}
	for _, o := range options {
		o(t)
	}
	ticks := pause.NewTickRecord(time.Now(), t.readSuspended())
	arrivalClock.state.Store(&state{ticks, t.readSuspended})
	go func() {
		t.Run(func() error { return t.loop(arrivalClock, ticks) })
	}()
	return t
}

func (t *Task) loop(arrivalClock *ArrivalClock, ticks pause.TickRecord) error {
	// If the ticks of a stopped task stayed, every later read would look like a read after a pause.
	defer arrivalClock.state.Store(nil)
	ticker := time.NewTicker(pause.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			// The time in the channel is not used, since it may be the time of a tick before a pause.
			now, suspended := time.Now(), t.readSuspended()
			if duration := ticks.SuspendedSinceTick(suspended); duration > pause.Threshold {
				t.notify(duration)
			}
			ticks = ticks.WithTick(now, suspended)
			arrivalClock.state.Store(&state{ticks, t.readSuspended})
		case <-t.Stopping():
			return nil
		}
	}
}
