package tree_test

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/super/tree"
)

// testTimeout limits how long a test waits. It is not a requirement on latency.
const testTimeout = 10 * time.Second

// A worker is a task that fails or panics when it receives a message.
type worker struct {
	*tree.Loop
}

func newWorker(inbox *mail.Box[string], seen chan<- string) *worker {
	w := &worker{Loop: tree.NewLoop()}
	go func() {
		w.Run(func() error {
			select {
			case m := <-inbox.C():
				seen <- m
				if m == "panic" {
					panic(m)
				}
				return errors.New(m)
			case <-w.Stopping():
				return nil
			}
		})
	}()
	return w
}

// TestFailuresEndTheTree guards against a daemon that keeps running while its tasks fail repeatedly, and against
// messages that are lost when a task is restarted.
func TestFailuresEndTheTree(t *testing.T) {
	for _, test := range []struct {
		name     string
		messages []string
		ends     bool
	}{
		{"no failure", nil, false},
		{"five failures", []string{"a", "b", "panic", "d", "e"}, false},
		{"six failures", []string{"a", "b", "panic", "d", "e", "f"}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			inbox := mail.NewBox[string](16)
			for _, m := range test.messages {
				inbox.TryPut(m)
			}
			seen := make(chan string, 16)
			started := make(chan struct{}, 16)
			limit := tree.WithFailureLimit(&tree.FailureLimit{})
			child := tree.NewSupervisor("child", []tree.Child{
				{Name: "worker", Start: func() (tree.Task, error) {
					started <- struct{}{}
					return newWorker(inbox, seen), nil
				}},
			}, limit)
			root := tree.NewSupervisor("root", nil, limit)
			root.AddSupervisor(child)
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			ended := make(chan error, 1)
			go func() { ended <- root.Serve(ctx) }()
			<-started
			for _, m := range test.messages {
				select {
				case got := <-seen:
					qt.Assert(t, got, qt.Equals, m)
				case <-time.After(testTimeout):
					t.Fatal("the task was not restarted after a failure")
				}
			}
			if !test.ends {
				qt.Assert(t, root.StopSupervisor(child), qt.IsNil)
				cancel()
				qt.Assert(t, <-ended, qt.ErrorIs, context.Canceled)
				return
			}
			select {
			case err := <-ended:
				qt.Assert(t, err, qt.ErrorIs, tree.ErrTooManyFailures)
			case <-time.After(testTimeout):
				t.Fatal("the tree did not end after too many failures")
			}
		})
	}
}

// TestStartFailuresCount guards against a daemon that retries the start of a task without end, for example when an
// address is in use.
func TestStartFailuresCount(t *testing.T) {
	starts := 0
	root := tree.NewSupervisor("root", []tree.Child{
		{Name: "worker", Start: func() (tree.Task, error) {
			starts++
			return nil, errors.New("no address")
		}},
	})
	qt.Assert(t, root.Serve(context.Background()), qt.ErrorIs, tree.ErrTooManyFailures)
	qt.Assert(t, starts, qt.Equals, 6)
}
