package listen

import (
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/guard"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/policy/pause"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/wire/codec"
)

// A callStream serves the calls of one stream, one at a time. The goroutine of the stream reads calls and detects when
// the peer cancels a call by closing the stream. Another goroutine writes the replies.
type callStream struct {
	*Server
	session *link.Session
	stream  *yamux.Stream
	// streamClosed is closed when the stream carries no more calls.
	streamClosed chan struct{}
	// current holds the call in progress, from before it is forwarded until its result is taken.
	current chan *currentCall
	// latest is the call in progress or the last one.
	latest atomic.Pointer[currentCall]
	// bodyRequests receives the ID of a call when the target has room for it and its body is still at the peer.
	bodyRequests *mail.Box[call.ID]
	// bodyFailed is closed when a requested body does not arrive, and repliesEnded when no more replies are written.
	bodyFailed   chan struct{}
	repliesEnded chan struct{}
	// abandoned is set when the stream is given up because its peer is silent.
	abandoned atomic.Bool
	results   *mail.Box[call.Result]
}

// A currentCall is the call in progress on a stream.
type currentCall struct {
	id     call.ID
	number uint64
	// forwarded is closed when a call with a delay has been forwarded. It is nil for a call without a delay.
	forwarded chan struct{}
	// reservedBytes is the memory reserved for the body.
	reservedBytes atomic.Int64
	deadline      time.Time
	repeatable    bool
	// kept is true while the call may run and may not be repeated, so that it keeps the connection while the peer is silent.
	kept atomic.Bool
	// bodySize is the size of a body that the peer sends on request, or 0.
	bodySize      int
	bodyRequested atomic.Bool
	ended         atomic.Bool
	// noMemory is true if the memory for the body could not be reserved. The call is then refused.
	noMemory bool
}

func newCallStream(s *Server, session *link.Session, stream *yamux.Stream) *callStream {
	c := &callStream{
		Server: s, session: session, stream: stream, streamClosed: make(chan struct{}),
		current: make(chan *currentCall, 1), results: mail.NewBox[call.Result](1),
		bodyRequests: mail.NewBox[call.ID](1), bodyFailed: make(chan struct{}), repliesEnded: make(chan struct{}),
	}
	go func() {
		defer close(c.repliesEnded)
		if !guard.Run("reply to a peer", c.writeReplies) {
			c.session.Close()
		}
	}()
	return c
}

// serveCalls serves the first call, for which BeginRequest has been called, and further calls until the stream is
// closed. exact reports whether the arrival time of the first call is known exactly, which it is not after a process
// pause.
func (c *callStream) serveCalls(m codec.Call, exact bool) {
	defer c.cancelCurrent()
	defer close(c.streamClosed)
	for {
		p := &currentCall{
			id: call.NextID(), number: m.Number, bodySize: m.BodySize, deadline: m.Request.Deadline, repeatable: m.Request.IsRepeatable(),
		}
		if !isValid(m, c.maxMessageSize) {
			c.session.EndRequest()
			event.PeerMessageRefused.Log("peer", c.stream.RemoteAddr(), "error", errors.NotValidf("call with a pending body of %d bytes", m.BodySize).Error())
			return
		}
		if !exact {
			p.forwarded = make(chan struct{})
		}
		if size := len(m.Request.Body); c.bodyMemory.TryAcquire(size) {
			p.reservedBytes.Store(int64(size))
		} else {
			p.noMemory = true
		}
		select {
		case c.current <- p:
		default:
			c.end(p)
			event.PeerMessageRefused.Log("peer", c.stream.RemoteAddr(), "error", "received a call before the reply to the previous one")
			return
		}
		r := local.Run{ID: p.id, Target: m.Target, Request: m.Request, Reply: c.results}
		c.latest.Store(p)
		if p.bodySize > 0 {
			r.Pending = &local.PendingBody{Size: p.bodySize, Digest: m.Digest, Requests: c.bodyRequests}
		} else {
			c.keep(p)
		}
		c.forward(p, r)
		next, nextExact, err := c.readNext(p)
		if err != nil {
			// The peer closes streams that it no longer needs.
			return
		}
		var ok bool
		if m, ok = next.(codec.Call); !ok {
			event.PeerMessageRefused.Log("peer", c.stream.RemoteAddr(), "error", errors.Errorf("received a message of type %T on a stream that carries calls", next).Error())
			return
		}
		exact = nextExact
		c.session.BeginRequest()
	}
}

