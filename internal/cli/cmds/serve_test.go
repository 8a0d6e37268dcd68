package cmds

import (
	"os"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A recorder is a daemon whose planned stop lasts until it is aborted or told to end.
type recorder struct {
	reloads int
	aborted chan struct{}
	end     chan struct{}
	done    chan struct{}
}

func (r *recorder) Reload()               { r.reloads++ }
func (r *recorder) Abort()                { close(r.aborted) }
func (r *recorder) Done() <-chan struct{} { return r.done }
func (r *recorder) Err() error            { return nil }
func (r *recorder) Drain() error {
	select {
	case <-r.aborted:
	case <-r.end:
	}
	return nil
}

// Guards against a second SIGTERM, of another planned work on the VM, that cuts off the calls of the first stop.
func TestSignals(t *testing.T) {
	for _, test := range []struct {
		name    string
		reloads int
		stops   []os.Signal
		aborted bool
	}{
		{"one SIGTERM", 0, []os.Signal{syscall.SIGTERM}, false},
		{"one SIGINT", 0, []os.Signal{syscall.SIGINT}, false},
		{"two SIGTERM", 0, []os.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGTERM}, false},
		{"two SIGINT", 0, []os.Signal{syscall.SIGINT, syscall.SIGINT}, true},
		{"SIGTERM and SIGINT", 0, []os.Signal{syscall.SIGTERM, syscall.SIGTERM, syscall.SIGINT}, true},
		{"SIGHUP before", 2, []os.Signal{syscall.SIGTERM}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			r := &recorder{aborted: make(chan struct{}), end: make(chan struct{}), done: make(chan struct{})}
			stops, reloads := make(chan os.Signal), make(chan os.Signal)
			ended := make(chan error, 1)
			go func() { ended <- follow(r, stops, reloads) }()
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
