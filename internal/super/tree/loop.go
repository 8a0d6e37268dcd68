package tree

import (
	"sync"

	"github.com/juju/errors"
)

// A Loop is the common part of a task: one goroutine that runs until it is stopped.
type Loop struct {
	stop chan struct{}
	done chan struct{}
	once sync.Once
	err  error
}

// NewLoop returns a Loop whose goroutine is not started yet.
func NewLoop() *Loop {
	return &Loop{stop: make(chan struct{}), done: make(chan struct{})}
}

// Run runs body, turns a panic into an error, and marks the Loop as done. It is
// called once, as the goroutine that the task's constructor starts.
func (l *Loop) Run(body func() error) {
	defer close(l.done)
	defer func() {
		if r := recover(); r != nil {
			l.err = errors.Errorf("panic: %v", r)
		}
	}()
	l.err = body()
}

// Stopping is closed when the task is asked to end.
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
