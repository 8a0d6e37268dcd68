package local

import (
	"net"
	"os"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// An upload is a request that one goroutine writes while another one reads its response. The target may respond before it
// has read the whole request.
type upload struct {
	stream net.Conn
	ended  chan struct{} // closed when the write has ended
	err    error         // of the write, set before ended is closed
}

func newUpload(stream net.Conn) *upload { return &upload{stream: stream, ended: make(chan struct{})} }

// end records the result of the write.
func (u *upload) end(err error) {
	u.err = err
	close(u.ended)
}

// connectionError returns the error that ended the connection, if the write got it. The kernel reports such an error
// once: after the write got it, reads return io.EOF behind the received bytes, as if the target had closed the
// connection in order. connectionError is called when a read has returned io.EOF, and stops a write in progress.
func (u *upload) connectionError() error {
	if err := u.stream.SetWriteDeadline(time.Unix(1, 0)); err != nil {
		return errors.Trace(err)
	}
	<-u.ended
	switch {
	case u.err == nil, errors.Is(u.err, os.ErrDeadlineExceeded):
		return nil
	case errors.Is(u.err, syscall.EPIPE):
		// This is the error of a reset that follows the orderly end of what the target sends. A reset without that end is
		// ECONNRESET.
		return nil
	}
	return errors.Annotate(u.err, "the connection failed while the request was being written")
}
