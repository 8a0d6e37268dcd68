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

// A caller is one connection of a caller. The task owns it, but for intake, which the
// connection's poller owns, and the two counters.
type caller struct {
	task    *Task
	conn    *nbio.Conn
	address netip.Addr
	intake  *intake
	// unsent is the number of bytes written that the system has not taken.
	unsent atomic.Int64
	// held is the number of bytes that an incomplete request holds of the memory limit.
	held atomic.Int64
	// answered is the number of bytes that the body of an answer holds until the system has taken all of it.
	answered int
	// queue holds the requests that wait for the answer to the current one.
	queue   []*request
	current *request
	id      call.ID
	refusal *refused
	expects bool
	// taking is true while a time limit on the taking of an answer is set.
	taking bool
	// closing is true after the last answer of the connection.
	closing bool
	gone    bool
	// until is when the connection is closed at the latest, if it is closing or has no request.
	until time.Time
}

// idle reports whether a connection has no request and a time at which it is closed.
func (c *caller) idle() bool {
	return !c.closing && c.current == nil && len(c.queue) == 0 && c.refusal == nil && !c.until.IsZero()
}

// giveHeld gives back what an incomplete request holds.
func (c *caller) giveHeld() { c.task.memory.Give(int(c.held.Swap(0))) }

// giveAnswered gives back what the last answer holds.
func (t *Task) giveAnswered(c *caller) {
	t.memory.Give(c.answered)
	c.answered = 0
}

func (t *Task) arrive(m arrived) {
	c := m.caller
	switch {
	case c.task != t || c.gone || c.closing || c.refusal != nil:
		c.task.memory.Give(m.request.reserved)
		return
	case len(c.queue) >= maxPipelined:
		c.task.memory.Give(m.request.reserved)
		c.refusal = &refused{caller: c, kind: errs.Busy, detail: "more than " + strconv.Itoa(maxPipelined) + " requests wait on the connection"}
	default:
		c.queue = append(c.queue, m.request)
	}
	t.next(c)
}

// next starts the next request of a connection when the answer before it has been taken.
func (t *Task) next(c *caller) {
	for c.current == nil && !c.closing && !c.gone {
		if c.unsent.Load() > 0 {
			t.alarms.Set(c, t.clock.Now().Add(unsentPoll))
			return
		}
		t.giveAnswered(c)
		if c.taking {
			// The library does not clear the limit when its poller has sent the rest.
			c.taking = false
			_ = c.conn.SetWriteDeadline(time.Time{})
		}
		switch {
		case len(c.queue) > 0 && c.queue[0].settled.After(t.clock.Now()):
			// The poller may not have seen yet that the caller closed the connection during a pause.
			t.alarms.Set(c, c.queue[0].settled)
			return
		case len(c.queue) > 0:
			c.current = c.queue[0]
			c.queue = c.queue[1:]
			t.alarms.Clear(c)
			t.start(c)
		case c.refusal != nil:
			c.current = &request{method: c.refusal.method, minor: 1}
			c.closing = true
			t.write(c, refusal(c.refusal.kind, c.refusal.detail))
			return
		case c.expects:
			c.expects = false
			t.send(c, []byte("HTTP/1.1 100 Continue\r\n\r\n"))
			return
		default:
			c.until = t.clock.Now().Add(t.limits.Load().idle)
			t.alarms.Set(c, c.until)
			return
		}
	}
}

// start submits the current request of a connection.
func (t *Task) start(c *caller) {
	r := c.current
	switch {
	case len(t.calls) >= maxCalls:
		t.refuse(c, errs.Busy, strconv.Itoa(maxCalls)+" calls are outstanding")
		return
	case t.awaited, t.linger && t.empty != nil:
		t.refuse(c, errs.Draining, "the daemon stops")
		return
	}
	id := call.NextID()
	if t.dialect.KeyPath != "" && r.url.Path == t.dialect.KeyPath {
		t.issueKey(c, id)
		return
	}
	q, err := t.request(c, r, id)
	if err != nil {
		t.write(c, refusal(errs.KindOf(err), err.Error()))
		return
	}
	if !t.router.TryPut(router.Submit{
		ID: id, Request: *q, Arrived: r.arrived, Host: r.header.Get("Host"), Context: r.get(t.dialect.Context), Reply: t.answers,
	}) {
		t.refuse(c, errs.Busy, "the mailbox of the router is full")
		return
	}
	c.id = id
	t.calls[id] = c
}

// refuse answers a request that does not reach the router. That proves nothing about earlier sends of its key.
func (t *Task) refuse(c *caller, kind errs.Kind, detail string) {
	if c.current.get(t.dialect.Key) != "" {
		kind, detail = errs.OwnerUnreachable, string(kind)+": "+detail
	}
	t.write(c, refusal(kind, detail))
}

