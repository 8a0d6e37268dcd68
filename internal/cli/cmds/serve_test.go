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

func (d *fakeDaemon) Reload()               { d.reloads++ }
func (d *fakeDaemon) Abort()                { close(d.aborted) }
func (d *fakeDaemon) Done() <-chan struct{} { return d.done }
func (d *fakeDaemon) Err() error            { return nil }
func (d *fakeDaemon) Shutdown() error {
	select {
	case <-d.aborted:
	case <-d.end:
	}
	return nil
}

// TestSignals guards against cutting off calls during a planned stop when another maintenance operation on the VM sends
// a second SIGTERM, against a second SIGINT that does not stop the daemon at once, and against a SIGHUP that is lost.
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
			d := &fakeDaemon{aborted: make(chan struct{}), end: make(chan struct{}), done: make(chan struct{})}
			stops, reloads := make(chan os.Signal), make(chan os.Signal)
			ended := make(chan error, 1)
			go func() { ended <- handleSignals(d, stops, reloads) }()
			for range test.reloads {
				reloads <- syscall.SIGHUP
			}
			for _, s := range test.stops {
				stops <- s
			}
			if !test.aborted {
				select {
				case <-d.aborted:
					t.Error("the daemon was aborted")
				case <-time.After(50 * time.Millisecond):
				}
				close(d.end)
			}
			qt.Assert(t, <-ended, qt.IsNil)
			qt.Assert(t, d.reloads, qt.Equals, test.reloads)
		})
	}
}
