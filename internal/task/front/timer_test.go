package front

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/alarm"
)

// A fixedClock always returns the same time.
type fixedClock struct{ now time.Time }

func (c fixedClock) Now() time.Time { return c.now }

// Guards against closing idle connections after a process pause before the requests waiting on them are read.
func TestIdleTimeoutAfterPause(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name  string
		delay time.Duration
	}{
		{"just above the maximum timer delay", maxTimerDelay + 1},
		{"a minute", time.Minute},
	} {
		t.Run(test.name, func(t *testing.T) {
			task := &Task{clock: fixedClock{now}, timers: alarm.NewQueue[*connection]()}
			c := &connection{task: task, closeAt: now.Add(-test.delay)}
			task.handleTimer(c)
			qt.Assert(t, c.closeAt, qt.Equals, now.Add(maxTimerDelay))
			due := task.timers.PopDue(c.closeAt)
			qt.Assert(t, due, qt.HasLen, 1)
			qt.Assert(t, due[0], qt.Equals, c)
		})
	}
}
