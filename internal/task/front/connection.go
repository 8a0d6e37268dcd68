package front

import (
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/lesismal/nbio"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/task/router"
)

// A connection is a connection of a caller. The task owns all fields except reader, which belongs to the poller of the
// connection, and the two atomic counters, which both use.
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
	// responseBytes is the memory reserved for the last response body until the kernel has accepted all of it.
	responseBytes int
	// queue holds the pipelined requests behind the current one.
	queue           []*request
	current         *request
	callID          call.ID
	pendingRefusal  *requestRefused
	expectsContinue bool
	// hasWriteDeadline is true while a write deadline is set on the socket.
	hasWriteDeadline bool
	// closing is true after the last response of the connection.
	closing bool
	closed  bool
	// closeAt is when a closing or idle connection is closed.
	closeAt time.Time
}

// idle reports whether a connection has no request and will be closed at closeAt.
func (c *connection) idle() bool {
	return !c.closing && c.current == nil && len(c.queue) == 0 && c.pendingRefusal == nil && !c.closeAt.IsZero()
}

// releaseReserved releases the memory reserved by an incomplete request.
func (c *connection) releaseReserved() { c.task.memory.Release(int(c.reservedBytes.Swap(0))) }

// releaseResponse releases the memory counted for the last response.
func (t *Task) releaseResponse(c *connection) {
	t.memory.Release(c.responseBytes)
	c.responseBytes = 0
}

func (t *Task) enqueue(m requestReceived) {
	c := m.connection
	switch {
	case c.task != t || c.closed || c.closing || c.pendingRefusal != nil:
		c.task.memory.Release(m.request.reservedBytes)
		return
	case len(c.queue) >= maxPipelined:
		c.task.memory.Release(m.request.reservedBytes)
		c.pendingRefusal = &requestRefused{connection: c, kind: errs.Busy, detail: "more than " + strconv.Itoa(maxPipelined) + " pipelined requests are waiting on the connection"}
	default:
		c.queue = append(c.queue, m.request)
	}
	t.startNext(c)
}

// startNext starts the next request of a connection once the previous response has been sent.
func (t *Task) startNext(c *connection) {
	for c.current == nil && !c.closing && !c.closed {
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
		case len(c.queue) > 0 && c.queue[0].startAfter.After(t.clock.Now()):
			// The poller may not have seen yet that the caller closed the connection during a process pause.
			t.timers.Set(c, c.queue[0].startAfter)
			return
		case len(c.queue) > 0:
			c.current = c.queue[0]
			c.queue = c.queue[1:]
			t.timers.Remove(c)
			t.submit(c)
		case c.pendingRefusal != nil:
			// The refused request was not read completely, so a placeholder takes its place.
			c.current = &request{method: c.pendingRefusal.method, minorVersion: 1}
			c.closing = true
			t.writeResponse(c, refusal(c.pendingRefusal.kind, c.pendingRefusal.detail))
			return
		case c.expectsContinue:
			c.expectsContinue = false
			t.writeBytes(c, []byte("HTTP/1.1 100 Continue\r\n\r\n"))
			return
		default:
			c.closeAt = t.clock.Now().Add(t.limits.Load().idleTimeout)
			t.timers.Set(c, c.closeAt)
			return
		}
	}
}

// submit passes the current request of a connection to the router.
func (t *Task) submit(c *connection) {
	r := c.current
	switch {
	case len(t.calls) >= maxCalls:
		t.refuse(c, errs.Busy, strconv.Itoa(maxCalls)+" calls are already in flight")
		return
	case t.drainComplete, t.acceptWhileDraining && t.drained != nil:
		t.refuse(c, errs.Draining, "the daemon is stopping")
		return
	}
	id := call.NextID()
	if t.dialect.KeyPath != "" && r.url.Path == t.dialect.KeyPath {
		t.issueKey(c, id)
		return
	}
	q, err := t.callRequest(c, r, id)
	if err != nil {
		t.writeResponse(c, refusal(errs.KindOf(err), err.Error()))
		return
	}
	if !t.router.TryPut(router.Submit{
		ID: id, Request: *q, Arrived: r.arrivedAt, Host: r.header.Get("Host"), Context: r.field(t.dialect.Context), Reply: t.answers,
	}) {
		t.refuse(c, errs.Busy, "too many calls are waiting in this daemon")
		return
	}
	c.callID = id
	t.calls[id] = c
}

// refuse answers a request that does not reach the router. If it has a key, the kind is OwnerUnreachable, since an
// earlier send with that key may have run.
func (t *Task) refuse(c *connection, kind errs.Kind, detail string) {
	if c.current.field(t.dialect.Key) != "" {
		kind, detail = errs.OwnerUnreachable, string(kind)+": "+detail
	}
	t.writeResponse(c, refusal(kind, detail))
}

