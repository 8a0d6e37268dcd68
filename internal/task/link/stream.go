package link

import (
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/guard"
	"jacinthcross/internal/wire/codec"
)

// replyGrace is how long after the deadline of a call its reply may arrive from the target's daemon.
const replyGrace = 50 * time.Millisecond

const (
	// exchangeTimeout limits an exchange of control messages, for an answer with much data until the answer begins.
	exchangeTimeout = time.Second
	// MaxTransferTime limits the transfer of a message of which parts keep arriving.
	MaxTransferTime = 10 * time.Second
)

// A pendingCall is a call in flight. It is answered once: by the goroutine of its stream, or by the task if the peer is
// silent and the goroutine may wait on the connection.
type pendingCall struct {
	Send
	stream   *callStream
	answered atomic.Bool
	// state is a sendState.
	state atomic.Int32
}

func (p *pendingCall) answer(t *Task, r call.Result) {
	if p.answered.CompareAndSwap(false, true) {
		r.Attempt = p.ID
		p.Reply.Put(r, t.Stopping())
	}
}

// startCallStream starts the goroutine that sends the calls of one stream. It ends when a call fails, which leaves the
// stream in an unknown state, when the stream cannot be reused, when the task closes the channel of its calls, or when
// the task has ended.
func startCallStream(t *Task, s *callStream) {
	go func() {
		openErr := s.open(t.session)
		if openErr == nil {
			defer s.Close()
		}
		for used := false; ; used = true {
			p, ok := s.next(t)
			if !ok {
				return
			}
			unusable := openErr
			if used && !s.reusable() {
				unusable = errors.Errorf("stream to peer %s is closed or holds unexpected bytes; the call was not sent", t.peer)
			}
			if unusable != nil {
				p.answer(t, refusal(errs.PeerUnreachable, unusable))
				t.inbox.Put(callEnded{p, false}, t.Done())
				return
			}
			r, reusable, err := call.Result{}, false, error(errPanicked)
			guard.Run("call of a peer", func() { r, reusable, err = sendCall(t, p) })
			if err != nil {
				r = p.failure(err)
			}
			p.answer(t, r)
			t.inbox.Put(callEnded{p, reusable}, t.Done())
			if !reusable {
				return
			}
		}
	}()
}

// startExchange starts the goroutine that sends one control message and reads its answer.
func startExchange(t *Task, m Exchange) {
	go func() {
		answer, err := exchange(t, m)
		m.Reply.TryPut(Answer{Message: answer, Err: err})
	}()
}

// startNotify starts the goroutine that sends one message and waits until the peer has read it.
func startNotify(t *Task, m Notify) {
	go func() {
		_, _ = exchange(t, Exchange{Message: m.Message})
	}()
}

// startPing starts the goroutine of one ping. It ends with the session at the latest.
func startPing(t *Task) {
	session := t.session
	go func() {
		roundTrip, err := session.Ping()
		t.inbox.Put(pinged{roundTrip, err}, t.Done())
	}()
}

// errPanicked is the error of a call or message whose handler panicked.
const errPanicked = errors.ConstError("the daemon failed while it handled the message of a peer: see the HandlerPanicked event in the log")

func exchange(t *Task, m Exchange) (answer codec.Message, err error) {
	s, err := t.session.OpenStream()
	if err != nil {
		return nil, errors.Annotate(err, "open stream")
	}
	defer s.Close()
	err = errPanicked
	guard.Run("message of a peer", func() { answer, err = sendMessage(t, m, s) })
	return answer, err
}

func sendMessage(t *Task, m Exchange, s *yamux.Stream) (codec.Message, error) {
	timeout := exchangeTimeout
	if m.Timeout > 0 {
		timeout = m.Timeout
	}
	now := time.Now()
	if err := s.SetWriteDeadline(now.Add(timeout)); err != nil {
		return nil, errors.Annotate(err, "set deadline")
	}
	if _, err := codec.Write(s, m.Message, now); err != nil {
		return nil, errors.Trace(err)
	}
	// On a busy connection the write takes a part of the timeout.
	if err := s.SetReadDeadline(time.Now().Add(timeout)); err != nil {
		return nil, errors.Annotate(err, "set deadline")
	}
	answer, _, err := codec.Read(NewProgressReader(t.session, s, exchangeTimeout), t.maxSize, time.Now)
	return answer, errors.Trace(err)
}

// A ProgressReader reads from a stream. Each read that returns bytes moves the read deadline of the stream, and so does
// a busy connection, so that the time allowed for a message grows with its size and with what else is sent over the link.
type ProgressReader struct {
	session *Session
	stream  *yamux.Stream
	timeout time.Duration
	// limits returns other limits if it is not nil.
	limits func() (time.Duration, time.Time)
	// limit is the latest deadline, or zero before the first bytes or the first timeout.
	limit time.Time
	// received counts the bytes that the connection had received when the deadline was last set.
	received int64
}

// NewProgressReader returns a ProgressReader for one message. timeout is the longest time without bytes after the first
// ones.
func NewProgressReader(session *Session, s *yamux.Stream, timeout time.Duration) *ProgressReader {
	return &ProgressReader{session: session, stream: s, timeout: timeout, received: session.conn.receivedBytes.Load()}
}

// SetLimits sets a function that returns the longest time without bytes after the first ones, and when the message must
// have been read. A zero time stands for MaxTransferTime after the first bytes.
func (r *ProgressReader) SetLimits(limits func() (time.Duration, time.Time)) { r.limits = limits }

// Read implements io.Reader.
func (r *ProgressReader) Read(b []byte) (int, error) {
	for {
		n, err := r.stream.Read(b)
		before := r.received
		r.received = r.session.conn.receivedBytes.Load()
		switch {
		case n > 0:
			if extendErr := r.extend(); extendErr != nil && err == nil {
				err = extendErr
			}
		case errors.Is(err, yamux.ErrTimeout) && r.received-before >= busyBytes && r.extend() == nil && time.Now().Before(r.limit):
			continue
		}
		return n, err
	}
}

// extend moves the read deadline of the stream.
func (r *ProgressReader) extend() error {
	now := time.Now()
	if r.limit.IsZero() {
		r.limit = now.Add(MaxTransferTime)
	}
	timeout := r.timeout
	if r.limits != nil {
		var limit time.Time
		if timeout, limit = r.limits(); !limit.IsZero() {
			r.limit = limit
		}
	}
	deadline := now.Add(timeout)
	if deadline.After(r.limit) {
		deadline = r.limit
	}
	return errors.Trace(r.stream.SetReadDeadline(deadline))
}
