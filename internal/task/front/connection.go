package front

import (
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"

	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/task/router"
)

// A connection is a connection of a caller. The task owns all fields except reader, which belongs to the poller of the
// connection, and the atomic fields, which both use.
type connection struct {
	// task is the Task that accepted the connection. After a restart, a new Task reads the same mailbox, so a message
	// may concern a connection of an earlier Task. The new Task drops a request in such a message and releases its
	// memory in the account of the earlier Task.
	task    *Task
	socket  *nbio.Conn
	address netip.Addr
	reader  *requestReader
	// unsentBytes is the number of written bytes that the kernel has not accepted yet.
	unsentBytes atomic.Int64
	// reservedBytes is the number of bytes that are reserved for the body of an incomplete request.
	reservedBytes atomic.Int64
	// heads is the memory counted for the headers of requests that have no response yet, and incompleteHead the part of it
	// for the incomplete request.
	heads          atomic.Int64
	incompleteHead atomic.Int64
	// progressAt is when bytes were last received or sent. receiving is true from the first byte of a request to its last,
	// which arrived received bytes after receivingSince. Times are in nanoseconds of Unix time.
	progressAt     atomic.Int64
	receiving      atomic.Bool
	receivingSince atomic.Int64
	received       atomic.Int64
	// stopReading makes the poller drop what it receives.
	stopReading atomic.Bool
	// responseBytes is the memory reserved for the last response body until the kernel has accepted all of it.
	responseBytes int
	// queue holds the requests that have not been started, and exchanges those that have, in the order of the requests.
	queue           []*request
	exchanges       []*exchange
	pendingRefusal  *requestRefused
	expectsContinue bool
	// hasWriteDeadline is true while a write deadline is set on the socket.
	hasWriteDeadline bool
	// closing is true after the last response of the connection.
	closing bool
	closed  bool
	// used is true after the first complete request.
	used bool
	// closeAt is when a closing or idle connection is closed.
	closeAt time.Time
}

// idle reports whether a connection has no request and will be closed at closeAt.
func (c *connection) idle() bool {
	return !c.closing && len(c.exchanges) == 0 && len(c.queue) == 0 && c.pendingRefusal == nil && !c.closeAt.IsZero()
}

// releaseResponse releases the memory counted for the last response.
func (t *Task) releaseResponse(c *connection) {
	t.memory.Release(c.responseBytes)
	c.responseBytes = 0
}

func (t *Task) enqueue(m requestReceived) {
	c := m.connection
	c.used = true
	// The whole request is there, so that its caller waits for no interim response.
	c.expectsContinue = false
	switch {
	case c.task != t || c.closed || c.closing || c.pendingRefusal != nil:
		c.releaseRequest(m.request)
		return
	case len(c.queue) >= maxPipelined:
		c.releaseRequest(m.request)
		c.stopReading.Store(true)
		c.pendingRefusal = &requestRefused{connection: c, kind: errs.Busy, detail: "more than " + strconv.Itoa(maxPipelined) + " pipelined requests are waiting on the connection"}
	default:
		c.queue = append(c.queue, m.request)
	}
	t.advance(c)
}

// advance writes the responses that are due and starts the requests that may run. A connection without a request is
// prepared for the next one.
func (t *Task) advance(c *connection) {
	for !c.closing && !c.closed {
		if c.unsentBytes.Load() > 0 {
			t.timers.Set(c, t.clock.Now().Add(unsentPollInterval))
			return
		}
		t.releaseResponse(c)
		if c.hasWriteDeadline {
			// nbio does not clear the write deadline after its poller has sent the rest of a response.
			c.hasWriteDeadline = false
			_ = c.socket.SetWriteDeadline(time.Time{})
		}
		switch {
		case len(c.exchanges) > 0 && c.exchanges[0].outcome != nil:
			t.writeResponse(c)
		case t.mayStartNext(c):
			if startAfter := c.queue[0].startAfter; startAfter.After(t.clock.Now()) {
				// The poller may not have seen yet that the caller closed the connection during a process pause.
				t.timers.Set(c, startAfter)
				return
			}
			t.startNext(c)
		case len(c.exchanges) > 0:
			return
		default:
			t.awaitNext(c)
			return
		}
	}
}

