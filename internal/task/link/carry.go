package link

import (
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/wire/codec"
)

// replyGrace is how long the reply of the daemon beside the target may follow the deadline.
const replyGrace = 50 * time.Millisecond

// exchangeTimeout bounds an exchange of control messages.
const exchangeTimeout = time.Second

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

// newExchanger starts the goroutine that carries one control message and its answer.
func newExchanger(t *Task, m Exchange, s *yamux.Stream) {
	go func() {
		defer s.Close()
		answer, err := exchange(t, m.Message, s)
		m.Reply.TryPut(Answer{Message: answer, Err: err})
	}()
}

// newNotifier starts the goroutine that sends one message and waits until the peer has read it.
func newNotifier(t *Task, m Notify, s *yamux.Stream) {
	go func() {
		defer s.Close()
		_, _ = exchange(t, m.Message, s)
	}()
}

// newPinger starts the goroutine of one ping. It ends with the session at the latest.
func newPinger(t *Task) {
	session := t.session
	go func() {
		roundTrip, err := session.Ping()
		t.inbox.Put(pinged{roundTrip, err}, t.Done())
	}()
}

func exchange(t *Task, m codec.Message, s *yamux.Stream) (codec.Message, error) {
	if err := s.SetDeadline(time.Now().Add(exchangeTimeout)); err != nil {
		return nil, errors.Annotate(err, "set deadline")
	}
	if _, err := codec.Write(s, m, time.Now()); err != nil {
		return nil, errors.Trace(err)
	}
	answer, _, err := codec.Read(s, t.maxSize, time.Now)
	return answer, errors.Trace(err)
}
