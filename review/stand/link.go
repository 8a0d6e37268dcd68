package main

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"time"
)

// A bucket limits the bytes per second of one direction of a machine's link.
type bucket struct {
	mutex sync.Mutex
	rate  float64
	next  time.Time
}

// take waits until n bytes have passed.
func (b *bucket) take(n int) {
	b.mutex.Lock()
	if now := time.Now(); b.next.Before(now) {
		b.next = now
	}
	b.next = b.next.Add(time.Duration(float64(n) / b.rate * float64(time.Second)))
	until := b.next
	b.mutex.Unlock()
	time.Sleep(time.Until(until))
}

// A link is the link of a machine.
type link struct{ up, down bucket }

func newLink(bitsPerSecond float64) *link {
	return &link{up: bucket{rate: bitsPerSecond / 8}, down: bucket{rate: bitsPerSecond / 8}}
}

// forward forwards connections from one address to another. Bytes to the server pass toServer, and bytes from it
// fromServer.
func forward(listen, server netip.AddrPort, toServer, fromServer *bucket) error {
	l, err := net.Listen("tcp", listen.String())
	if err != nil {
		return err
	}
	if err := limitWindow(l.(*net.TCPListener)); err != nil {
		return err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				// Both sockets have small windows, as the links of the platform have.
				s, err := dialSmall(server, windowOfLink)
				if err != nil {
					_ = c.(*net.TCPConn).SetLinger(0)
					_ = c.Close()
					return
				}
				go copyLimited(s, c, toServer)
				copyLimited(c, s, fromServer)
			}()
		}
	}()
	return nil
}

// windowOfLink is the receive buffer of the sockets at both ends of a link.
const windowOfLink = 16 << 10

// limitWindow limits the receive buffer and the segments of the connections that a listener accepts.
func limitWindow(l *net.TCPListener) error {
	c, err := l.SyscallConn()
	if err != nil {
		return err
	}
	return setWindow(c, windowOfLink)
}

// chunkBytes is the largest piece that a connection sends before another one has its turn.
const chunkBytes = 8 << 10

func copyLimited(to, from net.Conn, b *bucket) {
	defer to.Close()
	defer from.Close()
	buffer := make([]byte, chunkBytes)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			b.take(n)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			if err != io.EOF {
				_ = to.(*net.TCPConn).SetLinger(0)
			}
			return
		}
	}
}
