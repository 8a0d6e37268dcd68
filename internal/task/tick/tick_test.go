package tick_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/task/tick"
)

// Guards against a stopped task after which every read is taken for one after a pause.
func TestStoppedTaskLeavesReadsExact(t *testing.T) {
	arrivals := &tick.Arrivals{}
	task := tick.New(arrivals)
	later := time.Now().Add(time.Hour)
	_, exact := arrivals.Of(later)
	qt.Assert(t, exact, qt.IsFalse)
	task.Stop()
	<-task.Done()
	arrived, exact := arrivals.Of(later)
	qt.Assert(t, arrived, qt.Equals, later)
	qt.Assert(t, exact, qt.IsTrue)
}
