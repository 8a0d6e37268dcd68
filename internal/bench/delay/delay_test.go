package delay_test

import (
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/bench/delay"
	"jacinthcross/internal/bench/stage"
)

const oneWay = 30 * time.Millisecond

type relayed struct {
	box interface{ TryPut(delay.Message) bool }
	at  netip.AddrPort
}

// start starts a relay to a server that sends back what it gets.
func start(c *qt.C, options ...delay.Option) relayed {
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
	at, err := stage.FreeAddress()
	c.Assert(err, qt.IsNil)
	box := delay.NewBox()
	t, err := delay.New(box, at, server.Addr().(*net.TCPAddr).AddrPort(), func(netip.AddrPort) ident.DataCentre { return "a" },
		func(ident.DataCentre) time.Duration { return oneWay }, options...)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		t.Stop()
		<-t.Done()
		server.Close()
	})
	return relayed{box, at}
}

func (r relayed) dial(c *qt.C) net.Conn {
	conn, err := net.Dial("tcp", r.at.String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { conn.Close() })
	return conn
}

// echo sends a byte and returns how long it took to come back, and whether it did.
func echo(c *qt.C, conn net.Conn) (time.Duration, bool) {
	start := time.Now()
	if _, err := conn.Write([]byte{1}); err != nil {
		return 0, false
	}
	c.Assert(conn.SetReadDeadline(start.Add(500*time.Millisecond)), qt.IsNil)
	_, err := io.ReadFull(conn, make([]byte, 1))
	return time.Since(start), err == nil
}

// A relay that does not delay both directions would make data centres look closer than they are.
func TestDelaysBothDirections(t *testing.T) {
	c := qt.New(t)
	d, ok := echo(c, start(c).dial(c))
	c.Assert(ok, qt.IsTrue)
	c.Assert(d >= 2*oneWay, qt.IsTrue, qt.Commentf("%v", d))
}

// A relay that opens connections at once would make new connections look free.
func TestOpeningDelaysFirstBytes(t *testing.T) {
	c := qt.New(t)
	const opening = 50 * time.Millisecond
	r := start(c, delay.WithOpening(opening))
	dialled := time.Now()
	conn := r.dial(c)
	_, ok := echo(c, conn)
	c.Assert(ok, qt.IsTrue)
	d := time.Since(dialled)
	c.Assert(d >= opening+2*oneWay, qt.IsTrue, qt.Commentf("%v", d))
}

// Faults that do not happen would make every test of their handling pass.
func TestFaults(t *testing.T) {
	for _, test := range []struct {
		name     string
		message  delay.Message
		old, new bool
	}{
		{"silence", delay.Silence{}, false, true},
		{"partition", delay.Partition{Closed: true}, false, false},
		{"cut", delay.Cut{From: map[ident.DataCentre]bool{"a": true}}, false, false},
		{"cut of another data centre", delay.Cut{From: map[ident.DataCentre]bool{"b": true}}, true, true},
		{"no partition", delay.Partition{Closed: false}, true, true},
		{"reset", delay.Reset{}, false, true},
		{"nothing to the server", delay.Block{ToServer: true}, false, false},
		{"nothing to the client", delay.Block{ToClient: true}, false, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := start(c)
			old := r.dial(c)
			_, ok := echo(c, old)
			c.Assert(ok, qt.IsTrue)
			c.Assert(r.box.TryPut(test.message), qt.IsTrue)
			time.Sleep(50 * time.Millisecond)
			_, ok = echo(c, old)
			c.Assert(ok, qt.Equals, test.old)
			_, ok = echo(c, r.dial(c))
			c.Assert(ok, qt.Equals, test.new)
		})
	}
}

// A cut that does not end, or that leaves silent connections open, would make the repair after it look slow.
func TestCutEnds(t *testing.T) {
	c := qt.New(t)
	r := start(c)
	old := r.dial(c)
	_, ok := echo(c, old)
	c.Assert(ok, qt.IsTrue)
	c.Assert(r.box.TryPut(delay.Cut{From: map[ident.DataCentre]bool{"a": true}}), qt.IsTrue)
	_, ok = echo(c, r.dial(c))
	c.Assert(ok, qt.IsFalse)
	c.Assert(r.box.TryPut(delay.Cut{}), qt.IsTrue)
	c.Assert(old.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	_, err := old.Read(make([]byte, 1))
	c.Assert(err, qt.ErrorIs, io.EOF)
	_, ok = echo(c, r.dial(c))
	c.Assert(ok, qt.IsTrue)
}

// A block that loses bytes would show as a fault of the programs after its end.
func TestBlockedBytesArrive(t *testing.T) {
	for _, test := range []struct {
		name  string
		block delay.Block
	}{
		{"to the server", delay.Block{ToServer: true}},
		{"to the client", delay.Block{ToClient: true}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := start(c)
			conn := r.dial(c)
			c.Assert(r.box.TryPut(test.block), qt.IsTrue)
			time.Sleep(50 * time.Millisecond)
			_, ok := echo(c, conn)
			c.Assert(ok, qt.IsFalse)
			c.Assert(r.box.TryPut(delay.Block{}), qt.IsTrue)
			c.Assert(conn.SetReadDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
			_, err := io.ReadFull(conn, make([]byte, 1))
			c.Assert(err, qt.IsNil)
		})
	}
}

// A relay that accepts connections for a dead server would turn refused calls into unknown outcomes.
func TestRefusesWhileServerIsDown(t *testing.T) {
	c := qt.New(t)
	server, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	at, err := stage.FreeAddress()
	c.Assert(err, qt.IsNil)
	to := server.Addr().(*net.TCPAddr).AddrPort()
	r, err := delay.New(delay.NewBox(), at, to, func(netip.AddrPort) ident.DataCentre { return "" }, func(ident.DataCentre) time.Duration { return 0 })
	c.Assert(err, qt.IsNil)
	defer r.Stop()
	first := relayed{nil, at}.dial(c)
	carried, err := server.Accept()
	c.Assert(err, qt.IsNil)
	server.Close()
	carried.Close()
	_, err = first.Read(make([]byte, 1))
	c.Assert(err, qt.IsNotNil)
	wait(c, "refused connection", func() bool { return !accepts(at) })
	server, err = net.Listen("tcp", to.String())
	c.Assert(err, qt.IsNil)
	defer server.Close()
	wait(c, "accepted connection", func() bool { return accepts(at) })
}

func accepts(at netip.AddrPort) bool {
	conn, err := net.Dial("tcp", at.String())
	if err == nil {
		conn.Close()
	}
	return err == nil
}

func wait(c *qt.C, what string, condition func() bool) {
	until := time.Now().Add(10 * time.Second)
	for !condition() {
		c.Assert(time.Now().Before(until), qt.IsTrue, qt.Commentf("no %s", what))
		time.Sleep(time.Millisecond)
	}
}
