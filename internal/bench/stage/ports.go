package stage

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"github.com/juju/errors"
)

// given counts the ports that were given out. Ports below 32768 are never taken by
// outgoing connections, so a port stays free between its choice and its use.
var given atomic.Uint32

const (
	firstPort = 20000
	endPort   = 32000
)

// host is an address of loopback that only this process uses: experiments that run
// at the same time do not take each other's ports.
func host() netip.Addr { return hostOf(os.Getpid()) }

// hostNetwork is the second byte of the first addresses, apart from those of the sites of platform/fake.
const hostNetwork = 16

func hostOf(pid int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, hostNetwork + byte(pid>>16&0x7f), byte(pid >> 8), byte(pid)})
}

// FreeAddress returns a free address of loopback.
func FreeAddress() (netip.AddrPort, error) {
	for {
		port := firstPort + given.Add(1)
		if port >= endPort {
			return netip.AddrPort{}, errors.New("no free port between 20000 and 32000")
		}
		a := netip.AddrPortFrom(host(), uint16(port))
		l, err := net.Listen("tcp", a.String())
		if err != nil {
			continue
		}
		l.Close()
		return a, nil
	}
}
