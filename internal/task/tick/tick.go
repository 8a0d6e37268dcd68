// Package tick is the task that records regular ticks, from which readers tell when bytes arrived.
package tick

import (
	"sync/atomic"
	"time"

	"jacinthcross/internal/base/clock"
	"jacinthcross/internal/policy/pause"
	"jacinthcross/internal/super/tree"
)

// An Arrivals holds the ticks of a Task, which alone writes them. Readers of sockets consult it.
type Arrivals struct{ state atomic.Pointer[state] }

type state struct {
	ticks     pause.Ticks
	suspended func() time.Duration
}

// Of returns the earliest time at which bytes read at a time may have arrived, and whether that is
// the time of the read. Without a running Task, it is.
func (a *Arrivals) Of(read time.Time) (arrived time.Time, exact bool) {
	s := a.state.Load()
	if s == nil {
		return read, true
	}
	suspended := s.ticks.Suspended()
	// The system is asked for a suspension only when the time of day suggests one, since that is a call of it.
	if s.ticks.Shifted(read) {
		suspended = s.suspended()
	}
	return s.ticks.Arrival(read, suspended)
}

// A Task owns the ticks.
type Task struct {
	*tree.Loop
	suspended func() time.Duration
	notify    func(slept time.Duration)
}

// An Option sets a property of a Task.
type Option func(*Task)

// WithSuspended sets what tells for how long the machine has been suspended in all.
func WithSuspended(suspended func() time.Duration) Option {
	return func(t *Task) { t.suspended = suspended }
}

// WithNotify sets what is told of a suspension that counts as a pause. It must not block.
func WithNotify(notify func(slept time.Duration)) Option { return func(t *Task) { t.notify = notify } }

// New starts the task, which writes to arrivals.
func New(arrivals *Arrivals, options ...Option) *Task {
	t := &Task{Loop: tree.NewLoop(), suspended: clock.Suspended, notify: func(time.Duration) {}}
	for _, o := range options {
		o(t)
	}
	ticks := pause.NewTicks(time.Now(), t.suspended())
	arrivals.state.Store(&state{ticks, t.suspended})
	go func() {
		t.Run(func() error { return t.loop(arrivals, ticks) })
	}()
	return t
}

func (t *Task) loop(arrivals *Arrivals, ticks pause.Ticks) error {
	// Without ticks every later read would be taken for one after a pause.
	defer arrivals.state.Store(nil)
	ticker := time.NewTicker(pause.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			// The time in the channel may be that of a tick before a pause.
			now, suspended := time.Now(), t.suspended()
			if slept := ticks.Slept(suspended); slept > pause.Threshold {
				t.notify(slept)
			}
			ticks = ticks.Next(now, suspended)
			arrivals.state.Store(&state{ticks, t.suspended})
		case <-t.Stopping():
			return nil
		}
	}
}
