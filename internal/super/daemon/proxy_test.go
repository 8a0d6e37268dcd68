package daemon_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A lossyProxy forwards connections between daemons and can discard their bytes without closing them, as a failed
// network path does.
type lossyProxy struct {
	listener net.Listener
	upstream netip.AddrPort
	bytes    atomic.Int64
	accepted atomic.Int64
	// rate limits the bytes per second of each connection and direction, or is 0 for no limit.
	rate atomic.Int64
	// delay is how long the first bytes of each connection wait.
	delay       atomic.Int64
	mutex       sync.Mutex
	connections []*proxiedConn
}

// A proxiedConn is one forwarded connection. Its server end leads to the upstream address of the proxy.
type proxiedConn struct {
	server, client             net.Conn
	dropToServer, dropToClient atomic.Bool
	// held delays the bytes in both directions while it is locked for writing.
	held sync.RWMutex
}

func newLossyProxy(t testing.TB, upstream netip.AddrPort) *lossyProxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	p := serveLossyProxy(l, upstream)
	t.Cleanup(p.stop)
	return p
}

func serveLossyProxy(l net.Listener, upstream netip.AddrPort) *lossyProxy {
	p := &lossyProxy{listener: l, upstream: upstream}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			p.accepted.Add(1)
			p.forward(c)
		}
	}()
	return p
}

func (p *lossyProxy) stop() {
	p.listener.Close()
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.connections {
		c.server.Close()
		c.client.Close()
	}
}

func (p *lossyProxy) forward(client net.Conn) {
	server, err := net.Dial("tcp", p.upstream.String())
	if err != nil {
		client.Close()
		return
	}
	c := &proxiedConn{server: server, client: client}
	p.mutex.Lock()
	p.connections = append(p.connections, c)
	p.mutex.Unlock()
	if p.rate.Load() > 0 {
		// Otherwise the kernel of the proxy takes hundreds of kilobytes at once.
		for _, end := range []net.Conn{client, server} {
			_ = end.(*net.TCPConn).SetReadBuffer(64 << 10)
		}
	}
	copyBytes := func(to, from net.Conn, drop *atomic.Bool) {
		b := make([]byte, 16<<10)
		for {
			n, err := from.Read(b)
			if err != nil {
				c.held.RLock()
				defer c.held.RUnlock()
				// While bytes are dropped, the close of the connection is not forwarded either.
				if !drop.Load() {
					to.Close()
				}
				return
			}
			if !drop.Load() {
				p.bytes.Add(int64(n))
				c.held.RLock()
				_, err := to.Write(b[:n])
				c.held.RUnlock()
				if err != nil {
					return
				}
				if rate := p.rate.Load(); rate > 0 {
					time.Sleep(time.Duration(n) * time.Second / time.Duration(rate))
				}
			}
		}
	}
	go func() {
		time.Sleep(time.Duration(p.delay.Load()))
		copyBytes(server, client, &c.dropToServer)
	}()
	go func() { copyBytes(client, server, &c.dropToClient) }()
}

// drop discards the bytes of the currently open connections in the given directions. New connections are not affected.
func (p *lossyProxy) drop(toServer, toClient bool) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.connections {
		c.dropToServer.Store(toServer)
		c.dropToClient.Store(toClient)
	}
}

// hold delays the bytes of the currently open connections, and their ends, until the returned function is called. New
// connections are not affected.
func (p *lossyProxy) hold() (resume func()) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	held := slices.Clone(p.connections)
	for _, c := range held {
		c.held.Lock()
	}
	return sync.OnceFunc(func() {
		for _, c := range held {
			c.held.Unlock()
		}
	})
}

func (p *lossyProxy) addr() netip.AddrPort { return p.listener.Addr().(*net.TCPAddr).AddrPort() }

// A fakeTarget is a target that answers each call after a service time and counts the calls it has run.
type fakeTarget struct {
	address netip.AddrPort
	runs    atomic.Int64
}

func newFakeTarget(t testing.TB, serviceTime time.Duration) *fakeTarget {
	f := &fakeTarget{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		f.runs.Add(1)
		time.Sleep(serviceTime)
		_, _ = io.WriteString(w, "answer")
	}))
	t.Cleanup(server.Close)
	f.address = server.Listener.Addr().(*net.TCPAddr).AddrPort()
	return f
}
