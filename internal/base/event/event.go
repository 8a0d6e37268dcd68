// Package event writes the numbered log events. docs/reference/events.md is their catalogue.
package event

import (
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// A Level is the severity of an event.
type Level string

// The levels.
const (
	Info    Level = "Info"
	Warning Level = "Warning"
	Error   Level = "Error"
	// Decision is the level of events on single calls. Under load only a part of them is written; all are counted.
	Decision Level = "Decision"
)

// An Event is one numbered kind of log line.
type Event struct {
	Number int
	Name   string
	Level  Level
}

// counter counts the events of the process. It is set from outside, so that this package needs no metrics.
var counter atomic.Pointer[func(name string)]

// SetCounter sets the function that is called with the name of each logged event. When a process runs
// several daemons, the last one started counts the events of all.
func SetCounter(count func(name string)) { counter.Store(&count) }

// Log writes the event with alternating keys and values.
func (e Event) Log(pairs ...any) {
	e.count()
	switch e.Level {
	case Error:
		klog.ErrorSDepth(1, nil, e.message(), pairs...)
	case Warning:
		klog.InfoSDepth(1, e.message(), append([]any{"level", "warning"}, pairs...)...)
	case Decision:
		if !decisions.take(time.Now()) {
			skipped.Add(1)
			return
		}
		klog.InfoSDepth(1, e.message(), pairs...)
	case Info:
		klog.InfoSDepth(1, e.message(), pairs...)
	}
}

func (e Event) count() {
	if count := counter.Load(); count != nil {
		(*count)(e.Name)
	}
}
