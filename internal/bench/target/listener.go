package target

import (
	"net"
	"time"

	"github.com/juju/errors"
)

// A slowListener accepts connections that take a time to open.
type slowListener struct {
	net.Listener
	opening time.Duration
}

// Accept implements net.Listener.
func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, errors.Trace(err)
	}
	return slowConn{c, time.Now().Add(l.opening)}, nil
}

// A slowConn is a connection that is open from a time on.
type slowConn struct {
	net.Conn
	open time.Time
}

// Read implements net.Conn.
func (c slowConn) Read(b []byte) (int, error) {
	if d := time.Until(c.open); d > 0 {
		time.Sleep(d)
	}
	// The server compares errors with io.EOF.
	return c.Conn.Read(b)
}
