// Package bind opens the listening sockets of simulated services.
package bind

import (
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	// maxWait is how long Listen retries while an address is in use. An address can remain in use after its socket was
	// closed: a child process that is being started holds copies of all sockets until it executes its program, which
	// takes milliseconds, and up to a second under load.
	maxWait = 2 * time.Second
	// retryInterval is roughly the time that a process takes to start.
	retryInterval = 5 * time.Millisecond
)

// Listen listens on an address. If the address is in use, it retries for up to maxWait.
func Listen(at netip.AddrPort) (net.Listener, error) {
	for deadline := time.Now().Add(maxWait); ; time.Sleep(retryInterval) {
		l, err := net.Listen("tcp", at.String())
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(deadline) {
			return l, errors.Annotatef(err, "listen on %s", at)
		}
	}
}
