// Package tree runs tasks under supervisors.
package tree

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/thejerf/suture/v4"
)

// A Task is a running unit that owns its state and its sockets.
type Task interface {
	// Stop asks the task to end. It may be called more than once.
	Stop()
	// Done is closed when the task has ended.
	Done() <-chan struct{}
	// Err returns why the task ended. It is valid after Done is closed.
	Err() error
}

// A Child is a task that a supervisor starts, and starts again when it fails.
type Child struct {
	Name  string
	Start func() (Task, error)
}

// Restart limits of a supervisor: more than restartLimit failures within about
// restartWindow end the supervisor, and with the root the process.
const (
	restartLimit  = 5
	restartWindow = 30 * time.Second
	stopTimeout   = 25 * time.Second
)

// A Supervisor starts its children and restarts those that fail.
type Supervisor struct {
	name  string
	inner *suture.Supervisor
}

// An Option sets a property of a Supervisor.
type Option func(*suture.Spec)

// WithFailureHook calls hook with the name and the error of each child that failed.
func WithFailureHook(hook func(name string, err error)) Option {
	return func(s *suture.Spec) {
		s.EventHook = func(e suture.Event) {
			switch e := e.(type) {
			case suture.EventServiceTerminate:
				hook(e.ServiceName, errors.Errorf("%v", e.Err))
			case suture.EventServicePanic:
				hook(e.ServiceName, errors.Errorf("panic: %s", e.PanicMsg))
			}
		}
	}
}

// NewSupervisor returns a Supervisor of the children.
func NewSupervisor(name string, children []Child, options ...Option) *Supervisor {
	spec := suture.Spec{
		EventHook:        func(suture.Event) {},
		FailureThreshold: restartLimit,
		FailureDecay:     restartWindow.Seconds(),
		FailureBackoff:   time.Second,
		Timeout:          stopTimeout,
	}
	for _, o := range options {
		o(&spec)
	}
	s := &Supervisor{name: name, inner: suture.New(name, spec)}
	for _, c := range children {
		s.inner.Add(service{child: c})
	}
	return s
}

// AddSupervisor makes another Supervisor a child of this one.
func (s *Supervisor) AddSupervisor(child *Supervisor) { s.inner.Add(child.inner) }

// Serve runs the tree until ctx is done.
func (s *Supervisor) Serve(ctx context.Context) error { return s.inner.Serve(ctx) }

// A service adapts a Child, whose constructor starts it, to suture's Serve method.
type service struct {
	child Child
}

// String returns the name of the child, which suture reports in its events.
func (s service) String() string { return s.child.Name }

// Serve starts the child and waits until it ends.
func (s service) Serve(ctx context.Context) error {
	t, err := s.child.Start()
	if err != nil {
		return errors.Annotatef(err, "start %s", s.child.Name)
	}
	select {
	case <-t.Done():
		if err := t.Err(); err != nil {
			return errors.Annotate(err, s.child.Name)
		}
		return suture.ErrDoNotRestart
	case <-ctx.Done():
		t.Stop()
		<-t.Done()
		return ctx.Err()
	}
}
