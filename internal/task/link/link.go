package link

import (
	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/wire/codec"
	"net"
	"net/netip"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"
)

const (
	dialTimeout = 500 * time.Millisecond
	idleTimeout = 60 * time.Second
)

// A Task owns the connection to one peer daemon.
type Task struct {
	*tree.Loop
	peer    netip.AddrPort
	inbox   *mail.Box[Message]
	maxSize int
	serve   func(*yamux.Session)
	session *yamux.Session
	calls   map[call.ID]*yamux.Stream
}

// An Option sets a property of a Task.
type Option func(*Task)

// WithMaxSize bounds the size of a message from the peer in bytes.
func WithMaxSize(n int) Option { return func(t *Task) { t.maxSize = n } }

// WithServe sets what serves the streams that the peer opens. It returns when the session ends.
func WithServe(serve func(*yamux.Session)) Option { return func(t *Task) { t.serve = serve } }

// New starts the task that connects to the daemon at peer.
func New(peer netip.AddrPort, inbox *mail.Box[Message], options ...Option) *Task {
	t := &Task{
		Loop:    tree.NewLoop(),
		peer:    peer,
		inbox:   inbox,
		maxSize: 9 << 20,
		serve:   func(*yamux.Session) {},
		calls:   map[call.ID]*yamux.Stream{},
	}
	for _, o := range options {
		o(t)
	}
	go func() {
		t.Run(t.loop)
	}()
	return t
}

func (t *Task) loop() error {
	defer t.refuseWaiting()
	if err := t.dial(); err != nil {
		event.LinkFailed.Log("peer", t.peer, "error", err.Error())
		return nil
	}
	defer t.session.Close()
	idle := time.NewTimer(idleTimeout)
	defer idle.Stop()
	for {
		select {
		case m := <-t.inbox.C():
			t.receive(m)
			idle.Reset(idleTimeout)
		case <-t.session.CloseChan():
			event.LinkFailed.Log("peer", t.peer, "error", "the session ended")
			return nil
		case <-idle.C:
			if len(t.calls) == 0 {
				return nil
			}
			idle.Reset(idleTimeout)
		case <-t.Stopping():
			return nil
		}
	}
}

func (t *Task) dial() error {
	c, err := net.DialTimeout("tcp", t.peer.String(), dialTimeout)
	if err != nil {
		return errors.Annotate(err, "dial peer")
	}
	t.session, err = NewSession(c, true)
	if err != nil {
		c.Close()
		return errors.Annotate(err, "open session")
	}
	go func() { t.serve(t.session) }()
	event.LinkOpened.Log("peer", t.peer)
	return nil
}

func (t *Task) receive(m Message) {
	switch m := m.(type) {
	case Send:
		t.send(m)
	case Cancel:
		if s, ok := t.calls[m.ID]; ok {
			delete(t.calls, m.ID)
			s.Close()
		}
	case Exchange:
		t.exchange(m)
	case ended:
		delete(t.calls, m.id)
	}
}

// send opens the stream of a call. Before that nothing of the call is on the wire.
func (t *Task) send(m Send) {
	s, err := t.session.OpenStream()
	if err != nil {
		t.refuse(m, err)
		return
	}
	t.calls[m.ID] = s
	newCarrier(t, m, s)
}

func (t *Task) exchange(m Exchange) {
	s, err := t.session.OpenStream()
	if err != nil {
		m.Reply.TryPut(Answer{Err: errors.Annotate(err, "open stream")})
		return
	}
	newExchanger(t, m, s)
}

func (t *Task) refuse(m Send, err error) {
	m.Reply.Put(call.Result{Attempt: m.ID, Outcome: call.Refused{
		Kind: errs.PeerUnreachable, RetryAfter: errs.AnswerTo(errs.PeerUnreachable).RetryAfter, Detail: err.Error(),
	}}, t.Stopping())
}

// refuseWaiting answers the messages that were not taken before the link ended.
func (t *Task) refuseWaiting() {
	for {
		select {
		case m := <-t.inbox.C():
			switch m := m.(type) {
			case Send:
				t.refuse(m, errors.Errorf("no connection to %s", t.peer))
			case Exchange:
				m.Reply.TryPut(Answer{Err: errors.Errorf("no connection to %s", t.peer)})
			case Cancel, ended:
			}
		default:
			return
		}
	}
}

// newCarrier starts the goroutine that carries one call on its stream.
func newCarrier(t *Task, m Send, s *yamux.Stream) {
	go func() {
		defer s.Close()
		r := carry(t, m, s)
		r.Attempt = m.ID
		m.Reply.Put(r, t.Stopping())
		t.inbox.Put(ended{m.ID}, t.Done())
	}()
}

func carry(t *Task, m Send, s *yamux.Stream) call.Result {
	lost := func(err error) call.Result {
		return call.Result{Outcome: call.Unknown{Kind: errs.PeerLost, Detail: err.Error()}}
	}
	if err := s.SetDeadline(m.Request.Deadline.Add(replyGrace)); err != nil {
		return lost(err)
	}
	if _, err := codec.Write(s, codec.Call{Target: m.Target, Request: m.Request}, time.Now()); err != nil {
		return lost(err)
	}
	answer, _, err := codec.Read(s, t.maxSize, time.Now)
	if err != nil {
		return lost(err)
	}
	reply, ok := answer.(codec.Reply)
	if !ok {
		return lost(errors.Errorf("peer %s answered a call with %T", t.peer, answer))
	}
	return reply.Result
}

// replyGrace is how long the reply of the daemon beside the target may follow the deadline.
const replyGrace = 50 * time.Millisecond

// exchangeTimeout bounds an exchange of control messages.
const exchangeTimeout = time.Second

// newExchanger starts the goroutine that carries one control message and its answer.
func newExchanger(t *Task, m Exchange, s *yamux.Stream) {
	go func() {
		defer s.Close()
		answer, err := exchange(t, m, s)
		m.Reply.TryPut(Answer{Message: answer, Err: err})
	}()
}

func exchange(t *Task, m Exchange, s *yamux.Stream) (codec.Message, error) {
	if err := s.SetDeadline(time.Now().Add(exchangeTimeout)); err != nil {
		return nil, errors.Annotate(err, "set deadline")
	}
	if _, err := codec.Write(s, m.Message, time.Now()); err != nil {
		return nil, errors.Trace(err)
	}
	answer, _, err := codec.Read(s, t.maxSize, time.Now)
	return answer, errors.Trace(err)
}
