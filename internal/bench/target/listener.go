package target

import (
	"net"
	"time"

	"github.com/juju/errors"
)

// A slowListener simulates connections that take openDelay to open: no bytes are read from them before that time.
type slowListener struct {
	net.Listener
	openDelay time.Duration
}

// Accept implements net.Listener.
func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return slowConn{c, time.Now().Add(l.openDelay)}, nil
}

// A slowConn delays reads until openAt.
type slowConn struct {
	net.Conn
	openAt time.Time
}

// Read implements net.Conn.
func (c slowConn) Read(b []byte) (int, error) {
	if d := time.Until(c.openAt); d > 0 {
		time.Sleep(d)
	}
	// The error is not wrapped, since net/http compares it with io.EOF.
	return c.Conn.Read(b)
}
