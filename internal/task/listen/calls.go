package listen

import (
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/policy/pause"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/wire/codec"
)

// A caller serves the calls of one stream, one at a time. The goroutine of the stream reads the
// calls and sees when the peer cancels one by closing the stream; another writes the replies.
type caller struct {
	*Server
	session *link.Session
	stream  *yamux.Stream
	// closed is closed when the stream must carry no more calls.
	closed chan struct{}
	// current holds the call that is under way, from before it is passed on until its result is taken.
	current chan current
	results *mail.Box[call.Result]
}

// A current is the call that is under way on a stream.
type current struct {
	id     call.ID
	number uint64
	// passed is closed when a call that had to wait was passed on. It is nil for one that had not.
	passed chan struct{}
	// taken is the number of bytes that the body holds of the memory limit. busy says that there was no room.
	taken int
	busy  bool
}

func newCaller(s *Server, session *link.Session, stream *yamux.Stream) *caller {
	c := &caller{
		Server: s, session: session, stream: stream, closed: make(chan struct{}),
		current: make(chan current, 1), results: mail.NewBox[call.Result](1),
	}
	go func() { c.reply() }()
	return c
}

// serve runs the first call, whose exchange has begun, and those that follow until the stream is closed.
func (c *caller) serve(m codec.Call, exact bool) {
	defer c.cancel()
	defer close(c.closed)
	for {
		p := current{id: call.NextID(), number: m.Number}
		if !exact {
			p.passed = make(chan struct{})
		}
		if size := len(m.Request.Body); c.bodies.TryTake(size) {
			p.taken = size
		} else {
			p.busy = true
		}
		select {
		case c.current <- p:
		default:
			c.bodies.Give(p.taken)
			c.session.End()
			event.PeerRefused.Log("peer", c.stream.RemoteAddr(), "error", "a call was sent before the reply to the one before it")
			return
		}
		c.run(p, local.Run{ID: p.id, Target: m.Target, Request: m.Request, Reply: c.results})
		next, nextExact, err := c.read(c.stream, time.Time{})
		if err != nil {
			// The peer closes a stream that it no longer needs.
			return
		}
		var ok bool
		if m, ok = next.(codec.Call); !ok {
			event.PeerRefused.Log("peer", c.stream.RemoteAddr(), "error", errors.Errorf("%T on a stream of calls", next).Error())
			return
		}
		exact = nextExact
		c.session.Begin()
	}
}

// cancel cancels the call under way, if any, when the stream was closed.
func (c *caller) cancel() {
	select {
	case p := <-c.current:
		defer c.session.End()
		defer c.bodies.Give(p.taken)
		if p.passed != nil {
			select {
			case <-p.passed:
			default:
				// The goroutine that would pass it on sees that the stream was closed.
				return
			}
		}
		c.local.TryPut(local.Cancel{ID: p.id})
	default:
	}
}

// run passes a call on. One whose arrival is not exact waits first, so that it does not run when
// the peer closed its stream during a pause.
func (c *caller) run(p current, r local.Run) {
	if p.passed == nil {
		c.pass(p, r)
		return
	}
	go func() {
		select {
		case <-c.closed:
			return
		case <-time.After(pause.Settle):
		}
		if c.isClosed() {
			return
		}
		c.pass(p, r)
		close(p.passed)
		if c.isClosed() {
			c.local.TryPut(local.Cancel{ID: p.id})
		}
	}()
}

func (c *caller) isClosed() bool {
	select {
	case <-c.closed:
		return true
	default:
		return false
	}
}

// pass gives a call to the task local, or refuses it. It is the only call of the stream.
func (c *caller) pass(p current, r local.Run) {
	switch {
	case c.session.Leaving():
		c.refuse(r.ID, errs.Draining)
	case p.busy, !c.local.TryPut(r):
		c.refuse(r.ID, errs.Busy)
	}
}

func (c *caller) refuse(id call.ID, kind errs.Kind) {
	c.results.TryPut(call.Result{Attempt: id, Outcome: call.Refused{Kind: kind, RetryAfter: errs.AnswerTo(kind).RetryAfter}})
}

// reply writes the reply to each call.
func (c *caller) reply() {
	for {
		select {
		case r := <-c.results.C():
			if !c.send(r) {
				// The read of the next call ends with the stream.
				c.stream.Close()
				return
			}
		case <-c.closed:
			return
		}
	}
}

// send writes the reply to the call under way, and reports whether the stream may carry another.
func (c *caller) send(r call.Result) bool {
	select {
	case p := <-c.current:
		defer c.session.End()
		defer c.bodies.Give(p.taken)
		if answered, ok := r.Outcome.(call.Answered); ok {
			c.bodies.Take(len(answered.Body))
			defer c.bodies.Give(len(answered.Body))
		}
		return r.Attempt == p.id && write(c.stream, codec.Reply{Result: r, Number: p.number})
	default:
		return false
	}
}
