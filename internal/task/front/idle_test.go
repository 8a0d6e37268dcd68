package front

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/alarm"
)

// A fixedClock stands still.
type fixedClock struct{ now time.Time }

func (c fixedClock) Now() time.Time { return c.now }

// Guards against a process that stood still and closes idle connections before it reads the requests on them.
func TestIdleAfterStandstill(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name string
		late time.Duration
	}{
		{"a little longer than an alarm may be late", lateAlarm + 1},
		{"a minute", time.Minute},
	} {
		t.Run(test.name, func(t *testing.T) {
			task := &Task{clock: fixedClock{now}, alarms: alarm.NewQueue[*caller]()}
			c := &caller{task: task, until: now.Add(-test.late)}
			task.wake(c)
			qt.Assert(t, c.until, qt.Equals, now.Add(lateAlarm))
			due := task.alarms.Due(c.until)
			qt.Assert(t, due, qt.HasLen, 1)
			qt.Assert(t, due[0], qt.Equals, c)
		})
	}
}
