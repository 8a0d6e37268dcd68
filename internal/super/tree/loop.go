package tree

import (
	"sync"

	"github.com/juju/errors"
)

// A Loop runs the event loop of a task and implements Task with a stop and a done channel. Tasks embed it.
type Loop struct {
	stop chan struct{}
	done chan struct{}
	once sync.Once
	err  error
}

// NewLoop returns a Loop that is not running yet.
func NewLoop() *Loop {
	return &Loop{stop: make(chan struct{}), done: make(chan struct{})}
}

// Run calls body, the event loop, converts a panic to an error, and closes Done. It must be called once, in the
// goroutine that the constructor of the task starts.
func (l *Loop) Run(body func() error) {
	defer close(l.done)
	defer func() {
		if r := recover(); r != nil {
			l.err = errors.Errorf("panic: %v", r)
		}
	}()
	l.err = body()
}

// Stopping returns a channel that is closed when Stop is called.
func (l *Loop) Stopping() <-chan struct{} { return l.stop }

// Stop implements Task.
func (l *Loop) Stop() { l.once.Do(func() { close(l.stop) }) }

// Done implements Task.
func (l *Loop) Done() <-chan struct{} { return l.done }

// Err implements Task.
func (l *Loop) Err() error {
	<-l.done
	return l.err
}
