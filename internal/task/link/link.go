package link

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/guard"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/wire/codec"
)

const (
	dialTimeout        = 500 * time.Millisecond
	defaultIdleTimeout = 60 * time.Second
	// refuseInterval is how often messages to a peer that is late with its Hello are refused.
	refuseInterval = 50 * time.Millisecond
	// MaxSmallBody is the size in bytes of the largest body that is sent beside other messages, in 13 ms at 10 Mbit/s.
	MaxSmallBody = 16 << 10
	// maxCalls limits the calls in flight on one link, and with them its streams and goroutines.
	maxCalls = 1024
)

// A Task owns the connection to one peer daemon.
type Task struct {
	*tree.Loop
	peer        netip.AddrPort
	inbox       *mail.Box[Message]
	maxSize     int
	idleTimeout time.Duration
	bulk        bool
	dialDelay   time.Duration
	serve       func(*Session)
	hello       func() codec.Hello
	report      func(Report)
	onWaiting   func(peer netip.AddrPort, bytes int)
	session     *Session
	peerHello   codec.Hello
	calls       map[call.ID]*pendingCall
	// retired is closed when the peer is silent and only the calls in flight keep the connection.
	retired       chan struct{}
	lost          bool
	returnMessage func(m Message, stopping <-chan struct{})
	streams       streamPool
	// trimTimer fires when idle streams have to be trimmed. It is armed only while there are any.
	trimTimer *time.Timer
	trimArmed bool
	// silenceTimer fires when the connection has to be checked. It is armed only while calls are in flight.
	silenceTimer *time.Timer
	silenceArmed bool
	// waitingSince is when a call was last sent while no other call was in flight.
	waitingSince time.Time
	// pingSent is when the pending ping was sent, or zero.
	pingSent  time.Time
	pingCheck PingCheck
}

// An Option sets a property of a Task.
type Option func(*Task)

// WithMaxSize limits the size of a message from the peer in bytes.
func WithMaxSize(n int) Option { return func(t *Task) { t.maxSize = n } }

// WithIdleTimeout sets how long the connection stays open without messages or calls in flight.
func WithIdleTimeout(d time.Duration) Option { return func(t *Task) { t.idleTimeout = d } }

// WithDialDelay sets the delay before the task dials.
func WithDialDelay(d time.Duration) Option { return func(t *Task) { t.dialDelay = d } }

// WithServeFunc sets the function that serves the streams that the peer opens. It returns when the session ends.
func WithServeFunc(serve func(*Session)) Option { return func(t *Task) { t.serve = serve } }

// WithHelloFunc sets the function that returns the Hello of this daemon, which the task sends to the peer.
func WithHelloFunc(hello func() codec.Hello) Option { return func(t *Task) { t.hello = hello } }

// WithReportFunc sets the function that is called with reports on the peer. It must not block.
func WithReportFunc(report func(Report)) Option { return func(t *Task) { t.report = report } }

// WithWaitingFunc sets the function that is called with the change of the bytes of large bodies that wait to be sent.
func WithWaitingFunc(f func(peer netip.AddrPort, bytes int)) Option {
	return func(t *Task) { t.onWaiting = f }
}

// WithBulk makes the connection one for calls with large bodies.
func WithBulk() Option { return func(t *Task) { t.bulk = true } }

// WithReturnFunc sets the function that takes the calls, exchanges and cancellations that reach the task after it was
// retired. It may wait until stopping is closed.
func WithReturnFunc(f func(m Message, stopping <-chan struct{})) Option {
	return func(t *Task) { t.returnMessage = f }
}

