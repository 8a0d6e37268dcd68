package front

import (
	"math"
	"net/http"
	"slices"
	"strconv"
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/wire/header"
)

// maxJoined is the largest body that is copied behind its header, so that both leave in one write.
const maxJoined = 64 << 10

// write answers the current request of a connection with an outcome.
func (t *Task) write(c *caller, o call.Outcome) {
	r := c.current
	c.current, c.id = nil, 0
	t.memory.Give(r.reserved)
	asked := r.close()
	c.closing = c.closing || asked || t.draining
	status, fields, body := t.answerOf(r, o)
	b := appendHead(t.buffer[:0], status, fields, c.closing, r.minor)
	noBody := status == http.StatusNoContent || status == http.StatusNotModified
	switch {
	case noBody:
		body = nil
	case r.method == http.MethodHead:
		// The length of the body that a GET would have is not known for an answer of the target.
		body = nil
	default:
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	size := len(body)
	if size <= maxJoined {
		b = append(b, body...)
		body = nil
	}
	t.buffer = b[:0]
	c.answered += size
	t.memory.Take(size)
	t.send(c, b)
	t.send(c, body)
	if c.closing {
		t.endConnection(c, asked)
	}
}

// endConnection closes a connection after its last answer. When the caller did not ask for it,
// bytes of the caller may be under way, and a close at once could destroy the answer.
func (t *Task) endConnection(c *caller, asked bool) {
	for _, r := range c.queue {
		t.memory.Give(r.reserved)
	}
	c.queue = nil
	now := t.clock.Now()
	c.until = now
	if !asked {
		c.until = now.Add(lingerTime)
	}
	if asked && c.unsent.Load() <= 0 {
		_ = c.conn.Close()
		return
	}
	t.alarms.Set(c, now.Add(unsentPoll))
}

// send writes bytes without waiting. What the system does not take now is sent by the poller,
// within takeLimit. A failed write closes the connection, which is all that can be told to the caller then.
func (t *Task) send(c *caller, b []byte) {
	if len(b) == 0 {
		return
	}
	c.unsent.Add(int64(len(b)))
	if _, err := c.conn.Write(b); err != nil {
		return
	}
	if c.unsent.Load() > 0 {
		c.taking = true
		_ = c.conn.SetWriteDeadline(time.Now().Add(takeLimit))
	}
}

// answerOf returns what a caller sees of an outcome.
func (t *Task) answerOf(r *request, o call.Outcome) (status int, fields []call.Field, body []byte) {
	switch o := o.(type) {
	case call.Answered:
		fields := o.Header[:len(o.Header):len(o.Header)]
		if t.dialect.Outcome != "" {
			fields = append(fields, call.Field{Name: t.dialect.Outcome, Value: string(errs.Answered)})
		}
		return o.Status, fields, o.Body
	case call.Refused:
		return t.errorAnswer(r, o.Kind, o.RetryAfter, o.Detail)
	case call.Unknown:
		return t.errorAnswer(r, o.Kind, 0, o.Detail)
	}
	return t.errorAnswer(r, errs.Internal, 0, "")
}

func (t *Task) errorAnswer(r *request, kind errs.Kind, retryAfter time.Duration, detail string) (int, []call.Field, []byte) {
	d, a := t.dialect, errs.AnswerTo(kind)
	status := a.Status
	if a.Outcome == errs.NotRun && status >= http.StatusInternalServerError && d.RefusalStatus != 0 {
		status = d.RefusalStatus
	}
	fields := []call.Field{
		{Name: d.RequestID, Value: r.get(d.RequestID)},
		{Name: d.Outcome, Value: string(a.Outcome)},
		{Name: d.Error, Value: string(kind)},
		{Name: d.Advice, Value: a.Advice},
		{Name: "Content-Type", Value: "text/plain; charset=utf-8"},
		{Name: "Date", Value: time.Now().UTC().Format(http.TimeFormat)},
	}
	if retryAfter > 0 {
		fields = append(fields, call.Field{Name: "Retry-After", Value: t.retryAfter(retryAfter)})
	}
	fields = slices.DeleteFunc(fields, func(f call.Field) bool { return f.Name == "" || f.Value == "" })
	return status, fields, []byte(string(kind) + ": " + a.Advice + "\n" + detail + "\n")
}

// retryAfter returns a time in seconds, rounded up to what the dialect can say.
func (t *Task) retryAfter(d time.Duration) string {
	if t.dialect.FractionalRetry {
		return strconv.FormatFloat(math.Ceil(d.Seconds()*1000)/1000, 'f', -1, 64)
	}
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

func refusal(kind errs.Kind, detail string) call.Refused {
	return call.Refused{Kind: kind, RetryAfter: errs.AnswerTo(kind).RetryAfter, Detail: detail}
}

// appendHead appends the status line and the fields. A field that would break the framing is left out:
// names and values can come from a target or a peer.
func appendHead(b []byte, status int, fields []call.Field, closing bool, minor int) []byte {
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(status)...)
	b = append(b, "\r\n"...)
	for _, f := range fields {
		if !header.Valid(f.Name, f.Value) {
			continue
		}
		b = append(b, f.Name...)
		b = append(b, ": "...)
		b = append(b, f.Value...)
		b = append(b, "\r\n"...)
	}
	switch {
	case closing:
		b = append(b, "Connection: close\r\n"...)
	case minor == 0:
		b = append(b, "Connection: keep-alive\r\n"...)
	}
	return b
}
