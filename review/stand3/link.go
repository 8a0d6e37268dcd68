package main

import (
	"net"
	"net/netip"
	"sync"
	"time"
)

// linkPart is the largest part in bytes that a link takes at once, and linkBuffer the size of its socket buffers, which
// stand for the small windows of a link.
const (
	linkPart   = 16 << 10
	linkBuffer = 64 << 10
)

// A link passes the connections to a machine on at a limited rate. All connections share the rate of each direction.
type link struct {
	to       netip.AddrPort
	rate     float64
	in, out  direction
	listener net.Listener
}

// A direction of a link.
type direction struct {
	mutex sync.Mutex
	// free is when the bytes so far have passed, and passed their number.
	free   time.Time
	passed int
}

// newLink starts a link from one address to another. It ends with the process.
func newLink(at, to netip.AddrPort, rate float64) (*link, error) {
	l := &link{to: to, rate: rate}
	var err error
	if l.listener, err = net.Listen("tcp", at.String()); err != nil {
		return nil, err
	}
	go func() {
		for {
			c, err := l.listener.Accept()
			if err != nil {
				return
			}
			go l.serve(c)
		}
	}()
	return l, nil
}

// received returns how many bytes have passed to the machine.
func (l *link) received() int {
	l.in.mutex.Lock()
	defer l.in.mutex.Unlock()
	return l.in.passed
}

func (l *link) serve(c net.Conn) {
	d, err := net.Dial("tcp", l.to.String())
	if err != nil {
		_ = c.Close()
		return
	}
	for _, x := range []net.Conn{c, d} {
		_ = x.(*net.TCPConn).SetReadBuffer(linkBuffer)
		_ = x.(*net.TCPConn).SetWriteBuffer(linkBuffer)
	}
	go l.pass(c, d, &l.in)
	l.pass(d, c, &l.out)
}

// pass copies one direction of a connection. Both connections are closed at its end.
func (l *link) pass(from, to net.Conn, d *direction) {
	defer from.Close()
	defer to.Close()
	b := make([]byte, linkPart)
	for {
		n, err := from.Read(b)
		if n > 0 {
			time.Sleep(time.Until(d.take(n, l.rate)))
			if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// take returns when n further bytes have passed.
func (d *direction) take(n int, rate float64) time.Time {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if now := time.Now(); d.free.Before(now) {
		d.free = now
	}
	d.free = d.free.Add(time.Duration(float64(n) / rate * float64(time.Second)))
	d.passed += n
	return d.free
}
