// Package listen implements the task that accepts connections from peer daemons and serves their streams.
package listen

import (
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/clock"
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/guard"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/base/quota"
	"jacinthcross/internal/fleet/relay"
	"jacinthcross/internal/task/feed"
	"jacinthcross/internal/task/gossip"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/wire/codec"
)

// A Server serves the streams opened by peers, regardless of which end dialled the connection.
type Server struct {
	localInbox     *mail.Box[local.Message]
	gossipInbox    *mail.Box[gossip.Message]
	feedInbox      *mail.Box[feed.Message]
	maxMessageSize int
	bodyMemory     *quota.Account
	hello          func() codec.Hello
	report         func(Report)
	arrivalTime    func(time.Time) (arrived time.Time, exact bool)
}

// An Option configures a Server.
type Option func(*Server)

// WithHelloFunc sets a function that returns the Hello message to peers.
func WithHelloFunc(hello func() codec.Hello) Option { return func(s *Server) { s.hello = hello } }

// WithQuota sets the memory quota for all bodies, which is shared with other tasks.
func WithQuota(q *quota.Quota) Option { return func(s *Server) { s.bodyMemory = q.NewAccount() } }

// WithFeed sets the mailbox of the task that answers requests of peers for the data published by the platform.
func WithFeed(b *mail.Box[feed.Message]) Option { return func(s *Server) { s.feedInbox = b } }

// WithReportFunc sets a function that receives the reports of peers. It must not block.
func WithReportFunc(report func(Report)) Option { return func(s *Server) { s.report = report } }

// WithArrivalTimeFunc sets a function that returns, for the time at which bytes were read, the earliest time at which
// they can have arrived. exact is true if both are the same.
func WithArrivalTimeFunc(arrival func(read time.Time) (arrived time.Time, exact bool)) Option {
	return func(s *Server) { s.arrivalTime = arrival }
}

// NewServer returns a Server that forwards messages to the mailboxes of the tasks that handle them. It accepts messages
// of up to maxMessageSize bytes.
func NewServer(localInbox *mail.Box[local.Message], gossipInbox *mail.Box[gossip.Message], maxMessageSize int, options ...Option) *Server {
	s := &Server{
		localInbox: localInbox, gossipInbox: gossipInbox, maxMessageSize: maxMessageSize, bodyMemory: quota.New(0).NewAccount(),
		hello:       func() codec.Hello { return codec.Hello{Protocol: codec.Protocol} },
		report:      func(Report) {},
		arrivalTime: func(read time.Time) (time.Time, bool) { return read, true },
	}
	for _, o := range options {
		o(s)
	}
	return s
}

const (
	// readTimeout limits the wait for the first byte of a new stream, for more bytes of a message and for an answer.
	readTimeout = time.Second
	// maxStreams limits the concurrent streams of a session. It is higher than the limit of the dialling end, so only
	// peers that ignore that limit are affected.
	maxStreams = 2048
)

// ServeSession serves all streams of a session until the session ends.
func (s *Server) ServeSession(session *link.Session) {
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
		session.BeginRequest()
		go func() {
			defer func() { <-slots }()
			defer stream.Close()
			if !guard.Run("stream of a peer", func() { s.serveStream(session, stream) }) {
				// The request still counts as active.
				session.Close()
			}
		}()
	}
}

// serveStream serves a stream, for which BeginRequest has been called, and calls EndRequest when the request is over. A
// stream carries either successive calls or a single message of another kind.
func (s *Server) serveStream(session *link.Session, stream *yamux.Stream) {
	m, exact, err := s.readMessage(session, stream, time.Now().Add(readTimeout))
	if err != nil {
		session.EndRequest()
		event.PeerMessageRefused.Log("peer", stream.RemoteAddr(), "error", err.Error())
		return
	}
	if c, ok := m.(codec.Call); ok {
		newCallStream(s, session, stream).serveCalls(c, exact)
		return
	}
	defer session.EndRequest()
	if answer := s.answer(m); answer != nil {
		writeMessage(stream, answer)
	}
}

