package proxy_test

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/bench/deploy"
	"jacinthcross/internal/bench/proxy"
)

const oneWayDelay = 30 * time.Millisecond

type testProxy struct {
	inbox   interface{ TryPut(proxy.Message) bool }
	address netip.AddrPort
}

// startProxy starts a proxy to an echo server.
func startProxy(c *qt.C, options ...proxy.Option) testProxy {
	server, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	go func() {
		for {
			conn, err := server.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	address, err := deploy.FreeAddress()
	c.Assert(err, qt.IsNil)
	inbox := proxy.NewInbox()
	t, err := proxy.New(inbox, address, server.Addr().(*net.TCPAddr).AddrPort(), func(netip.AddrPort) ident.DataCentre { return "a" },
		func(ident.DataCentre) time.Duration { return oneWayDelay }, options...)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		t.Stop()
		<-t.Done()
		server.Close()
	})
	return testProxy{inbox, address}
}

func (p testProxy) dial(c *qt.C) net.Conn {
	conn, err := net.Dial("tcp", p.address.String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	return conn
}

// echo sends a byte and returns the round-trip time, and whether the byte came back.
func echo(c *qt.C, conn net.Conn) (time.Duration, bool) {
	start := time.Now()
	if _, err := conn.Write([]byte{1}); err != nil {
		return 0, false
	}
	c.Assert(conn.SetReadDeadline(start.Add(500*time.Millisecond)), qt.IsNil)
	_, err := io.ReadFull(conn, make([]byte, 1))
	return time.Since(start), err == nil
}

// Guards against a proxy that delays only one direction, so that data centres appear closer than they are.
func TestDelaysBothDirections(t *testing.T) {
	c := qt.New(t)
	d, ok := echo(c, startProxy(c).dial(c))
	c.Assert(ok, qt.IsTrue)
	c.Assert(d >= 2*oneWayDelay, qt.IsTrue, qt.Commentf("%v", d))
}

// Guards against a proxy that opens connections without delay, so that new connections appear to cost nothing.
func TestOpenDelay(t *testing.T) {
	c := qt.New(t)
	const openDelay = 50 * time.Millisecond
	p := startProxy(c, proxy.WithOpenDelay(openDelay))
	dialled := time.Now()
	conn := p.dial(c)
	_, ok := echo(c, conn)
	c.Assert(ok, qt.IsTrue)
	d := time.Since(dialled)
	c.Assert(d >= openDelay+2*oneWayDelay, qt.IsTrue, qt.Commentf("%v", d))
}

// Guards against faults that are not injected: tests of how daemons handle them would pass without testing anything.
func TestFaults(t *testing.T) {
	for _, test := range []struct {
		name    string
		message proxy.Message
		// Whether bytes still pass on a connection that was opened before, and after, the message.
		oldWorks, newWorks bool
	}{
		{"silenced", proxy.SilenceConnections{}, false, true},
		{"refused", proxy.RefuseConnections{Enabled: true}, false, false},
		{"origin silenced", proxy.SilenceOrigins{From: map[ident.DataCentre]bool{"a": true}}, false, false},
		{"another origin silenced", proxy.SilenceOrigins{From: map[ident.DataCentre]bool{"b": true}}, true, true},
		{"not refused", proxy.RefuseConnections{Enabled: false}, true, true},
		{"reset", proxy.ResetConnections{}, false, true},
		{"blocked to the server", proxy.BlockBytes{ToServer: true}, false, false},
		{"blocked to the client", proxy.BlockBytes{ToClient: true}, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := startProxy(c)
			old := p.dial(c)
			_, ok := echo(c, old)
			c.Assert(ok, qt.IsTrue)
			c.Assert(p.inbox.TryPut(test.message), qt.IsTrue)
			time.Sleep(50 * time.Millisecond)
			_, ok = echo(c, old)
			c.Assert(ok, qt.Equals, test.oldWorks)
			_, ok = echo(c, p.dial(c))
			c.Assert(ok, qt.Equals, test.newWorks)
		})
	}
}

// Guards against origins that stay silenced, or whose silent connections stay open: recovery from a network partition
// would appear slow.
func TestOriginsAreNoLongerSilenced(t *testing.T) {
	c := qt.New(t)
	p := startProxy(c)
	old := p.dial(c)
	_, ok := echo(c, old)
	c.Assert(ok, qt.IsTrue)
	c.Assert(p.inbox.TryPut(proxy.SilenceOrigins{From: map[ident.DataCentre]bool{"a": true}}), qt.IsTrue)
	_, ok = echo(c, p.dial(c))
	c.Assert(ok, qt.IsFalse)
	c.Assert(p.inbox.TryPut(proxy.SilenceOrigins{}), qt.IsTrue)
	c.Assert(old.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	_, err := old.Read(make([]byte, 1))
	c.Assert(err, qt.ErrorIs, io.EOF)
	_, ok = echo(c, p.dial(c))
	c.Assert(ok, qt.IsTrue)
}

// Guards against the loss of blocked bytes, which would appear as a fault of the programs that are tested.
func TestBlockedBytesArrive(t *testing.T) {
	for _, test := range []struct {
		name  string
		block proxy.BlockBytes
	}{
		{"to the server", proxy.BlockBytes{ToServer: true}},
		{"to the client", proxy.BlockBytes{ToClient: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := startProxy(c)
			conn := p.dial(c)
			c.Assert(p.inbox.TryPut(test.block), qt.IsTrue)
			time.Sleep(50 * time.Millisecond)
			_, ok := echo(c, conn)
			c.Assert(ok, qt.IsFalse)
			c.Assert(p.inbox.TryPut(proxy.BlockBytes{}), qt.IsTrue)
			c.Assert(conn.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
			_, err := io.ReadFull(conn, make([]byte, 1))
			c.Assert(err, qt.IsNil)
		})
	}
}

// Guards against a proxy that accepts connections while the server is down: calls that would have been refused would
// have an unknown outcome.
func TestRefusesWhileServerIsDown(t *testing.T) {
	c := qt.New(t)
	server, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	address, err := deploy.FreeAddress()
	c.Assert(err, qt.IsNil)
	serverAddress := server.Addr().(*net.TCPAddr).AddrPort()
	p, err := proxy.New(proxy.NewInbox(), address, serverAddress, func(netip.AddrPort) ident.DataCentre { return "" }, func(ident.DataCentre) time.Duration { return 0 })
	c.Assert(err, qt.IsNil)
	defer p.Stop()
	first := testProxy{nil, address}.dial(c)
	forwarded, err := server.Accept()
	c.Assert(err, qt.IsNil)
	server.Close()
	forwarded.Close()
	_, err = first.Read(make([]byte, 1))
	c.Assert(err, qt.IsNotNil)
	waitFor(c, "refused connection", func() bool { return !accepts(address) })
	server, err = net.Listen("tcp", serverAddress.String())
	c.Assert(err, qt.IsNil)
	defer server.Close()
	waitFor(c, "accepted connection", func() bool { return accepts(address) })
}

func accepts(at netip.AddrPort) bool {
	conn, err := net.Dial("tcp", at.String())
	if err == nil {
		conn.Close()
	}
	return err == nil
}

func waitFor(c *qt.C, what string, condition func() bool) {
	deadline := time.Now().Add(10 * time.Second)
	for !condition() {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("timed out waiting for %s", what))
		time.Sleep(time.Millisecond)
	}
}
