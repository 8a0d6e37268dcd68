package listen

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/oklog/run"

	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/guard"
	"jacinthcross/internal/base/limit"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/wire/codec"
)

const (
	// maxSessions limits the accepted sessions. A daemon opens one connection to each peer that it uses, and another one
	// for large bodies, and any daemon in the fleet may call any other. The largest fleet has 1,800 daemons: 150 in each of
	// twelve data centres.
	maxSessions = 4096
	// inactivityTimeout closes an accepted session without traffic. The dialling end closes an idle connection after
	// 60 s, so after a longer silence the peer must have disappeared without closing it.
	inactivityTimeout = 90 * time.Second
	// If nothing is received for pingAfter while a request is in progress, the peer is pinged, and it must answer
	// within pingTimeout. The task checks this every checkInterval. The dialling end pings after 200 ms already, so pings
	// from this end add traffic only if bytes from the peer are lost.
	pingAfter     = 500 * time.Millisecond
	pingTimeout   = 300 * time.Millisecond
	checkInterval = 250 * time.Millisecond
	// stopTimeout limits the wait for requests in progress when the task stops.
	stopTimeout = time.Second
	// acceptRetryDelay is the delay after a failed accept. Without it the accept would be retried in a busy loop.
	acceptRetryDelay = 50 * time.Millisecond
)

// A Task owns the listener for peers and the accepted sessions.
type Task struct {
	*tree.Loop
	listener          net.Listener
	server            *Server
	inbox             *mail.Box[Message]
	sessions          map[*link.Session]*peerSession
	sessionSlots      chan struct{}
	sessionGoroutines sync.WaitGroup
	limitReporter     *limit.Reporter
	// greetings holds the connections that were accepted last, of which some have not sent their Hello yet.
	greetings chan *acceptedConn
}

// A peerSession is the task's state of an accepted session.
type peerSession struct {
	hello codec.Hello
	// pinging is true while a ping is in progress.
	pinging bool
	// silent is true while a ping is overdue.
	silent bool
}

// A TaskOption sets a property of a Task.
type TaskOption func(*Task)

// WithMaxSessions limits the accepted sessions, at most to the default.
func WithMaxSessions(n int) TaskOption {
	return func(t *Task) { t.sessionSlots = make(chan struct{}, min(n, maxSessions)) }
}

// WithLimitReporter sets the Reporter that records when the limit of the sessions is reached.
func WithLimitReporter(r *limit.Reporter) TaskOption { return func(t *Task) { t.limitReporter = r } }

// New starts a task that listens for peers at an address. It receives messages from inbox.
func New(at netip.AddrPort, server *Server, inbox *mail.Box[Message], options ...TaskOption) (*Task, error) {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, errors.Annotatef(err, "listen for peers at %s", at)
	}
	t := &Task{
		Loop:         tree.NewLoop(),
		listener:     l,
		server:       server,
		inbox:        inbox,
		sessions:     map[*link.Session]*peerSession{},
		sessionSlots: make(chan struct{}, maxSessions),

		limitReporter: limit.NewReporter(func(limit.Name, int) {}),
	}
	for _, o := range options {
		o(t)
	}
	t.greetings = make(chan *acceptedConn, max(1, cap(t.sessionSlots)/2))
	go func() {
		t.Run(t.loop)
	}()
	return t, nil
}

// Addr returns the address at which the task listens.
func (t *Task) Addr() netip.AddrPort {
	return t.listener.Addr().(*net.TCPAddr).AddrPort()
}

func (t *Task) loop() error {
	defer t.stopSessions()
	var g run.Group
	g.Add(t.accept, func(error) { t.listener.Close() })
	g.Add(t.receiveAll, func(error) { t.Stop() })
	return g.Run()
}

func (t *Task) receiveAll() error {
	tick := time.NewTicker(checkInterval)
	defer tick.Stop()
	for {
		select {
		case m := <-t.inbox.C():
			t.receive(m)
		case <-tick.C:
			t.checkSessions()
		case <-t.Stopping():
			return nil
		}
	}
}

func (t *Task) receive(m Message) {
	switch m := m.(type) {
	case sessionOpened:
		t.sessions[m.session] = &peerSession{hello: m.hello}
		if m.hello.Bulk {
			return
		}
		t.server.report(PeerConnected{Hello: m.hello, From: remoteAddr(m.session)})
	case pingOverdue:
		p, ok := t.sessions[m.session]
		if !ok || !p.pinging {
			return
		}
		if !p.silent {
			p.silent = true
			event.PeerSilent.Log("peer", m.session.RemoteAddr(), "vm", p.hello.VM, "kept", m.session.HasKeptCalls(time.Now()))
		}
		endSilent(m.session)
	case pingEnded:
		if p, ok := t.sessions[m.session]; ok {
			p.pinging = false
			p.silent = p.silent && m.err != nil
		}
	case sessionClosed:
		delete(t.sessions, m.session)
	case Broadcast:
		t.broadcast(m)
	}
}

func (t *Task) broadcast(m Broadcast) {
	for s, p := range t.sessions {
		if p.hello.Bulk || m.To != "" && m.To != p.hello.VM {
			continue
		}
		startBroadcast(s, m.Message)
		if m.OnePeer {
			// The iteration order of a map is random.
			return
		}
	}
}

