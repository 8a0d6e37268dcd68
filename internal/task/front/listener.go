package front

import (
	"net"
	"sync"
	"time"

	"github.com/juju/errors"
)

// acceptPause is the pause after a failed accept. The library repeats at once, which would spin
// while the process has no free file descriptor.
const acceptPause = 50 * time.Millisecond

// A listener can stop accepting while the engine that uses it keeps its connections.
type listener struct {
	net.Listener
	stopped chan struct{}
	once    sync.Once
}

func newListener(l net.Listener) *listener {
	return &listener{Listener: l, stopped: make(chan struct{})}
}

// Accept implements net.Listener. After stopAccepting it waits for Close.
func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	switch {
	case errors.Is(err, net.ErrClosed):
		<-l.stopped
	case err != nil:
		time.Sleep(acceptPause)
	}
	return c, err
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.once.Do(func() { close(l.stopped) })
	return l.Listener.Close()
}

func (l *listener) stopAccepting() { _ = l.Listener.Close() }
