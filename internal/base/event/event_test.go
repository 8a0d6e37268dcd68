package event_test

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/event"
)

// TestLogCounts guards against events that are logged but not counted.
func TestLogCounts(t *testing.T) {
	var names []string
	event.SetCounter(func(name string) { names = append(names, name) })
	defer event.SetCounter(func(string) {})
	event.DaemonStarted.Log("vm", "vm-1")
	event.NoteRefused.Log("serial", 1)
	qt.Assert(t, names, qt.DeepEquals, []string{"DaemonStarted", "NoteRefused"})
}
