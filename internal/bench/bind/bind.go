// Package bind opens listening sockets of stand-ins.
package bind

import (
	"net"
	"net/netip"
	"syscall"
	"time"

	"github.com/juju/errors"
)

const (
	// patience is how long an address may stay in use that was closed just now. A process that is being started holds
	// copies of all sockets until it runs its program, which takes milliseconds, beside load up to a second.
	patience = 2 * time.Second
	// gap is the time between two tries, the time in which a process usually starts.
	gap = 5 * time.Millisecond
)

// Listen listens at an address, and waits while the address is still in use.
func Listen(at netip.AddrPort) (net.Listener, error) {
	for end := time.Now().Add(patience); ; time.Sleep(gap) {
		l, err := net.Listen("tcp", at.String())
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(end) {
			return l, errors.Annotatef(err, "listen at %s", at)
		}
	}
}
