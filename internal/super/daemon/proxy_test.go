package daemon_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// A relay passes bytes between daemons and can drop them silently, as a failed path does.
type relay struct {
	listener net.Listener
	target   netip.AddrPort
	bytes    atomic.Int64
	accepted atomic.Int64
	mutex    sync.Mutex
	paths    []*path
}

// A path is one relayed connection.
type path struct {
	there, back         net.Conn
	dropThere, dropBack atomic.Bool
}

func newRelay(t testing.TB, target netip.AddrPort) *relay {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	r := serveRelay(l, target)
	t.Cleanup(r.stop)
	return r
}

func serveRelay(l net.Listener, target netip.AddrPort) *relay {
	r := &relay{listener: l, target: target}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r.accepted.Add(1)
			r.open(c)
		}
	}()
	return r
}

func (r *relay) stop() {
	r.listener.Close()
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, p := range r.paths {
		p.there.Close()
		p.back.Close()
	}
}

func (r *relay) open(c net.Conn) {
	there, err := net.Dial("tcp", r.target.String())
	if err != nil {
		c.Close()
		return
	}
	p := &path{there: there, back: c}
	r.mutex.Lock()
	r.paths = append(r.paths, p)
	r.mutex.Unlock()
	copyBytes := func(to, from net.Conn, drop *atomic.Bool) {
		b := make([]byte, 64<<10)
		for {
			n, err := from.Read(b)
			if err != nil {
				// A dropping path hides the end of the connection too.
				if !drop.Load() {
					to.Close()
				}
				return
			}
			if !drop.Load() {
				r.bytes.Add(int64(n))
				if _, err := to.Write(b[:n]); err != nil {
					return
				}
			}
		}
	}
	go func() { copyBytes(there, c, &p.dropThere) }()
	go func() { copyBytes(c, there, &p.dropBack) }()
}

// drop makes the connections that are open now lose their bytes. New ones work.
func (r *relay) drop(there, back bool) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	for _, p := range r.paths {
		p.dropThere.Store(there)
		p.dropBack.Store(back)
	}
}

func (r *relay) addr() netip.AddrPort { return r.listener.Addr().(*net.TCPAddr).AddrPort() }

// A standIn is a target that answers after a service time and counts its runs.
type standIn struct {
	address netip.AddrPort
	runs    atomic.Int64
}

func newStandIn(t testing.TB, service time.Duration) *standIn {
	s := &standIn{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return
		}
		s.runs.Add(1)
		time.Sleep(service)
		_, _ = io.WriteString(w, "answer")
	}))
	t.Cleanup(server.Close)
	s.address = server.Listener.Addr().(*net.TCPAddr).AddrPort()
	return s
}