// New starts the task that connects to the daemon at peer. After the task has ended, its Err is an error only if the
// connection could not be opened. Messages that are then left in inbox were not sent.
func New(peer netip.AddrPort, inbox *mail.Box[Message], options ...Option) *Task {
	t := &Task{
		Loop:          tree.NewLoop(),
		peer:          peer,
		inbox:         inbox,
		maxSize:       9 << 20,
		idleTimeout:   defaultIdleTimeout,
		serve:         func(*Session) {},
		hello:         func() codec.Hello { return codec.Hello{Protocol: codec.Protocol} },
		report:        func(Report) {},
		onWaiting:     func(netip.AddrPort, int) {},
		returnMessage: func(Message, <-chan struct{}) {},
		calls:         map[call.ID]*pendingCall{},
		retired:       make(chan struct{}),
		silenceTimer:  time.NewTimer(silenceTimeout),
		trimTimer:     time.NewTimer(trimInterval),
	}
	t.silenceTimer.Stop()
	t.trimTimer.Stop()
	for _, o := range options {
		o(t)
	}
	go func() {
		t.Run(t.loop)
	}()
	return t
}

func (t *Task) loop() error {
	defer t.silenceTimer.Stop()
	defer t.trimTimer.Stop()
	select {
	case <-time.After(t.dialDelay):
	case <-t.Stopping():
		t.refuseQueued(errors.New("the daemon is stopping"))
		return nil
	}
	if err := t.awaitDial(); err != nil {
		t.reportLost(err.Error())
		t.refuseQueued(err)
		return err
	}
	defer t.session.Close()
	idle := time.NewTimer(t.idleTimeout)
	defer idle.Stop()
	for {
		select {
		case m := <-t.inbox.C():
			t.receive(m)
			idle.Reset(t.idleTimeout)
		case <-t.silenceTimer.C:
			if t.isRetired() {
				t.expireCalls(time.Now())
			} else if !t.checkSilence(time.Now()) && !t.retire() {
				return nil
			}
		case <-t.trimTimer.C:
			t.trimStreams()
		case <-t.session.CloseChan():
			if !t.isRetired() {
				t.reportLost("the peer closed the connection, or the connection failed")
			}
			return nil
		case <-idle.C:
			if len(t.calls) == 0 {
				return nil
			}
			idle.Reset(t.idleTimeout)
		case <-t.Stopping():
			t.refuseQueued(errors.New("the daemon is stopping"))
			return nil
		}
		if t.isRetired() && len(t.calls) == 0 {
			return nil
		}
	}
}

// Lost reports whether the connection could not be opened, has failed or went silent. It is valid from when the task was
// retired or has ended.
func (t *Task) Lost() bool { return t.lost }

func (t *Task) reportLost(reason string) {
	event.LinkFailed.Log("peer", t.peer, "error", reason)
	t.lost = true
	if t.bulk {
		// The other link tells whether the peer is lost. The dialer opens it if there is none.
		return
	}
	t.report(PeerLost{Peer: t.peer, Reason: reason})
}

// awaitDial dials. Messages that arrive meanwhile wait, but no longer than helloTimeout for the Hello of the peer.
func (t *Task) awaitDial() error {
	ended := make(chan error, 1)
	go func() {
		err := error(errPanicked)
		guard.Run("dial of a peer", func() { err = t.dial() })
		ended <- err
	}()
	select {
	case err := <-ended:
		return err
	case <-time.After(dialTimeout + helloTimeout):
	}
	late := errors.Errorf("peer %s has not sent its Hello yet", t.peer)
	t.reportLost(late.Error())
	for {
		t.refuseQueued(late)
		select {
		case err := <-ended:
			return err
		case <-time.After(refuseInterval):
		}
	}
}

func (t *Task) dial() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() {
		select {
		case <-t.Stopping():
			cancel()
		case <-ctx.Done():
		}
	}()
	d := net.Dialer{Timeout: dialTimeout}
	c, err := d.DialContext(ctx, "tcp", t.peer.String())
	if err != nil {
		return errors.Annotate(err, "dial peer")
	}
	s, err := NewSession(c, true)
	if err != nil {
		c.Close()
		return errors.Trace(err)
	}
	abort := context.AfterFunc(ctx, func() { s.Close() })
	defer abort()
	own, dialled := t.hello(), time.Now()
	own.Bulk = t.bulk
	if t.peerHello, err = s.InitiateHello(own); err != nil {
		s.Close()
		if errors.Is(err, ErrProtocolVersion) {
			event.PeerVersionMismatch.Log("peer", t.peer, "error", err.Error())
		}
		return errors.Annotatef(err, "exchange hello with peer %s", t.peer)
	}
	t.session = s
	go func() { t.serve(s) }()
	event.LinkOpened.Log("peer", t.peer, "vm", t.peerHello.VM)
	alive := PeerAlive{Peer: t.peer, Hello: t.peerHello}
	if t.bulk {
		// The reports that a new connection causes are sent on the other one.
		alive.RoundTrip = time.Since(dialled)
	}
	t.report(alive)
	return nil
}