// readMessage reads a message, whose first byte must arrive before the deadline. A zero deadline means no limit.
// exact reports whether the arrival time of the message is known exactly, which it is not after a process pause. The
// functions in prepare are called after the deadline is set and before the read.
func (s *Server) readMessage(session *link.Session, stream *yamux.Stream, deadline time.Time, prepare ...func(*link.ProgressReader) error) (m codec.Message, exact bool, err error) {
	if err := stream.SetReadDeadline(deadline); err != nil {
		return nil, false, errors.Trace(err)
	}
	exact = true
	reader := link.NewProgressReader(session, stream, readTimeout)
	for _, f := range prepare {
		if err := f(reader); err != nil {
			return nil, false, err
		}
	}
	var waited time.Duration
	m, n, err := codec.Read(reader, s.maxMessageSize, func() (arrived time.Time) {
		read := time.Now()
		arrived, exact = s.arrivalTime(read)
		waited = read.Sub(arrived)
		return arrived
	})
	if n > link.MaxKeptBuffer {
		stream.Shrink()
	}
	if c, ok := m.(codec.Call); ok && err == nil {
		// The time for which the bytes waited here after their arrival is part of the delay.
		deductDelay(&c.Request, session.Transit.Delay(c.Sent, clock.SinceBoot())-waited)
		m = c
	}
	return m, exact, err
}

// deductDelay takes the time for which a call was under way off the times that its sender gave it. Without that, a call that
// waited behind large bodies on a slow link would run after its caller has left.
func deductDelay(q *call.Request, delay time.Duration) {
	if delay <= 0 {
		return
	}
	q.Deadline = q.Deadline.Add(-delay)
	if !q.SoftDeadline.IsZero() {
		q.SoftDeadline = q.SoftDeadline.Add(-delay)
	}
	if !q.HoldUntil.IsZero() {
		q.HoldUntil = q.HoldUntil.Add(-delay)
	}
}

func writeMessage(stream *yamux.Stream, m codec.Message) bool {
	_, err := codec.Write(stream, m, time.Now())
	if err != nil {
		event.PeerMessageRefused.Log("peer", stream.RemoteAddr(), "error", err.Error())
	}
	return err == nil
}

// answer returns the answer to a message that is not a call, or nil if there is none.
func (s *Server) answer(m codec.Message) codec.Message {
	switch m := m.(type) {
	case codec.LoadRequest:
		return s.requestLoad()
	case codec.Control:
		return s.forwardControl(m.Message)
	case codec.ChangesRequest:
		return s.requestChanges(m)
	case codec.Drain:
		event.PeerDraining.Log("vm", m.VM)
		s.report(PeerDraining{VM: m.VM})
		return codec.Done{}
	case codec.CrashReports:
		s.report(PeerCrashReports{Reports: m})
		return codec.Done{}
	case codec.TargetReport:
		s.report(TargetReported{Report: m})
		return codec.Done{}
	// A Call does not get here, since serveStream handles it. A peer must not send the others as the first message of a
	// stream. It gets an empty Done, so that it does not wait for an answer.
	case codec.Hello, codec.Done, codec.Call, codec.BodyRequest, codec.RequestBody, codec.Reply, codec.LoadReply, codec.ChangesReply:
		return codec.Done{}
	}
	return nil
}

func (s *Server) requestLoad() codec.Message {
	reply := mail.NewBox[call.Load](1)
	if !s.localInbox.TryPut(local.LoadRequest{Reply: reply}) {
		return nil
	}
	select {
	case l := <-reply.C():
		return codec.LoadReply{Load: l}
	case <-time.After(readTimeout):
		return nil
	}
}

func (s *Server) requestChanges(m codec.ChangesRequest) codec.Message {
	reply := mail.NewBox[codec.ChangesReply](1)
	if s.feedInbox == nil || !s.feedInbox.TryPut(feed.PeerRequest{ChangesRequest: m, Reply: reply}) {
		return nil
	}
	select {
	case p := <-reply.C():
		return p
	case <-time.After(m.Wait + readTimeout):
		return nil
	}
}

func (s *Server) forwardControl(m relay.Message) codec.Message {
	reply := mail.NewBox[relay.Message](1)
	if !s.gossipInbox.TryPut(gossip.PeerMessage{Message: m, Reply: reply}) {
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
