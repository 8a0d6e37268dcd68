package link

import (
	"sync"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/clock"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/wire/codec"
)

// A sendState says whether a call may still be kept from the target by not sending the rest of it. The goroutine that
// sends the call and the task compete for the step from unsent.
type sendState int32

const (
	// unsent means that a part of the call that the peer needs to run it has not been sent.
	unsent sendState = iota
	// sent means that the last part of the call was or is being sent, so that the call may run.
	sent
	// abandoned means that the last part of the call is not sent, so that the call does not run.
	abandoned
)

// errAbandoned is the error of a call that the task has given up before it was sent whole.
const errAbandoned = errors.ConstError("the call was given up before it was sent")

// commit allows that the last part of the call is sent. It returns false if the call was abandoned.
func (p *pendingCall) commit() bool { return p.state.CompareAndSwap(int32(unsent), int32(sent)) }

// abandon prevents that the last part of the call is sent. It returns false if that may have happened.
func (p *pendingCall) abandon() bool {
	return p.state.CompareAndSwap(int32(unsent), int32(abandoned)) || p.state.Load() == int32(abandoned)
}

// A bodyWriter writes a message to a stream and commits its call before the last part.
type bodyWriter struct {
	*pendingCall
	left int
}

// Write implements io.Writer.
func (w *bodyWriter) Write(b []byte) (int, error) {
	w.left -= len(b)
	if w.left <= 0 && !w.commit() {
		return 0, errors.Trace(errAbandoned)
	}
	return w.stream.Write(b)
}

// startBody starts the goroutine that sends the body of a call on its stream and then calls done. The returned channel
// receives the error.
func startBody(p *pendingCall, number uint64, done func()) <-chan error {
	ended := make(chan error, 1)
	go func() {
		m, now := codec.RequestBody{Number: number, Body: p.Request.Body}, time.Now()
		_, err := codec.Write(&bodyWriter{p, codec.EncodedSize(m, now)}, m, now)
		done()
		ended <- err
	}()
	return ended
}

// countWaiting counts a large body until the returned function is called.
func (t *Task) countWaiting(size int) (sent func()) {
	if size <= MaxSmallBody {
		return func() {}
	}
	t.onWaiting(t.peer, size)
	return sync.OnceFunc(func() { t.onWaiting(t.peer, -size) })
}

// sendCall sends a call and reads its reply. A large body is sent when the peer requests it. After an error, or if
// reusable is false, the stream must not be used for another call.
func sendCall(t *Task, p *pendingCall) (r call.Result, reusable bool, err error) {
	s := p.stream
	if err := s.SetDeadline(p.Request.Deadline.Add(replyGrace)); err != nil {
		return call.Result{}, false, errors.Trace(err)
	}
	sent := t.countWaiting(len(p.Request.Body))
	defer sent()
	m := codec.Call{Target: p.Target, Request: p.Request, Number: uint64(p.ID)}
	if len(m.Request.Body) > MaxSmallBody && t.peerHello.RequestsBodies {
		m.BodySize = len(m.Request.Body)
		if m.Request.Key != "" {
			m.Digest = m.Request.Digest()
		}
		m.Request.Body = nil
	} else if !p.commit() {
		return call.Result{}, false, errors.Trace(errAbandoned)
	}
	m.Sent = clock.SinceBoot()
	if _, err := codec.Write(s, m, time.Now()); err != nil {
		return call.Result{}, false, err
	}
	if m.BodySize == 0 {
		sent()
	}
	var body <-chan error
	for {
		answer, n, err := codec.Read(s, t.maxSize, time.Now)
		if err != nil {
			return call.Result{}, false, err
		}
		if n > MaxKeptBuffer {
			s.Shrink()
		}
		switch answer := answer.(type) {
		case codec.BodyRequest:
			if m.BodySize == 0 || body != nil || answer.Number != m.Number {
				return call.Result{}, false, errors.Errorf("peer %s requested a body that it must not request", t.peer)
			}
			body = startBody(p, m.Number, sent)
		case codec.Reply:
			if answer.Number != m.Number {
				return call.Result{}, false, errors.Errorf("peer %s answered call %d with the reply to call %d", t.peer, m.Number, answer.Number)
			}
			if m.BodySize > 0 && body == nil {
				event.BodyNotSent.Log("request", p.Request.ID, "peer", t.peer, "bytes", m.BodySize)
			}
			// The stream cannot be reused behind a part of a body. A body that was committed ends at once.
			return answer.Result, body == nil || !p.abandon() && <-body == nil, nil
		default:
			return call.Result{}, false, errors.Errorf("peer %s answered a call with %T", t.peer, answer)
		}
	}
}

// failure returns the result of a call whose connection or stream has failed. A call that was not sent whole does not run.
func (p *pendingCall) failure(err error) call.Result {
	if p.abandon() {
		return refusal(errs.PeerUnreachable, err)
	}
	return call.Result{Outcome: call.Unknown{Kind: errs.PeerLost, Detail: err.Error()}}
}