// mayStartNext reports whether the first request of the queue may start. Requests of a connection run at the same time
// if all of them are idempotent: a connection that breaks does not tell its caller which of them have run.
func (t *Task) mayStartNext(c *connection) bool {
	switch {
	case len(c.queue) == 0:
		return false
	case len(c.exchanges) == 0:
		return true
	case t.draining, len(c.exchanges) >= maxConcurrent, !t.isIdempotent(c.queue[0]):
		return false
	}
	held := 0
	for _, e := range c.exchanges {
		if e.request.wantsClose() || !t.isIdempotent(e.request) {
			return false
		}
		held += e.heldBytes
	}
	return held < maxHeldBytes
}

// isIdempotent reports whether a request may run more than once in the release in force.
func (t *Task) isIdempotent(r *request) bool {
	service := ident.Service(r.field(t.dialect.Service))
	route, ok := t.release.RouteOf(service, r.header.Get("Host"), r.method, r.uri)
	return ok && route.Idempotent
}

// startNext starts the first request of the queue.
func (t *Task) startNext(c *connection) {
	e := &exchange{connection: c, request: c.queue[0]}
	c.queue = c.queue[1:]
	c.exchanges = append(c.exchanges, e)
	t.answering[c] = struct{}{}
	t.timers.Remove(c)
	// Otherwise the connection would count as idle while its next response is being sent.
	c.closeAt = time.Time{}
	t.submit(e)
}

// awaitNext prepares a connection on which all requests have been answered.
func (t *Task) awaitNext(c *connection) {
	t.settle(c)
	switch {
	case c.pendingRefusal != nil:
		// The refused request was not read completely, so a placeholder takes its place.
		placeholder := &request{method: c.pendingRefusal.method, minorVersion: 1}
		c.exchanges = []*exchange{{
			connection: c, request: placeholder, outcome: refusal(c.pendingRefusal.kind, c.pendingRefusal.detail),
		}}
		c.closing = true
		t.answering[c] = struct{}{}
		t.writeResponse(c)
	case c.expectsContinue:
		c.expectsContinue = false
		t.writeBytes(c, []byte("HTTP/1.1 100 Continue\r\n\r\n"))
	default:
		c.closeAt = t.clock.Now().Add(t.limits.Load().idleTimeout)
		t.timers.Set(c, c.closeAt)
	}
}

// settle records that a connection has no response that is still to come or to be sent.
func (t *Task) settle(c *connection) {
	delete(t.answering, c)
	t.checkDrained()
}

func (t *Task) handleClosed(c *connection) {
	if c.task != t || c.closed {
		return
	}
	c.closed = true
	delete(t.connections, c)
	t.timers.Remove(c)
	t.releaseResponse(c)
	for _, r := range c.queue {
		c.releaseRequest(r)
	}
	c.queue = nil
	for _, e := range c.exchanges {
		c.releaseRequest(e.request)
		t.memory.Release(e.heldBytes)
		if e.outcome == nil {
			// The router never waits for another task, so this does not block for long.
			t.router.Put(router.Cancel{ID: e.callID}, t.Stopping())
		}
	}
	c.exchanges = nil
	t.settle(c)
}

// handleTimer handles the timer of a connection: it continues after a response that is not yet sent, or closes the
// connection.
func (t *Task) handleTimer(c *connection) {
	if c.closing && c.unsentBytes.Load() <= 0 {
		t.settle(c)
	}
	switch now := t.clock.Now(); {
	case c.closed:
	case c.closing && c.unsentBytes.Load() > 0:
		t.timers.Set(c, now.Add(unsentPollInterval))
	case c.closing && now.Before(c.closeAt):
		t.timers.Set(c, c.closeAt)
	case c.idle() && c.receiving.Load():
		// A request is being read, which its own deadline limits.
		c.closeAt = now.Add(maxTimerDelay)
		t.timers.Set(c, c.closeAt)
	case c.idle() && now.Sub(c.closeAt) > maxTimerDelay:
		// The process was paused. Requests that arrived meanwhile are read before the connection is closed.
		c.closeAt = now.Add(maxTimerDelay)
		t.timers.Set(c, c.closeAt)
	case c.closing, c.idle() && !now.Before(c.closeAt):
		_ = c.socket.Close()
	default:
		t.advance(c)
	}
}
