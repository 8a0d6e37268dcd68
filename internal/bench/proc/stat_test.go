package proc_test

import (
	"net"
	"os"
	"testing"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/bench/proc"
)

// Guards against confusing connections to two remote addresses that share a local port: proxies would apply the delay of
// another data centre and forward bytes across a simulated network partition.
func TestSocketOwner(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	conn, err := net.Dial("tcp", l.Addr().String())
	c.Assert(err, qt.IsNil)
	defer conn.Close()
	local, remote := conn.LocalAddr().(*net.TCPAddr).AddrPort(), conn.RemoteAddr().(*net.TCPAddr).AddrPort()
	pid, ok := proc.SocketOwner(local, remote, []int{os.Getpid()})
	c.Assert(ok, qt.IsTrue)
	c.Assert(pid, qt.Equals, os.Getpid())
	_, ok = proc.SocketOwner(local, local, []int{os.Getpid()})
	c.Assert(ok, qt.IsFalse)
}