// answer gives a caller the outcome of its call. An answer for a connection that has gone reaches nobody.
func (t *Task) answer(id call.ID, o call.Outcome) {
	c, ok := t.calls[id]
	if !ok {
		return
	}
	delete(t.calls, id)
	if !c.gone {
		t.write(c, o)
		t.next(c)
	}
	t.checkEmpty()
}

func (t *Task) leave(c *caller) {
	if c.task != t || c.gone {
		return
	}
	c.gone = true
	t.alarms.Clear(c)
	t.giveAnswered(c)
	for _, r := range c.queue {
		t.memory.Give(r.reserved)
	}
	c.queue = nil
	if c.current != nil {
		t.memory.Give(c.current.reserved)
		// The router waits for no task, so that this does not block for long.
		t.router.Put(router.Cancel{ID: c.id}, t.Stopping())
	}
	t.checkEmpty()
}

// wake handles the alarm of a connection: the answer before has to be taken, or the connection is closed.
func (t *Task) wake(c *caller) {
	switch now := t.clock.Now(); {
	case c.gone:
	case c.closing && c.unsent.Load() > 0:
		t.alarms.Set(c, now.Add(unsentPoll))
	case c.closing && now.Before(c.until):
		t.alarms.Set(c, c.until)
	case c.idle() && now.Sub(c.until) > lateAlarm:
		// The process stood still. Bytes that arrived meanwhile are read first.
		c.until = now.Add(lateAlarm)
		t.alarms.Set(c, c.until)
	case c.closing, c.idle() && !now.Before(c.until):
		_ = c.conn.Close()
	default:
		t.next(c)
	}
}

// issueTimeout bounds how long a caller waits for a key.
const issueTimeout = 2 * time.Second

func (t *Task) issueKey(c *caller, id call.ID) {
	reply := mail.NewBox[router.Issued](1)
	service := ident.Service(c.current.url.Query().Get("service"))
	if !t.router.TryPut(router.IssueKey{Service: service, Reply: reply}) {
		t.write(c, refusal(errs.Busy, "the mailbox of the router is full"))
		return
	}
	c.id = id
	t.calls[id] = c
	go func() {
		select {
		case k := <-reply.C():
			t.put(issued{id, k})
		case <-time.After(issueTimeout):
			t.put(issued{id, router.Issued{Kind: errs.Busy}})
		case <-t.Done():
		}
	}()
}

func (t *Task) answerKey(m issued) {
	if m.key.Kind != "" {
		t.answer(m.id, refusal(m.key.Kind, "no key for the service"))
		return
	}
	t.answer(m.id, call.Answered{Status: 200, Header: []call.Field{
		{Name: "Cache-Control", Value: "no-store"}, {Name: "Content-Type", Value: "text/plain; charset=utf-8"},
	}, Body: []byte(m.key.Key)})
}

// request turns a parsed HTTP request into a call.
func (t *Task) request(c *caller, r *request, id call.ID) (*call.Request, error) {
	d := t.dialect
	for _, name := range []string{d.RequestID, d.Service, d.Deadline, d.Rank, d.Context, d.Key} {
		if len(r.header[name]) > 1 {
			return nil, errs.New(errs.BadRequest, name+" is given more than once")
		}
	}
	q := &call.Request{
		ID:      r.get(d.RequestID),
		Service: ident.Service(r.get(d.Service)),
		Method:  r.method,
		URI:     r.uri,
		Header:  d.FromCaller(r.header),
		Body:    r.body,
		Caller:  c.address,
		Key:     r.get(d.Key),
	}
	if q.ID == "" {
		q.ID = "call-" + strconv.FormatUint(uint64(id), 10)
	}
	if text := r.get(d.Deadline); text != "" {
		n, err := strconv.ParseInt(text, 10, 32)
		if err != nil {
			return nil, errs.New(errs.BadRequest, d.Deadline+" "+strconv.Quote(text)+" is not a number of milliseconds")
		}
		q.Deadline = r.arrived.Add(time.Duration(n) * time.Millisecond)
	}
	if text := r.get(d.Rank); text != "" {
		rank, err := ident.ParseRank(text)
		if err != nil {
			return nil, errs.New(errs.BadRequest, d.Rank+": "+err.Error())
		}
		q.Rank = rank
	}
	return q, nil
}

// get returns the value of a field of the dialect, or nothing when the dialect has no such field.
func (r *request) get(name string) string {
	if name == "" {
		return ""
	}
	return r.header.Get(name)
}
