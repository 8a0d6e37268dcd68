package cmds

import (
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A fakeDaemon simulates a daemon whose planned stop lasts until it is aborted or end is closed.
type fakeDaemon struct {
	reloads int
	aborted chan struct{}
	end     chan struct{}
	done    chan struct{}
}

func (r *fakeDaemon) Reload()               { r.reloads++ }
func (r *fakeDaemon) Abort()                { close(r.aborted) }
func (r *fakeDaemon) Done() <-chan struct{} { return r.done }
func (r *fakeDaemon) Err() error            { return nil }
func (r *fakeDaemon) Shutdown() error {
	select {
	case <-r.aborted:
	case <-r.end:
	}
	return nil
}

// Guards against cutting off calls during a planned stop when another maintenance operation on the VM sends a second
// SIGTERM.
func TestSignals(t *testing.T) {
	for _, test := range []struct {
		name    string
		reloads int
		stops   []os.Signal
		aborted bool
	}{
		{"one SIGTERM", 0, []os.Signal{syscall.SIGTERM}, false},
		{"one SIGINT", 0, []os.Signal{syscall.SIGINT}, false},
		{"repeated SIGTERM", 0, []os.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM}, false},
		{"two SIGINT", 0, []os.Signal{syscall.SIGINT, syscall.SIGINT}, true},
		{"SIGTERM, then SIGINT", 0, []os.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGINT}, true},
		{"SIGHUP, then SIGTERM", 2, []os.Signal{syscall.SIGTERM}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := &fakeDaemon{aborted: make(chan struct{}), end: make(chan struct{}), done: make(chan struct{})}
			stops, reloads := make(chan os.Signal), make(chan os.Signal)
			ended := make(chan error, 1)
			go func() { ended <- handleSignals(r, stops, reloads) }()
			for range test.reloads {
				reloads <- syscall.SIGHUP
			}
			for _, s := range test.stops {
				stops <- s
			}
			if !test.aborted {
				select {
				case <-r.aborted:
					t.Error("the daemon was aborted")
				case <-time.After(50 * time.Millisecond):
				}
				close(r.end)
			}
			qt.Assert(t, <-ended, qt.IsNil)
			qt.Assert(t, r.reloads, qt.Equals, test.reloads)
		})
	}
}