// deliver sends the outcome of a call to its caller. The outcome is discarded if the connection is closed.
func (t *Task) deliver(id call.ID, o call.Outcome) {
	c, ok := t.calls[id]
	if !ok {
		return
	}
	delete(t.calls, id)
	if !c.closed {
		t.writeResponse(c, o)
		t.startNext(c)
	}
	t.checkDrained()
}

func (t *Task) handleClosed(c *connection) {
	if c.task != t || c.closed {
		return
	}
	c.closed = true
	t.timers.Remove(c)
	t.releaseResponse(c)
	for _, r := range c.queue {
		t.memory.Release(r.reservedBytes)
	}
	c.queue = nil
	if c.current != nil {
		t.memory.Release(c.current.reservedBytes)
		// The router never waits for another task, so this does not block for long.
		t.router.Put(router.Cancel{ID: c.callID}, t.Stopping())
	}
	t.checkDrained()
}

// handleTimer handles the timer of a connection: it continues after a response that is not yet sent, or closes the
// connection.
func (t *Task) handleTimer(c *connection) {
	switch now := t.clock.Now(); {
	case c.closed:
	case c.closing && c.unsentBytes.Load() > 0:
		t.timers.Set(c, now.Add(unsentPollInterval))
	case c.closing && now.Before(c.closeAt):
		t.timers.Set(c, c.closeAt)
	case c.idle() && now.Sub(c.closeAt) > maxTimerDelay:
		// The process was paused. Requests that arrived meanwhile are read before the connection is closed.
		c.closeAt = now.Add(maxTimerDelay)
		t.timers.Set(c, c.closeAt)
	case c.closing, c.idle() && !now.Before(c.closeAt):
		_ = c.socket.Close()
	default:
		t.startNext(c)
	}
}

// keyTimeout limits how long a caller waits for a key.
const keyTimeout = 2 * time.Second

func (t *Task) issueKey(c *connection, id call.ID) {
	reply := mail.NewBox[router.IssuedKey](1)
	service := ident.Service(c.current.url.Query().Get("service"))
	if !t.router.TryPut(router.IssueKey{Service: service, Reply: reply}) {
		t.writeResponse(c, refusal(errs.Busy, "too many requests are waiting in this daemon"))
		return
	}
	c.callID = id
	t.calls[id] = c
	go func() {
		select {
		case k := <-reply.C():
			t.post(keyIssued{id, k})
		case <-time.After(keyTimeout):
			t.post(keyIssued{id, router.IssuedKey{Kind: errs.Busy}})
		case <-t.Done():
		}
	}()
}

func (t *Task) deliverKey(m keyIssued) {
	if m.key.Kind != "" {
		t.deliver(m.id, refusal(m.key.Kind, "issuing a key for the service in the query failed or timed out"))
		return
	}
	t.deliver(m.id, call.Answered{Status: 200, Header: []call.Field{
		{Name: "Cache-Control", Value: "no-store"}, {Name: "Content-Type", Value: "text/plain; charset=utf-8"},
	}, Body: []byte(m.key.Key)})
}

// callRequest converts a parsed HTTP request to a call.
func (t *Task) callRequest(c *connection, r *request, id call.ID) (*call.Request, error) {
	d := t.dialect
	for _, name := range []string{d.RequestID, d.Service, d.Deadline, d.Rank, d.Context, d.Key} {
		if len(r.header[name]) > 1 {
			return nil, errs.New(errs.BadRequest, name+" is given more than once")
		}
	}
	q := &call.Request{
		ID:      r.field(d.RequestID),
		Service: ident.Service(r.field(d.Service)),
		Method:  r.method,
		URI:     r.uri,
		Header:  d.RequestFields(r.header),
		Body:    r.body,
		Caller:  c.address,
		Key:     r.field(d.Key),
	}
	if q.ID == "" {
		q.ID = "call-" + strconv.FormatUint(uint64(id), 10)
	}
	if value := r.field(d.Deadline); value != "" {
		n, err := strconv.ParseInt(value, 10, 32)
		if err != nil {
			return nil, errs.New(errs.BadRequest, d.Deadline+" "+strconv.Quote(value)+" is not a number of milliseconds")
		}
		q.Deadline = r.arrivedAt.Add(time.Duration(n) * time.Millisecond)
	}
	if value := r.field(d.Rank); value != "" {
		rank, err := ident.ParseRank(value)
		if err != nil {
			return nil, errs.New(errs.BadRequest, d.Rank+": "+err.Error())
		}
		q.Rank = rank
	}
	return q, nil
}

// field returns the value of a dialect's header field, or "" if the dialect does not define that field.
func (r *request) field(name string) string {
	if name == "" {
		return ""
	}
	return r.header.Get(name)
}
