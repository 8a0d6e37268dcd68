package listen

import (
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/wire/codec"
)

// bodyTimeout is how long a call holds a slot of the target while no bytes of its body arrive.
const bodyTimeout = 500 * time.Millisecond

// isValid reports whether a call whose body is pending has all that is needed.
func isValid(m codec.Call, maxSize int) bool {
	return m.BodySize == 0 ||
		m.BodySize <= maxSize && len(m.Request.Body) == 0 && (m.Request.Key == "" || m.Digest != (ident.Digest{}))
}

// requestBody reserves the memory for the body of the call in progress and requests the body. It reports whether the
// stream may carry on.
func (c *callStream) requestBody(id call.ID) bool {
	p := c.latest.Load()
	if p.id != id || p.ended.Load() {
		// The cancellation of the call may have been lost because the mailbox of the local task was full.
		c.localInbox.TryPut(local.BodyFailed{ID: id, Detail: "the call has ended"})
		return true
	}
	if !c.bodyMemory.TryAcquire(p.bodySize) {
		c.localInbox.Put(local.BodyFailed{ID: id, Detail: "no memory is left for the body"}, c.session.CloseChan())
		return true
	}
	p.reservedBytes.Add(int64(p.bodySize))
	if p.ended.Load() {
		// The call may have ended before the reservation.
		c.release(p)
		return true
	}
	p.bodyRequested.Store(true)
	if err := c.stream.SetReadDeadline(time.Now().Add(bodyTimeout)); err != nil {
		return false
	}
	return writeMessage(c.stream, codec.BodyRequest{Number: p.number})
}

// readNext reads the next call of the stream. Before that it may receive the body of the call in progress.
func (c *callStream) readNext(p *currentCall) (next codec.Message, exact bool, err error) {
	for received := false; ; received = true {
		awaits := func() bool { return p.bodyRequested.Load() && !received && !p.ended.Load() }
		next, exact, err = c.readMessage(c.session, c.stream, time.Time{}, func(r *link.ProgressReader) error {
			if c.abandoned.Load() {
				return yamux.ErrTimeout
			}
			r.SetLimits(func() (time.Duration, time.Time) {
				if c.abandoned.Load() {
					return 0, time.Unix(1, 0)
				}
				if awaits() {
					return bodyTimeout, p.deadline
				}
				return readTimeout, time.Time{}
			})
			if !awaits() {
				return nil
			}
			// The body was requested before the deadline of the stream was removed for this read.
			return c.stream.SetReadDeadline(time.Now().Add(bodyTimeout))
		})
		if errors.Is(err, yamux.ErrTimeout) && awaits() {
			c.failBody(p, err)
		}
		body, ok := next.(codec.RequestBody)
		if err != nil || !ok {
			return next, exact, err
		}
		if !p.bodyRequested.Load() || received || body.Number != p.number || len(body.Body) != p.bodySize {
			return nil, false, errors.NotValidf("body of %d bytes that was not requested", len(body.Body))
		}
		c.keep(p)
		if !c.localInbox.Put(local.BodyReceived{ID: p.id, Body: body.Body}, c.session.CloseChan()) {
			return nil, false, errors.Trace(yamux.ErrSessionShutdown)
		}
	}
}

// failBody refuses the call in progress, whose body does not arrive, and waits until the reply is written. Then the
// stream ends, since the rest of the body may still arrive.
func (c *callStream) failBody(p *currentCall, err error) {
	event.PeerMessageRefused.Log("peer", c.stream.RemoteAddr(), "error", err.Error())
	if !c.localInbox.Put(local.BodyFailed{ID: p.id, Detail: "the body did not arrive in time"}, c.session.CloseChan()) {
		return
	}
	close(c.bodyFailed)
	select {
	case <-c.repliesEnded:
	case <-c.session.CloseChan():
	}
}
