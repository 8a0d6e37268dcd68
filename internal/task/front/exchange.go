package front

import (
	"strconv"
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/limit"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/policy/evict"
	"jacinthcross/internal/task/router"
)

// An exchange is a request that has been started, and its response.
type exchange struct {
	connection *connection
	request    *request
	callID     call.ID
	// outcome is nil while the call is in flight. It then waits until the earlier requests of the connection are
	// answered.
	outcome call.Outcome
	// heldBytes is the memory counted for the body of the outcome.
	heldBytes int
}

// finish sets the outcome of an exchange.
func (t *Task) finish(e *exchange, o call.Outcome) {
	o = call.Checked(o)
	e.outcome = o
	e.connection.progressAt.Store(time.Now().UnixNano())
	if answered, ok := o.(call.Answered); ok {
		e.heldBytes = len(answered.Body)
		t.memory.AcquireOverLimit(e.heldBytes)
		if over := t.quota.Used() - t.quota.Limit(); over > 0 {
			t.makeRoom(evict.Need{Bytes: over})
		}
	}
}

// submit passes a request to the router, or finishes its exchange.
func (t *Task) submit(e *exchange) {
	r := e.request
	switch {
	case len(t.calls) >= maxCalls:
		t.refuse(e, errs.Busy, strconv.Itoa(maxCalls)+" calls are already in flight")
		return
	case t.quota.Used() > t.quota.Limit():
		// Responses that callers have not read hold the memory. The response to this call would take more.
		t.limitReporter.Refused(limit.BodyMemory)
		t.makeRoom(evict.Need{Bytes: t.quota.Used() - t.quota.Limit()})
		t.refuse(e, errs.Busy, memoryDetail)
		return
	case t.drainComplete, t.acceptWhileDraining && t.drained != nil:
		t.refuse(e, errs.Draining, "the daemon is stopping")
		return
	}
	id := call.NextID()
	if t.dialect.KeyPath != "" && r.url.Path == t.dialect.KeyPath {
		t.issueKey(e, id)
		return
	}
	q, err := t.callRequest(e.connection, r, id)
	if err != nil {
		t.finish(e, refusal(errs.KindOf(err), err.Error()))
		return
	}
	if !t.router.TryPut(router.Submit{
		ID: id, Request: *q, Arrived: r.arrivedAt, Host: r.header.Get("Host"), Context: r.field(t.dialect.Context),
		OnlyIdempotent: len(e.connection.exchanges) > 1, Reply: t.answers,
	}) {
		t.refuse(e, errs.Busy, "too many calls are waiting in this daemon")
		return
	}
	e.callID = id
	t.calls[id] = e
}

// refuse finishes an exchange whose request does not reach the router. If it has a key, the kind is OwnerUnreachable,
// since an earlier send with that key may have run.
func (t *Task) refuse(e *exchange, kind errs.Kind, detail string) {
	if e.request.field(t.dialect.Key) != "" {
		kind, detail = errs.OwnerUnreachable, string(kind)+": "+detail
	}
	t.finish(e, refusal(kind, detail))
}

// deliver sends the outcome of a call to its caller, after the responses to earlier requests of the connection. The
// outcome is discarded if the connection is closed.
func (t *Task) deliver(id call.ID, o call.Outcome) {
	e, ok := t.calls[id]
	if !ok {
		return
	}
	delete(t.calls, id)
	if !e.connection.closed {
		t.finish(e, o)
		t.advance(e.connection)
	}
}

// keyTimeout limits how long a caller waits for a key.
const keyTimeout = 2 * time.Second

func (t *Task) issueKey(e *exchange, id call.ID) {
	reply := mail.NewBox[router.IssuedKey](1)
	service := ident.Service(e.request.url.Query().Get("service"))
	if !t.router.TryPut(router.IssueKey{Service: service, Reply: reply}) {
		t.finish(e, refusal(errs.Busy, "too many requests are waiting in this daemon"))
		return
	}
	e.callID = id
	t.calls[id] = e
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
