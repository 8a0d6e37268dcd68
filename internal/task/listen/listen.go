package listen

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/oklog/run"

	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/wire/codec"
)

// Bounds of the accepted sessions. A daemon dials one connection to each peer in use; the
// largest service has 150 daemons a data centre, and every daemon of the fleet may be a caller.
const (
	maxSessions = 4096
	// unheardLimit ends an accepted session without traffic. The end that dialled closes an
	// idle connection after 60 s, so a longer silence means that it has gone without a trace.
	unheardLimit = 90 * time.Second
	// Limits of silence of a session with exchanges under way. The end that dialled pings after 200 ms,
	// so the longer limit here adds no traffic unless bytes in this direction are lost.
	silenceLimit  = 500 * time.Millisecond
	pingLimit     = 300 * time.Millisecond
	checkInterval = 250 * time.Millisecond
	// stopTimeout bounds the wait for exchanges under way when the task stops.
	stopTimeout = time.Second
	// acceptPause is the pause after a failed accept, which else would repeat at once.
	acceptPause = 50 * time.Millisecond
)

// A Task owns the peer listener and the sessions that it accepted.
type Task struct {
	*tree.Loop
	listener net.Listener
	server   *Server
	inbox    *mail.Box[Message]
	sessions map[*link.Session]*peer
	slots    chan struct{}
	serving  sync.WaitGroup
}

// A peer is what the task knows of an accepted session.
type peer struct {
	hello codec.Hello
	// pinging is true while a ping is under way.
	pinging bool
}

// New starts the task that listens for peers at an address. It reads from inbox.
func New(at netip.AddrPort, server *Server, inbox *mail.Box[Message]) (*Task, error) {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, errors.Annotatef(err, "listen for peers at %s", at)
	}
	t := &Task{
		Loop:     tree.NewLoop(),
		listener: l,
		server:   server,
		inbox:    inbox,
		sessions: map[*link.Session]*peer{},
		slots:    make(chan struct{}, maxSessions),
	}
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
	case greeted:
		t.sessions[m.session] = &peer{hello: m.hello}
		t.server.report(Greeted{Hello: m.hello, From: remote(m.session)})
	case pinged:
		if p, ok := t.sessions[m.session]; ok {
			p.pinging = false
		}
	case closed:
		delete(t.sessions, m.session)
	case Notify:
		for s := range t.sessions {
			newNotifier(s, m.Message)
		}
	}
}

// checkSessions closes sessions whose peer has gone without closing them.
func (t *Task) checkSessions() {
	for s, p := range t.sessions {
		silent := time.Since(s.LastReceived())
		switch {
		case silent > unheardLimit:
			event.PeerSilent.Log("peer", s.RemoteAddr(), "vm", p.hello.VM, "silent", silent)
			s.Close()
		case s.Exchanges() > 0 && silent > silenceLimit && !p.pinging:
			p.pinging = true
			t.newPinger(s, p.hello)
		}
	}
}

// newPinger starts the goroutine that pings a peer and closes the session when no answer comes.
func (t *Task) newPinger(s *link.Session, hello codec.Hello) {
	answered := make(chan error, 1)
	go func() {
		_, err := s.Ping()
		answered <- err
	}()
	go func() {
		select {
		case err := <-answered:
			if err == nil {
				t.inbox.Put(pinged{s}, t.Stopping())
				return
			}
		case <-time.After(pingLimit):
		}
		event.PeerSilent.Log("peer", s.RemoteAddr(), "vm", hello.VM)
		s.Close()
	}()
}

func remote(s *link.Session) netip.AddrPort {
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
			return errors.Annotate(err, "accept peer")
		case err != nil:
			event.PeerRefused.Log("listener", t.listener.Addr(), "error", err.Error())
			time.Sleep(acceptPause)
			continue
		}
		select {
		case t.slots <- struct{}{}:
			t.newSession(c)
		default:
			event.PeerRefused.Log("peer", c.RemoteAddr(), "error", errors.Errorf("%d sessions are open", maxSessions).Error())
			c.Close()
		}
	}
}

// newSession starts the goroutine that serves one accepted connection until it ends.
func (t *Task) newSession(c net.Conn) {
	t.serving.Add(1)
	go func() {
		defer t.serving.Done()
		defer func() { <-t.slots }()
		defer c.Close()
		s, err := link.NewSession(c, false)
		if err != nil {
			event.PeerRefused.Log("peer", c.RemoteAddr(), "error", err.Error())
			return
		}
		defer s.Close()
		hello, err := s.AnswerGreeting(t.server.hello())
		if err != nil {
			logGreeting(c, err)
			return
		}
		if !t.inbox.Put(greeted{s, hello}, t.Stopping()) {
			return
		}
		t.server.Session(s)
		t.inbox.Put(closed{s}, t.Stopping())
	}()
}

func logGreeting(c net.Conn, err error) {
	if errors.Is(err, link.ErrVersion) {
		event.PeerVersion.Log("peer", c.RemoteAddr(), "error", err.Error())
		return
	}
	event.PeerRefused.Log("peer", c.RemoteAddr(), "error", err.Error())
}

// stopSessions lets the exchanges under way end, so that their replies reach the peers, and closes the sessions.
func (t *Task) stopSessions() {
	for s := range t.sessions {
		// The session takes no more calls. An error means that it has already ended.
		_ = s.GoAway()
	}
	limit := time.Now().Add(stopTimeout)
	for s := range t.sessions {
		for s.Exchanges() > 0 && time.Now().Before(limit) {
			time.Sleep(stopPoll)
		}
		s.Close()
	}
	t.endGreeted()
}

// endGreeted closes the sessions that were greeted too late for the loop to know them, until none is served. Without
// it the task would wait until their peers close them.
func (t *Task) endGreeted() {
	served := make(chan struct{})
	go func() {
		defer close(served)
		t.serving.Wait()
	}()
	for {
		select {
		case m := <-t.inbox.C():
			if g, ok := m.(greeted); ok {
				g.session.Close()
			}
		case <-served:
			return
		}
	}
}

// stopPoll is the interval at which a stopping task looks for exchanges that are still under way.
const stopPoll = 5 * time.Millisecond

// newNotifier starts the goroutine that sends one message to an accepted peer and waits until it was read.
func newNotifier(s *link.Session, m codec.Message) {
	s.Begin()
	go func() {
		defer s.End()
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
		_, _, _ = codec.Read(stream, notifyAnswer, time.Now)
	}()
}

// notifyAnswer bounds the answer to a notification in bytes: it is a Done without content.
const notifyAnswer = 64
