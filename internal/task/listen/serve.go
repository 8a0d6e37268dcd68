// Package listen is the task that accepts peer daemons and serves their streams.
package listen

import (
	"time"

	"github.com/hashicorp/yamux"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/relay"
	"jacinthcross/internal/policy/pause"
	"jacinthcross/internal/task/keeper"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/wire/codec"
)

// A Server serves the streams that a peer opens, whichever end dialled the connection.
type Server struct {
	local   *mail.Box[local.Message]
	keeper  *mail.Box[keeper.Message]
	maxSize int
	hello   func() codec.Hello
	report  func(Report)
	arrival func(time.Time) (arrived time.Time, exact bool)
}

// An Option sets a property of a Server.
type Option func(*Server)

// WithHello sets what the daemon tells a peer of itself.
func WithHello(hello func() codec.Hello) Option { return func(s *Server) { s.hello = hello } }

// WithReports sets what is told of the peers. It must not block.
func WithReports(report func(Report)) Option { return func(s *Server) { s.report = report } }

// WithArrivals sets what tells when bytes read at a time may have arrived, and whether that is the time of the read.
func WithArrivals(arrival func(read time.Time) (arrived time.Time, exact bool)) Option {
	return func(s *Server) { s.arrival = arrival }
}

// NewServer returns a Server that passes messages to the tasks that own the answers.
func NewServer(local *mail.Box[local.Message], keeper *mail.Box[keeper.Message], maxSize int, options ...Option) *Server {
	s := &Server{
		local: local, keeper: keeper, maxSize: maxSize,
		hello:   func() codec.Hello { return codec.Hello{Protocol: codec.Protocol} },
		report:  func(Report) {},
		arrival: func(read time.Time) (time.Time, bool) { return read, true },
	}
	for _, o := range options {
		o(s)
	}
	return s
}

const (
	// firstReadTimeout bounds the wait for the message of a new stream.
	firstReadTimeout = time.Second
	// maxStreams bounds the streams that are served on one session at a time. It is above the
	// bound of the end that dials, so that the refusal concerns only a peer that keeps no bound.
	maxStreams = 2048
)

// Session serves all streams of a session until it ends.
func (s *Server) Session(session *link.Session) {
	slots := make(chan struct{}, maxStreams)
	for {
		stream, err := session.AcceptStream()
		if err != nil {
			return
		}
		select {
		case slots <- struct{}{}:
		default:
			stream.Close()
			continue
		}
		go func() {
			defer func() { <-slots }()
			defer stream.Close()
			s.stream(stream)
		}()
	}
}

func (s *Server) stream(stream *yamux.Stream) {
	if err := stream.SetReadDeadline(time.Now().Add(firstReadTimeout)); err != nil {
		return
	}
	exact := true
	m, _, err := codec.Read(stream, s.maxSize, func() (arrived time.Time) {
		arrived, exact = s.arrival(time.Now())
		return arrived
	})
	if err != nil {
		event.PeerRefused.Log("peer", stream.RemoteAddr(), "error", err.Error())
		return
	}
	if answer := s.answer(stream, m, exact); answer != nil {
		if _, err := codec.Write(stream, answer, time.Now()); err != nil {
			event.PeerRefused.Log("peer", stream.RemoteAddr(), "error", err.Error())
		}
	}
}

// answer returns the answer to a message, or nil when there is none to give.
func (s *Server) answer(stream *yamux.Stream, m codec.Message, exact bool) codec.Message {
	switch m := m.(type) {
	case codec.Call:
		return s.call(stream, m, exact)
	case codec.LoadRequest:
		return s.load()
	case codec.Control:
		return s.control(m.Message)
	case codec.Drain:
		event.PeerDraining.Log("vm", m.VM)
		s.report(Draining{VM: m.VM})
		return codec.Done{}
	case codec.Blame:
		s.report(Blamed{Blame: m})
		return codec.Done{}
	case codec.TargetReport:
		s.report(TargetChanged{Report: m})
		return codec.Done{}
	case codec.Hello, codec.Done, codec.Reply, codec.LoadReply:
		return codec.Done{}
	}
	return nil
}

// call runs a call on the target. The peer cancels it by closing the stream. A call whose arrival
// is not exact waits, so that it does not run when the peer closed its stream during a pause.
func (s *Server) call(stream *yamux.Stream, m codec.Call, exact bool) codec.Message {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		// The peer sends nothing more on this stream, so the read ends only when the stream does.
		_ = stream.SetReadDeadline(time.Time{})
		_, _ = stream.Read(make([]byte, 1))
	}()
	if !exact {
		select {
		case <-closed:
			return nil
		case <-time.After(pause.Settle):
		}
	}
	id := call.NextID()
	reply := mail.NewBox[call.Result](1)
	if !s.local.TryPut(local.Run{ID: id, Target: m.Target, Request: m.Request, Reply: reply}) {
		return codec.Reply{Result: call.Result{Outcome: call.Refused{
			Kind: errs.Busy, RetryAfter: errs.AnswerTo(errs.Busy).RetryAfter,
		}}}
	}
	select {
	case r := <-reply.C():
		return codec.Reply{Result: r}
	case <-closed:
		s.local.TryPut(local.Cancel{ID: id})
		return nil
	}
}

func (s *Server) load() codec.Message {
	reply := mail.NewBox[call.Load](1)
	if !s.local.TryPut(local.LoadAsk{Reply: reply}) {
		return nil
	}
	select {
	case l := <-reply.C():
		return codec.LoadReply{Load: l}
	case <-time.After(firstReadTimeout):
		return nil
	}
}

func (s *Server) control(m relay.Message) codec.Message {
	reply := mail.NewBox[relay.Message](1)
	if !s.keeper.TryPut(keeper.FromPeer{Message: m, Reply: reply}) {
		return nil
	}
	select {
	case answer := <-reply.C():
		if answer == nil {
			return codec.Done{}
		}
		return codec.Control{Message: answer}
	case <-time.After(firstReadTimeout):
		return nil
	}
}
