package main

import (
	"net"
	"sync"
	"time"
)

// A proxy forwards TCP connections over a link with a bandwidth, which all of its connections share in each direction.
type proxy struct {
	listener           net.Listener
	server             string
	toServer, toClient *bandwidth
}

// newProxy starts a proxy. bytesPerSecond is the bandwidth, or 0 for no limit.
func newProxy(listen, server string, bytesPerSecond int) (*proxy, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, server: server, toServer: &bandwidth{rate: bytesPerSecond}, toClient: &bandwidth{rate: bytesPerSecond}}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) serve(client net.Conn) {
	defer client.Close()
	server, err := net.DialTimeout("tcp", p.server, time.Second)
	if err != nil {
		return
	}
	defer server.Close()
	var g sync.WaitGroup
	g.Go(func() { forward(server, client, p.toServer) })
	g.Go(func() { forward(client, server, p.toClient) })
	g.Wait()
}

// windowBytes is the size of the socket buffers of a proxied connection. Links have small windows.
const windowBytes = 64 << 10

func forward(to, from net.Conn, b *bandwidth) {
	defer to.Close()
	defer from.Close()
	for _, c := range []net.Conn{to, from} {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetReadBuffer(windowBytes)
			_ = t.SetWriteBuffer(windowBytes)
		}
	}
	buffer := make([]byte, 8<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			b.wait(n)
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

// A bandwidth is the rate of a link in one direction.
type bandwidth struct {
	mutex sync.Mutex
	rate  int
	free  time.Time
	total int
}

// sent returns the number of bytes that the link has carried.
func (b *bandwidth) sent() int {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	return b.total
}

// maxCredit is how far the bytes that have passed may lag behind the rate of the link without being lost to it.
const maxCredit = 50 * time.Millisecond

// wait waits until the link has sent n bytes more.
func (b *bandwidth) wait(n int) {
	b.mutex.Lock()
	b.total += n
	if b.rate == 0 {
		b.mutex.Unlock()
		return
	}
	// A sleep that took too long is made up for by the next ones.
	if earliest := time.Now().Add(-maxCredit); b.free.Before(earliest) {
		b.free = earliest
	}
	b.free = b.free.Add(time.Duration(n) * time.Second / time.Duration(b.rate))
	until := b.free
	b.mutex.Unlock()
	time.Sleep(time.Until(until))
}
