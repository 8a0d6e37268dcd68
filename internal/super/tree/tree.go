// Package tree runs tasks under a tree of supervisors, which restart those that fail.
package tree

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/thejerf/suture/v4"
)

// A Task is a running component that owns its state and its sockets.
type Task interface {
	// Stop tells the task to end, without waiting for it. It may be called more than once.
	Stop()
	// Done returns a channel that is closed when the task has ended.
	Done() <-chan struct{}
	// Err returns the error with which the task ended, or nil. It is valid after Done is closed.
	Err() error
}

// A Child is a task under a Supervisor: its name in logs and the function that starts it. The supervisor calls Start
// again when the task fails.
type Child struct {
	Name  string
	Start func() (Task, error)
}

const (
	// The tree, and with it the process, ends after more than maxFailures failures within failureWindow. The failures
	// of tasks that share a FailureLimit are counted together.
	maxFailures   = 5
	failureWindow = 30 * time.Second
	// stopTimeout bounds the wait for the tasks of a supervisor to end.
	stopTimeout = 25 * time.Second
)

// ErrTooManyFailures is returned by Serve when the tasks of the tree exceed their failure limit.
var ErrTooManyFailures = errors.ConstError("tasks failed too often: see the TaskFailed events in the log, then restart the daemon")

// A FailureLimit limits how often the tasks that share it may fail within failureWindow.
type FailureLimit struct {
	mutex    sync.Mutex
	failures []time.Time
}

// addFailure records a failure and reports whether the limit is exceeded.
func (l *FailureLimit) addFailure(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	recent := l.failures[:0]
	for _, f := range l.failures {
		if now.Sub(f) < failureWindow {
			recent = append(recent, f)
		}
	}
	l.failures = append(recent, now)
	return len(l.failures) > maxFailures
}

// A Supervisor starts its children and restarts those that fail.
type Supervisor struct {
	name   string
	inner  *suture.Supervisor
	limit  *FailureLimit
	tokens map[*Supervisor]suture.ServiceToken
}

// An Option sets a property of a Supervisor.
type Option func(*config)

type config struct {
	spec  suture.Spec
	limit *FailureLimit
}

// WithFailureLimit sets the FailureLimit of the children. Several supervisors may share a FailureLimit.
func WithFailureLimit(limit *FailureLimit) Option { return func(c *config) { c.limit = limit } }

// WithFailureHook sets a function that is called with the name and the error of each child that fails.
func WithFailureHook(hook func(name string, err error)) Option {
	return func(c *config) {
		c.spec.EventHook = func(e suture.Event) {
			switch e := e.(type) {
			case suture.EventServiceTerminate:
				hook(e.ServiceName, errors.Errorf("%v", e.Err))
			case suture.EventServicePanic:
				hook(e.ServiceName, errors.Errorf("panic: %s", e.PanicMsg))
			}
		}
	}
}

// NewSupervisor returns a Supervisor of the children. Serve starts them.
func NewSupervisor(name string, children []Child, options ...Option) *Supervisor {
	settings := config{limit: &FailureLimit{}, spec: suture.Spec{
		EventHook: func(suture.Event) {},
		// suture's threshold is above maxFailures, so that the FailureLimit ends the tree before suture delays restarts.
		FailureThreshold: maxFailures + 1,
		FailureDecay:     failureWindow.Seconds(),
		Timeout:          stopTimeout,
	}}
	for _, o := range options {
		o(&settings)
	}
	s := &Supervisor{name: name, inner: suture.New(name, settings.spec), limit: settings.limit, tokens: map[*Supervisor]suture.ServiceToken{}}
	for _, c := range children {
		s.Add(c)
	}
	return s
}

// Add adds a child, and starts it when the Supervisor is running.
func (s *Supervisor) Add(c Child) { s.inner.Add(sutureService{child: c, limit: s.limit}) }

// AddSupervisor adds another Supervisor as a child.
func (s *Supervisor) AddSupervisor(child *Supervisor) { s.tokens[child] = s.inner.Add(child.inner) }

// StopSupervisor stops a child Supervisor and waits until its tasks have ended, for stopTimeout at most.
func (s *Supervisor) StopSupervisor(child *Supervisor) error {
	return errors.Annotatef(s.inner.RemoveAndWait(s.tokens[child], stopTimeout), "stop %s", child.name)
}

// Serve runs the tree until ctx is done, or until its tasks exceed their failure limit.
func (s *Supervisor) Serve(ctx context.Context) error {
	err := s.inner.Serve(ctx)
	if errors.Is(err, suture.ErrTerminateSupervisorTree) {
		return errors.Trace(ErrTooManyFailures)
	}
	return err
}

// A sutureService adapts a Child to suture.Service, whose Serve method returns when the task has ended. The services of
// suture are tasks here, not services that an ident.Service names.
type sutureService struct {
	child Child
	limit *FailureLimit
}

// String returns the name of the child, which suture includes in its events.
func (s sutureService) String() string { return s.child.Name }

// Serve starts the child and waits until it ends. A child that ends without an error is not restarted.
func (s sutureService) Serve(ctx context.Context) error {
	t, err := s.child.Start()
	if err != nil {
		return s.countFailure(errors.Annotatef(err, "start %s", s.child.Name))
	}
	select {
	case <-t.Done():
		if err := t.Err(); err != nil {
			return s.countFailure(errors.Annotate(err, s.child.Name))
		}
		return suture.ErrDoNotRestart
	case <-ctx.Done():
		t.Stop()
		<-t.Done()
		return ctx.Err()
	}
}

// countFailure counts err against the limit, and returns the error that ends the tree when the limit is exceeded.
func (s sutureService) countFailure(err error) error {
	if s.limit.addFailure(time.Now()) {
		return errors.Annotate(suture.ErrTerminateSupervisorTree, err.Error())
	}
	return err
}
