package deploy

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"github.com/juju/errors"
)

// portsTried counts the ports that were handed out or found in use. The system never assigns ports below 32768 to
// outgoing connections, so a port stays free between its choice and its use.
var portsTried atomic.Uint32

const (
	firstPort = 20000
	endPort   = 32000
)

// processHost returns a loopback address that only this process uses, so that experiments that run at the same time do
// not take each other's ports.
func processHost() netip.Addr { return hostForPID(os.Getpid()) }

// hostNetwork is the lowest second byte of the addresses that processHost returns. Package platform/fake uses 0 and 1,
// and package soak 2 and 3.
const hostNetwork = 16

func hostForPID(pid int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, hostNetwork + byte(pid>>16&0x7f), byte(pid >> 8), byte(pid)})
}

// FreeAddress returns a free loopback address.
func FreeAddress() (netip.AddrPort, error) {
	for {
		port := firstPort + portsTried.Add(1)
		if port >= endPort {
			return netip.AddrPort{}, errors.New("no free port from 20001 to 31999 at the loopback address of this process")
		}
		a := netip.AddrPortFrom(processHost(), uint16(port))
		l, err := net.Listen("tcp", a.String())
		if err != nil {
			continue
		}
		l.Close()
		return a, nil
	}
}