func (t *Task) receive(m Message) {
	if t.isRetired() && t.returned(m) {
		return
	}
	switch m := m.(type) {
	case Send:
		t.send(m)
	case Cancel:
		if p, ok := t.calls[m.ID]; ok {
			delete(t.calls, m.ID)
			// A call that its stream has not sent yet is not sent any more.
			p.abandon()
			p.stream.closeSoon()
		}
	case Exchange:
		startExchange(t, m)
	case Notify:
		startNotify(t, m)
	case callEnded:
		t.finishCall(m)
	case pinged:
		if m.err == nil {
			t.pingSent = time.Time{}
			t.report(PeerAlive{Peer: t.peer, Hello: t.peerHello, RoundTrip: m.roundTrip})
		}
	}
}

// send passes a call to an idle stream or to a new one. If it refuses the call, no part of the call has been sent.
func (t *Task) send(m Send) {
	if len(t.calls) >= maxCalls {
		t.refuse(m, errs.Busy, errors.Errorf("%d calls are in flight on the link to %s", maxCalls, t.peer))
		return
	}
	s := t.streams.take()
	if s == nil {
		s = newCallStream()
		startCallStream(t, s)
	}
	if len(t.calls) == 0 {
		t.waitingSince = time.Now()
	}
	p := &pendingCall{Send: m, stream: s}
	t.calls[m.ID] = p
	if !t.silenceArmed {
		t.silenceArmed = true
		t.silenceTimer.Reset(silenceTimeout)
	}
	s.calls <- p
}

// returned returns a message for the peer that a retired connection does not send, and reports whether it did. A
// cancellation of a call that is not in flight here may follow a call that was returned.
func (t *Task) returned(m Message) bool {
	switch m := m.(type) {
	case Send, Exchange:
	case Cancel:
		if _, ok := t.calls[m.ID]; ok {
			return false
		}
	case Notify:
		return true
	case callEnded, pinged:
		return false
	}
	t.returnMessage(m, t.Stopping())
	return true
}

// finishCall keeps the stream of an ended call for another call. It closes the stream of a cancelled call, which
// is no longer in calls, and a stream that cannot be reused.
func (t *Task) finishCall(m callEnded) {
	_, inFlight := t.calls[m.ID]
	delete(t.calls, m.ID)
	if !inFlight || !m.reusable {
		close(m.stream.calls)
		return
	}
	t.streams.put(m.stream)
	if !t.trimArmed {
		t.trimArmed = true
		t.trimTimer.Reset(trimInterval)
	}
}

func (t *Task) trimStreams() {
	t.streams.trim()
	t.trimArmed = len(t.streams.idle) > 0
	if t.trimArmed {
		t.trimTimer.Reset(trimInterval)
	}
}

func (t *Task) refuse(m Send, kind errs.Kind, err error) {
	r := refusal(kind, err)
	r.Attempt = m.ID
	m.Reply.Put(r, t.Stopping())
}

func refusal(kind errs.Kind, err error) call.Result {
	return call.Result{Outcome: call.Refused{Kind: kind, RetryAfter: errs.ResponseFor(kind).RetryAfter, Detail: err.Error()}}
}

// refuseQueued refuses the messages in the inbox after a failed dial and when the task is stopped. After a lost or idle
// connection they stay in the inbox, and the dialer task forwards the calls and exchanges among them to a new link.
func (t *Task) refuseQueued(err error) {
	for {
		select {
		case m := <-t.inbox.C():
			switch m := m.(type) {
			case Send:
				t.refuse(m, errs.PeerUnreachable, err)
			case Exchange:
				m.Reply.TryPut(Answer{Err: err})
			case Cancel, Notify, callEnded, pinged:
			}
		default:
			return
		}
	}
}
