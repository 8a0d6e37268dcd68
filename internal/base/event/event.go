// Package event defines and logs the numbered events of the daemon, which docs/reference/events.md lists.
package event

import (
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"
)

// A Level is the severity of an event.
type Level string

// Info, Warning and Error are the levels of all events except those about single calls.
const (
	Info    Level = "Info"
	Warning Level = "Warning"
	Error   Level = "Error"
	// Decision is the level of events about single calls. Their lines, the decision lines, are rate-limited in
	// the log; all events are counted.
	Decision Level = "Decision"
)

// An Event is a numbered kind of log message.
type Event struct {
	Number int
	Name   string
	Level  Level
}

// countFunc counts the events of the process. SetCounter sets it, so that this package need not import the metrics
// library.
var countFunc atomic.Pointer[func(name string)]

// SetCounter sets the function that is called with the name of each event. In a process that runs
// several daemons, the one started last counts the events of all of them.
func SetCounter(count func(name string)) { countFunc.Store(&count) }

// Log counts the event and logs it with the given alternating keys and values.
func (e Event) Log(pairs ...any) {
	e.count()
	switch e.Level {
	case Error:
		klog.ErrorSDepth(1, nil, e.message(), pairs...)
	case Warning:
		klog.InfoSDepth(1, e.message(), append([]any{"level", "warning"}, pairs...)...)
	case Decision:
		if !decisionLimiter.take(time.Now()) {
			suppressedDecisions.Add(1)
			return
		}
		klog.InfoSDepth(1, e.message(), pairs...)
	case Info:
		klog.InfoSDepth(1, e.message(), pairs...)
	}
}

func (e Event) count() {
	if count := countFunc.Load(); count != nil {
		(*count)(e.Name)
	}
}
