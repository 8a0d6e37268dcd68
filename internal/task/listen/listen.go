package listen

import (
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/task/link"
	"net"
	"net/netip"

	"github.com/juju/errors"
	"github.com/oklog/run"
)

// A Task owns the peer listener and the sessions that it accepted.
type Task struct {
	*tree.Loop
	listener net.Listener
	server   *Server
}

// New starts the task that listens for peers at an address.
func New(at netip.AddrPort, server *Server) (*Task, error) {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, errors.Annotatef(err, "listen for peers at %s", at)
	}
	t := &Task{Loop: tree.NewLoop(), listener: l, server: server}
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
	var g run.Group
	g.Add(t.accept, func(error) { t.listener.Close() })
	g.Add(func() error {
		<-t.Stopping()
		return nil
	}, func(error) { t.Stop() })
	return g.Run()
}

func (t *Task) accept() error {
	for {
		c, err := t.listener.Accept()
		if err != nil {
			return errors.Annotate(err, "accept peer")
		}
		session, err := link.NewSession(c, false)
		if err != nil {
			event.PeerRefused.Log("peer", c.RemoteAddr(), "error", err.Error())
			c.Close()
			continue
		}
		go func() { t.server.Session(session) }()
		go func() {
			select {
			case <-t.Stopping():
				session.Close()
			case <-session.CloseChan():
			}
		}()
	}
}
