package link

import (
	"io"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"
)

// Bounds of a session. The write timeout ends a session whose peer accepts nothing.
const (
	maxStreamWindow   = 1 << 20
	writeTimeout      = time.Second
	streamOpenTimeout = time.Second
	acceptBacklog     = 1024
)

// NewSession starts multiplexing on a connection. Liveness is checked by the
// link task while calls wait, not by the library's own timer.
func NewSession(c net.Conn, dialled bool) (*yamux.Session, error) {
	config := yamux.DefaultConfig()
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = writeTimeout
	config.StreamOpenTimeout = streamOpenTimeout
	config.MaxStreamWindowSize = maxStreamWindow
	config.AcceptBacklog = acceptBacklog
	config.LogOutput = io.Discard
	if t, ok := c.(*net.TCPConn); ok {
		if err := t.SetNoDelay(true); err != nil {
			return nil, errors.Annotate(err, "set no delay")
		}
	}
	if dialled {
		return yamux.Client(c, config)
	}
	return yamux.Server(c, config)
}
