// Package listen is the task that accepts peer daemons and serves their streams.
package listen

import (
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/base/quota"
	"jacinthcross/internal/fleet/relay"
	"jacinthcross/internal/task/feed"
	"jacinthcross/internal/task/keeper"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/wire/codec"
)

// A Server serves the streams that a peer opens, whichever end dialled the connection.
type Server struct {
	local   *mail.Box[local.Message]
	keeper  *mail.Box[keeper.Message]
	feed    *mail.Box[feed.Message]
	maxSize int
	bodies  *quota.Share
	hello   func() codec.Hello
	report  func(Report)
	arrival func(time.Time) (arrived time.Time, exact bool)
}

// An Option sets a property of a Server.
type Option func(*Server)

// WithHello sets what the daemon tells a peer of itself.
func WithHello(hello func() codec.Hello) Option { return func(s *Server) { s.hello = hello } }

// WithQuota sets the bound of the memory of all bodies, which tasks share.
func WithQuota(q *quota.Quota) Option { return func(s *Server) { s.bodies = q.Open() } }

// WithFeed sets the task that answers the questions of peers for what the platform publishes.
func WithFeed(b *mail.Box[feed.Message]) Option { return func(s *Server) { s.feed = b } }

// WithReports sets what is told of the peers. It must not block.
func WithReports(report func(Report)) Option { return func(s *Server) { s.report = report } }

// WithArrivals sets what tells when bytes read at a time may have arrived, and whether that is the time of the read.
func WithArrivals(arrival func(read time.Time) (arrived time.Time, exact bool)) Option {
	return func(s *Server) { s.arrival = arrival }
}

// NewServer returns a Server that passes messages to the tasks that own the answers.
func NewServer(local *mail.Box[local.Message], keeper *mail.Box[keeper.Message], maxSize int, options ...Option) *Server {
	s := &Server{
		local: local, keeper: keeper, maxSize: maxSize, bodies: quota.New(0).Open(),
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
	// readTimeout bounds the wait for the first bytes of a new stream, for the rest of a message, and for an answer.
	readTimeout = time.Second
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
		session.Begin()
		go func() {
			defer func() { <-slots }()
			defer stream.Close()
			s.stream(session, stream)
		}()
	}
}

// stream serves a stream, whose exchange has begun. It carries one call after another, or one message of another kind.
func (s *Server) stream(session *link.Session, stream *yamux.Stream) {
	m, exact, err := s.read(stream, time.Now().Add(readTimeout))
	if err != nil {
		session.End()
		event.PeerRefused.Log("peer", stream.RemoteAddr(), "error", err.Error())
		return
	}
	if c, ok := m.(codec.Call); ok {
		newCaller(s, session, stream).serve(c, exact)
		return
	}
	defer session.End()
	if answer := s.answer(m); answer != nil {
		write(stream, answer)
	}
}

// read reads one message, whose first byte arrives before the deadline. A zero deadline sets no limit.
func (s *Server) read(stream *yamux.Stream, deadline time.Time) (m codec.Message, exact bool, err error) {
	if err := stream.SetReadDeadline(deadline); err != nil {
		return nil, false, errors.Trace(err)
	}
	exact = true
	m, n, err := codec.Read(&messageReader{stream: stream}, s.maxSize, func() (arrived time.Time) {
		arrived, exact = s.arrival(time.Now())
		return arrived
	})
	if n > link.MaxKeptBuffer {
		stream.Shrink()
	}
	return m, exact, err
}

// A messageReader bounds the wait for the rest of a message whose first bytes have arrived.
type messageReader struct {
	stream  *yamux.Stream
	started bool
}

// Read implements io.Reader.
func (r *messageReader) Read(b []byte) (int, error) {
	n, err := r.stream.Read(b)
	if n > 0 && !r.started {
		r.started = true
		if err := r.stream.SetReadDeadline(time.Now().Add(readTimeout)); err != nil {
			return n, err
		}
	}
	return n, err
}

func write(stream *yamux.Stream, m codec.Message) bool {
	_, err := codec.Write(stream, m, time.Now())
	if err != nil {
		event.PeerRefused.Log("peer", stream.RemoteAddr(), "error", err.Error())
	}
	return err == nil
}

// answer returns the answer to a message that is no call, or nil when there is none to give.
func (s *Server) answer(m codec.Message) codec.Message {
	switch m := m.(type) {
	case codec.LoadRequest:
		return s.load()
	case codec.Control:
		return s.control(m.Message)
	case codec.Ask:
		return s.published(m)
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
	case codec.Hello, codec.Done, codec.Call, codec.Reply, codec.LoadReply, codec.Published:
		return codec.Done{}
	}
	return nil
}

func (s *Server) load() codec.Message {
	reply := mail.NewBox[call.Load](1)
	if !s.local.TryPut(local.LoadAsk{Reply: reply}) {
		return nil
	}
	select {
	case l := <-reply.C():
		return codec.LoadReply{Load: l}
	case <-time.After(readTimeout):
		return nil
	}
}

func (s *Server) published(m codec.Ask) codec.Message {
	reply := mail.NewBox[codec.Published](1)
	if s.feed == nil || !s.feed.TryPut(feed.Ask{Ask: m, Reply: reply}) {
		return nil
	}
	select {
	case p := <-reply.C():
		return p
	case <-time.After(readTimeout):
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
	case <-time.After(readTimeout):
		return nil
	}
}