// end releases what a call held.
func (c *callStream) end(p *currentCall) {
	p.ended.Store(true)
	c.release(p)
	c.session.EndRequest()
}

func (c *callStream) release(p *currentCall) {
	c.bodyMemory.Release(int(p.reservedBytes.Swap(0)))
	if p.kept.Swap(false) {
		c.session.EndKeptCall()
	}
}

// keep makes the connection stay until the deadline of a call that may not be repeated, even if the peer is silent.
func (c *callStream) keep(p *currentCall) {
	if p.repeatable {
		return
	}
	c.session.BeginKeptCall(p.deadline)
	p.kept.Store(true)
	if p.ended.Load() {
		// The call may have ended before.
		c.release(p)
	}
}

// cancelCurrent cancels the call in progress, if any, after the stream was closed.
func (c *callStream) cancelCurrent() {
	select {
	case p := <-c.current:
		defer c.end(p)
		if p.forwarded != nil {
			select {
			case <-p.forwarded:
			default:
				// The goroutine that delays the call detects that the stream is closed.
				return
			}
		}
		c.localInbox.TryPut(local.Cancel{ID: p.id})
	default:
	}
}

// forward forwards a call to the local task. A call whose arrival time is not exact is delayed first, so that it does
// not run if the peer closed the stream during a process pause.
func (c *callStream) forward(p *currentCall, r local.Run) {
	if p.forwarded == nil {
		c.forwardNow(p, r)
		return
	}
	go func() {
		select {
		case <-c.streamClosed:
			return
		case <-time.After(pause.InexactArrivalDelay):
		}
		if c.isClosed() {
			return
		}
		c.forwardNow(p, r)
		close(p.forwarded)
		if c.isClosed() {
			c.localInbox.TryPut(local.Cancel{ID: p.id})
		}
	}()
}

func (c *callStream) isClosed() bool {
	select {
	case <-c.streamClosed:
		return true
	default:
		return false
	}
}

// forwardNow forwards a call to the local task without delay, or refuses it. The buffer of results has room for the
// refusal, since a stream carries one call at a time.
func (c *callStream) forwardNow(p *currentCall, r local.Run) {
	switch {
	case c.session.GoingAway():
		c.refuse(r.ID, errs.Draining)
	case p.noMemory, !c.localInbox.TryPut(r):
		c.refuse(r.ID, errs.Busy)
	}
}

func (c *callStream) refuse(id call.ID, kind errs.Kind) {
	c.results.TryPut(call.Result{Attempt: id, Outcome: call.Refused{Kind: kind, RetryAfter: errs.ResponseFor(kind).RetryAfter}})
}

// writeReplies writes the replies until the stream is closed.
func (c *callStream) writeReplies() {
	failed := c.bodyFailed
	for {
		select {
		case id := <-c.bodyRequests.C():
			if !c.requestBody(id) {
				c.stream.Close()
				return
			}
		case <-failed:
			// The reply to the call in progress is the last one.
			failed = nil
			if len(c.current) == 0 {
				c.stream.Close()
				return
			}
		case <-c.session.Silenced():
			if c.endRepeatable() {
				return
			}
		case r := <-c.results.C():
			if !c.writeReply(r) || failed == nil {
				// This also ends the read of the next call.
				c.stream.Close()
				return
			}
		case <-c.streamClosed:
			return
		}
	}
}

// endRepeatable ends the stream if its call may be repeated, and reports whether it did. The peer is silent, and the
// daemon there gives such a call up as well.
func (c *callStream) endRepeatable() bool {
	if c.latest.Load().kept.Load() || len(c.current) == 0 {
		return false
	}
	// This ends the read of the next call, which cancels the call in progress. The flag keeps the read from moving its
	// deadline because of bytes that arrive for other streams.
	c.abandoned.Store(true)
	return c.stream.SetReadDeadline(time.Unix(1, 0)) == nil
}

// writeReply writes the reply to the call in progress and reports whether the stream may carry another call.
func (c *callStream) writeReply(r call.Result) bool {
	select {
	case p := <-c.current:
		defer c.end(p)
		if answered, ok := r.Outcome.(call.Answered); ok {
			c.bodyMemory.AcquireOverLimit(len(answered.Body))
			defer c.bodyMemory.Release(len(answered.Body))
		}
		return r.Attempt == p.id && writeMessage(c.stream, codec.Reply{Result: r, Number: p.number})
	default:
		return false
	}
}
