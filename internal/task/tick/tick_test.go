package tick_test

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/policy/pause"
	"jacinthcross/internal/task/tick"
)

// Guards against a stopped task whose last tick makes every later read look like a read after a pause.
func TestStoppedTaskLeavesReadsExact(t *testing.T) {
	arrivals := &tick.ArrivalClock{}
	task := tick.New(arrivals)
	later := time.Now().Add(time.Hour)
	_, exact := arrivals.ArrivalTime(later)
	qt.Assert(t, exact, qt.IsFalse)
	task.Stop()
	<-task.Done()
	arrived, exact := arrivals.ArrivalTime(later)
	qt.Assert(t, arrived, qt.Equals, later)
	qt.Assert(t, exact, qt.IsTrue)
}

// Guards against received bytes that seem newer than they are after a suspension of the machine, during which the
// monotonic clock does not advance, and against a suspension that is not reported.
func TestSuspension(t *testing.T) {
	for _, test := range []struct {
		name      string
		suspended time.Duration
		exact     bool
	}{
		{"long", time.Hour, false},
		{"short", pause.Threshold / 2, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			var total atomic.Int64
			notified := make(chan time.Duration, 1)
			arrivals := &tick.ArrivalClock{}
			started := time.Now()
			task := tick.New(arrivals, tick.WithSuspendedTimeFunc(func() time.Duration { return time.Duration(total.Load()) }),
				tick.WithSuspensionFunc(func(suspended time.Duration) { notified <- suspended }))
			t.Cleanup(func() {
				task.Stop()
				<-task.Done()
			})
			total.Store(int64(test.suspended))
			select {
			case suspended := <-notified:
				qt.Assert(t, suspended, qt.Equals, test.suspended)
				qt.Assert(t, test.exact, qt.IsFalse)
			case <-time.After(3 * pause.TickInterval):
				qt.Assert(t, test.exact, qt.IsTrue)
				return
			}
			// The task notifies before it records the tick.
			for {
				arrived, exact := arrivals.ArrivalTime(time.Now())
				if !exact {
					qt.Assert(t, arrived.Before(started.Add(pause.TickInterval-test.suspended)), qt.IsTrue)
					return
				}
				time.Sleep(time.Millisecond)
			}
		})
	}
}
