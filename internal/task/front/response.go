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

// maxInlineBody is the size in bytes of the largest body that is appended to its header, so that both are sent in one
// write.
const maxInlineBody = 64 << 10

// writeResponse writes the response of the first exchange of a connection and ends the exchange. In a drain, the response
// to the last request that has been started closes the connection. Its caller sends the requests behind it again.
func (t *Task) writeResponse(c *connection) {
	e := c.exchanges[0]
	c.exchanges = c.exchanges[1:]
	r := e.request
	c.releaseRequest(r)
	closeRequested := r.wantsClose()
	c.closing = c.closing || closeRequested || t.draining && len(c.exchanges) == 0
	status, fields, body := t.responseOf(r, e.outcome)
	b := appendHead(t.writeBuffer[:0], status, fields, c.closing, r.minorVersion)
	noBody := status == http.StatusNoContent || status == http.StatusNotModified
	switch {
	case noBody:
		body = nil
	case r.method == http.MethodHead:
		// Content-Length is left out, since it would have to be the length of the response to GET, which is unknown.
		body = nil
	default:
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(body)), 10)
		b = append(b, "\r\n"...)
	}
	b = append(b, "\r\n"...)
	if len(body) <= maxInlineBody {
		b = append(b, body...)
		body = nil
	}
	t.writeBuffer = b[:0]
	c.responseBytes += e.heldBytes
	t.writeBytes(c, b)
	t.writeBytes(c, body)
	if c.closing {
		t.closeAfterResponse(c, closeRequested)
	}
}

// closeAfterResponse closes a connection after its last response. Unless the caller requested the close, it may still be
// sending, and closing at once could reset the connection before the response is read.
func (t *Task) closeAfterResponse(c *connection, closeRequested bool) {
	for _, r := range c.queue {
		c.releaseRequest(r)
	}
	c.queue = nil
	c.stopReading.Store(true)
	now := t.clock.Now()
	c.closeAt = now
	if !closeRequested {
		c.closeAt = now.Add(lingeringCloseTime)
	}
	if c.unsentBytes.Load() <= 0 {
		t.settle(c)
		if closeRequested {
			_ = c.socket.Close()
			return
		}
	}
	t.timers.Set(c, now.Add(unsentPollInterval))
}

// writeBytes writes without blocking. The poller sends what the kernel does not accept now, within writeTimeout. nbio
// closes the connection after a failed write. Nothing more can be reported to the caller then.
func (t *Task) writeBytes(c *connection, b []byte) {
	if len(b) == 0 {
		return
	}
	c.unsentBytes.Add(int64(len(b)))
	if _, err := c.socket.Write(b); err != nil {
		return
	}
	if c.unsentBytes.Load() > 0 {
		c.hasWriteDeadline = true
		_ = c.socket.SetWriteDeadline(time.Now().Add(writeTimeout))
	}
}

// responseOf returns the response for an outcome.
func (t *Task) responseOf(r *request, o call.Outcome) (status int, fields []call.Field, body []byte) {
	switch o := o.(type) {
	case call.Answered:
		fields := o.Header[:len(o.Header):len(o.Header)]
		if t.dialect.Outcome != "" {
			fields = append(fields, call.Field{Name: t.dialect.Outcome, Value: string(errs.Answered)})
		}
		return o.Status, fields, o.Body
	case call.Refused:
		return t.errorResponse(r, o.Kind, o.RetryAfter, o.Detail)
	case call.Unknown:
		return t.errorResponse(r, o.Kind, 0, o.Detail)
	}
	return t.errorResponse(r, errs.Internal, 0, "")
}

func (t *Task) errorResponse(r *request, kind errs.Kind, retryAfter time.Duration, detail string) (int, []call.Field, []byte) {
	d, response := t.dialect, errs.ResponseFor(kind)
	status := response.Status
	if response.Outcome == errs.NotRun && status >= http.StatusInternalServerError && d.RefusalStatus != 0 {
		status = d.RefusalStatus
	}
	fields := []call.Field{
		{Name: d.RequestID, Value: r.field(d.RequestID)},
		{Name: d.Outcome, Value: string(response.Outcome)},
		{Name: d.Error, Value: string(kind)},
		{Name: d.Advice, Value: response.Advice},
		{Name: "Content-Type", Value: "text/plain; charset=utf-8"},
		{Name: "Date", Value: time.Now().UTC().Format(http.TimeFormat)},
	}
	if retryAfter > 0 {
		fields = append(fields, call.Field{Name: "Retry-After", Value: t.formatRetryAfter(retryAfter)})
	}
	fields = slices.DeleteFunc(fields, func(f call.Field) bool { return f.Name == "" || f.Value == "" })
	return status, fields, []byte(string(kind) + ": " + response.Advice + "\n" + detail + "\n")
}

// formatRetryAfter formats a duration in seconds, rounded up to the precision of the dialect.
func (t *Task) formatRetryAfter(d time.Duration) string {
	if t.dialect.FractionalRetryAfter {
		return strconv.FormatFloat(math.Ceil(d.Seconds()*1000)/1000, 'f', -1, 64)
	}
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}

func refusal(kind errs.Kind, detail string) call.Refused {
	return call.Refused{Kind: kind, RetryAfter: errs.ResponseFor(kind).RetryAfter, Detail: detail}
}

// appendHead appends the status line and the header fields. It skips fields that would break the framing, since their
// names and values can come from a target or a peer.
func appendHead(b []byte, status int, fields []call.Field, closing bool, minorVersion int) []byte {
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
	case minorVersion == 0:
		b = append(b, "Connection: keep-alive\r\n"...)
	}
	return b
}
