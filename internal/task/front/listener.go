package front

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// acceptRetryDelay is the delay after a failed accept. nbio retries at once, which would busy-loop while the process
// has no free file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// A listener can stop accepting connections while the engine keeps the existing ones.
type listener struct {
	net.Listener
	// idle is closed when no connection will be accepted any more and the engine has taken over all that were.
	idle     chan struct{}
	idleOnce sync.Once
	stopped  chan struct{}
	once     sync.Once
}

func newListener(l net.Listener) *listener {
	return &listener{Listener: l, idle: make(chan struct{}), stopped: make(chan struct{})}
}

// Accept implements net.Listener. The engine calls it again once it has taken over the last connection. After
// stopAccepting it blocks until Close.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	switch {
	case errors.Is(err, net.ErrClosed):
		l.idleOnce.Do(func() { close(l.idle) })
		<-l.stopped
	case err != nil:
		time.Sleep(acceptRetryDelay)
	}
	return c, err
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.stopped) })
	return l.Listener.Close()
}

func (l *listener) stopAccepting() { _ = l.Listener.Close() }