func remoteAddr(s *link.Session) netip.AddrPort {
	if a, ok := s.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort()
	}
	return netip.AddrPort{}
}

func (t *Task) accept() error {
	for {
		c, err := t.listener.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return errors.Annotate(err, "accept connections of peers")
		case err != nil:
			event.PeerMessageRefused.Log("listener", t.listener.Addr(), "error", err.Error())
			time.Sleep(acceptRetryDelay)
			continue
		}
		select {
		case t.sessionSlots <- struct{}{}:
			a := &acceptedConn{Conn: c}
			t.awaitGreeting(a)
			t.startSession(a)
		default:
			t.limitReporter.Refused(limit.Peers)
			c.Close()
		}
	}
}

// An acceptedConn is a connection that was accepted. settled is true once the peer has sent its Hello, or the connection was
// closed to make room for a newer one.
type acceptedConn struct {
	net.Conn
	settled atomic.Bool
}

// awaitGreeting adds a connection to those whose Hello is awaited. If they take half of the sessions, it closes the oldest
// one, so that clients that send none do not keep peers out. A peer sends its Hello at once.
func (t *Task) awaitGreeting(a *acceptedConn) {
	for {
		select {
		case t.greetings <- a:
			return
		default:
		}
		select {
		case oldest := <-t.greetings:
			if oldest.settled.CompareAndSwap(false, true) {
				_ = oldest.Close()
				t.limitReporter.Closed(limit.Peers, 1)
			}
		default:
		}
	}
}

// startSession starts a goroutine that serves an accepted connection until it is closed.
func (t *Task) startSession(c *acceptedConn) {
	t.sessionGoroutines.Add(1)
	go func() {
		defer t.sessionGoroutines.Done()
		defer func() { <-t.sessionSlots }()
		defer c.Close()
		guard.Run("connection of a peer", func() { t.serveConnection(c) })
	}()
}

func (t *Task) serveConnection(c *acceptedConn) {
	s, err := link.NewSession(c.Conn, false)
	if err != nil {
		event.PeerMessageRefused.Log("peer", c.RemoteAddr(), "error", err.Error())
		return
	}
	defer s.Close()
	own := t.server.hello()
	own.RequestsBodies = true
	hello, err := s.AcceptHello(own)
	if err != nil {
		logHelloError(c, err)
		return
	}
	if !c.settled.CompareAndSwap(false, true) {
		return
	}
	if !t.inbox.Put(sessionOpened{s, hello}, t.Stopping()) {
		return
	}
	defer t.inbox.Put(sessionClosed{s}, t.Stopping())
	t.server.ServeSession(s)
}

func logHelloError(c net.Conn, err error) {
	if errors.Is(err, link.ErrProtocolVersion) {
		event.PeerVersionMismatch.Log("peer", c.RemoteAddr(), "error", err.Error())
		return
	}
	event.PeerMessageRefused.Log("peer", c.RemoteAddr(), "error", err.Error())
}

// stopSessions waits for the requests in progress, so that their replies reach the peers, and closes the sessions.
func (t *Task) stopSessions() {
	deadline := time.Now().Add(stopTimeout)
	timeout, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	var written []<-chan struct{}
	for s := range t.sessions {
		// This stops the session from accepting streams.
		written = append(written, s.GoAway())
	}
	for _, c := range written {
		select {
		case <-c:
		case <-timeout.Done():
		}
	}
	for s := range t.sessions {
		for s.ActiveRequests() > 0 && time.Now().Before(deadline) {
			time.Sleep(stopPollInterval)
		}
		s.Close()
	}
	t.closeLateSessions()
}

// closeLateSessions closes sessions whose Hello exchange ended after the loop had returned, until no session is being
// served.
// Without it, the task would wait until the peers close these sessions.
func (t *Task) closeLateSessions() {
	served := make(chan struct{})
	go func() {
		defer close(served)
		t.sessionGoroutines.Wait()
	}()
	for {
		select {
		case m := <-t.inbox.C():
			if g, ok := m.(sessionOpened); ok {
				g.session.Close()
			}
		case <-served:
			return
		}
	}
}

// stopPollInterval is how often a stopping task checks for requests in progress.
const stopPollInterval = 5 * time.Millisecond

// startBroadcast sends a broadcast message to one accepted peer in a new goroutine, which waits until the peer has read
// it.
func startBroadcast(s *link.Session, m codec.Message) {
	s.BeginRequest()
	go func() {
		defer s.EndRequest()
		stream, err := s.OpenStream()
		if err != nil {
			return
		}
		defer stream.Close()
		if err := stream.SetDeadline(time.Now().Add(readTimeout)); err != nil {
			return
		}
		if _, err := codec.Write(stream, m, time.Now()); err != nil {
			return
		}
		_, _, _ = codec.Read(stream, maxBroadcastReply, time.Now)
	}()
}

// maxBroadcastReply is the maximum size in bytes of the reply to a broadcast message, which is an empty Done.
const maxBroadcastReply = 64
