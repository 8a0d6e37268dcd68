// Package tree runs tasks under supervisors.
package tree

import (
	"context"
	"sync"
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

// Restart limits: more than restartLimit failures within restartWindow, of all tasks that share
// a Limit, end the tree and with it the process.
const (
	restartLimit  = 5
	restartWindow = 30 * time.Second
	stopTimeout   = 25 * time.Second
)

// ErrTooManyFailures says that the tasks of the tree failed too often.
var ErrTooManyFailures = errors.ConstError("tasks failed too often: see the TaskFailed events before; start the daemon again")

// A Limit counts the failures of the tasks of a tree.
type Limit struct {
	mutex    sync.Mutex
	failures []time.Time
}

// exceeded notes a failure and reports whether there were too many.
func (l *Limit) exceeded(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	recent := l.failures[:0]
	for _, f := range l.failures {
		if now.Sub(f) < restartWindow {
			recent = append(recent, f)
		}
	}
	l.failures = append(recent, now)
	return len(l.failures) > restartLimit
}

// A Supervisor starts its children and restarts those that fail.
type Supervisor struct {
	name   string
	inner  *suture.Supervisor
	limit  *Limit
	tokens map[*Supervisor]suture.ServiceToken
}

// An Option sets a property of a Supervisor.
type Option func(*settings)

type settings struct {
	spec  suture.Spec
	limit *Limit
}

// WithLimit makes the failures of the children count against a limit that supervisors share.
func WithLimit(limit *Limit) Option { return func(s *settings) { s.limit = limit } }

// WithFailureHook calls hook with the name and the error of each child that failed.
func WithFailureHook(hook func(name string, err error)) Option {
	return func(s *settings) {
		s.spec.EventHook = func(e suture.Event) {
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
	set := settings{limit: &Limit{}, spec: suture.Spec{
		EventHook: func(suture.Event) {},
		// The Limit ends the tree before the library would pause its restarts.
		FailureThreshold: restartLimit + 1,
		FailureDecay:     restartWindow.Seconds(),
		Timeout:          stopTimeout,
	}}
	for _, o := range options {
		o(&set)
	}
	s := &Supervisor{name: name, inner: suture.New(name, set.spec), limit: set.limit, tokens: map[*Supervisor]suture.ServiceToken{}}
	for _, c := range children {
		s.Add(c)
	}
	return s
}

// Add adds a child.
func (s *Supervisor) Add(c Child) { s.inner.Add(service{child: c, limit: s.limit}) }

// AddSupervisor makes another Supervisor a child of this one.
func (s *Supervisor) AddSupervisor(child *Supervisor) { s.tokens[child] = s.inner.Add(child.inner) }

// StopSupervisor stops a child of this one and waits until its tasks have ended.
func (s *Supervisor) StopSupervisor(child *Supervisor) error {
	return errors.Annotatef(s.inner.RemoveAndWait(s.tokens[child], stopTimeout), "stop %s", child.name)
}

// Serve runs the tree until ctx is done, or until its tasks failed too often.
func (s *Supervisor) Serve(ctx context.Context) error {
	err := s.inner.Serve(ctx)
	if errors.Is(err, suture.ErrTerminateSupervisorTree) {
		return errors.Trace(ErrTooManyFailures)
	}
	return err
}

// A service adapts a Child, whose constructor starts it, to suture's Serve method.
type service struct {
	child Child
	limit *Limit
}

// String returns the name of the child, which suture reports in its events.
func (s service) String() string { return s.child.Name }

// Serve starts the child and waits until it ends.
func (s service) Serve(ctx context.Context) error {
	t, err := s.child.Start()
	if err != nil {
		return s.failed(errors.Annotatef(err, "start %s", s.child.Name))
	}
	select {
	case <-t.Done():
		if err := t.Err(); err != nil {
			return s.failed(errors.Annotate(err, s.child.Name))
		}
		return suture.ErrDoNotRestart
	case <-ctx.Done():
		t.Stop()
		<-t.Done()
		return ctx.Err()
	}
}

func (s service) failed(err error) error {
	if s.limit.exceeded(time.Now()) {
		return errors.Annotate(suture.ErrTerminateSupervisorTree, err.Error())
	}
	return err
}
