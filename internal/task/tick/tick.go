// Package tick is the task that records regular ticks, from which readers tell when bytes arrived.
package tick

import (
	"sync/atomic"
	"time"

	"jacinthcross/internal/policy/pause"
	"jacinthcross/internal/super/tree"
)

// An Arrivals holds the ticks of a Task, which alone writes them. Readers of sockets consult it.
type Arrivals struct{ ticks atomic.Pointer[pause.Ticks] }

// Of returns the earliest time at which bytes read at a time may have arrived, and whether that is
// the time of the read. Without a running Task, it is.
func (a *Arrivals) Of(read time.Time) (arrived time.Time, exact bool) {
	if t := a.ticks.Load(); t != nil {
		return t.Arrival(read)
	}
	return read, true
}

// A Task owns the ticks.
type Task struct{ *tree.Loop }

// New starts the task, which writes to arrivals.
func New(arrivals *Arrivals) *Task {
	t := &Task{tree.NewLoop()}
	ticks := pause.NewTicks(time.Now())
	arrivals.ticks.Store(&ticks)
	go func() {
		t.Run(func() error { return t.loop(arrivals, ticks) })
	}()
	return t
}

func (t *Task) loop(arrivals *Arrivals, ticks pause.Ticks) error {
	// Without ticks every later read would be taken for one after a pause.
	defer arrivals.ticks.Store(nil)
	ticker := time.NewTicker(pause.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			// The time in the channel may be that of a tick before a pause.
			ticks = ticks.Next(time.Now())
			published := ticks
			arrivals.ticks.Store(&published)
		case <-t.Stopping():
			return nil
		}
	}
}
