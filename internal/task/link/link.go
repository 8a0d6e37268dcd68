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
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/wire/codec"
)

const (
	dialTimeout = 500 * time.Millisecond
	idleTimeout = 60 * time.Second
	// maxCalls bounds the calls outstanding on one link, and with them its streams and goroutines.
	maxCalls = 1024
)

// Limits of silence: with calls outstanding, a ping after silenceLimit without received
// bytes, and the end of the connection when the ping is not answered within pingLimit.
const (
	silenceLimit = 200 * time.Millisecond
	pingLimit    = 300 * time.Millisecond
)

// A Task owns the connection to one peer daemon.
type Task struct {
	*tree.Loop
	peer    netip.AddrPort
	inbox   *mail.Box[Message]
	maxSize int
	idle    time.Duration
	delay   time.Duration
	serve   func(*Session)
	hello   func() codec.Hello
	report  func(Report)
	session *Session
	greeted codec.Hello
	calls   map[call.ID]*callStream
	streams pool
	// trim fires when idle streams must be checked. It runs only while there are any.
	trim     *time.Timer
	trimming bool
	// silence fires when the connection must be checked. It runs only while calls are outstanding.
	silence *time.Timer
	watched bool
	// waiting is when the first of the outstanding calls was sent.
	waiting time.Time
	// pinging is when the ping under way was sent, or zero.
	pinging time.Time
}

// An Option sets a property of a Task.
type Option func(*Task)

// WithMaxSize bounds the size of a message from the peer in bytes.
func WithMaxSize(n int) Option { return func(t *Task) { t.maxSize = n } }

// WithIdleTimeout sets after how long without calls the connection is closed.
func WithIdleTimeout(d time.Duration) Option { return func(t *Task) { t.idle = d } }

// WithDialDelay sets how long the task waits before it dials.
func WithDialDelay(d time.Duration) Option { return func(t *Task) { t.delay = d } }

// WithServe sets what serves the streams that the peer opens. It returns when the session ends.
func WithServe(serve func(*Session)) Option { return func(t *Task) { t.serve = serve } }

// WithHello sets what the task tells the peer of its own daemon.
func WithHello(hello func() codec.Hello) Option { return func(t *Task) { t.hello = hello } }

// WithReports sets what is told of the peer. It must not block.
func WithReports(report func(Report)) Option { return func(t *Task) { t.report = report } }

// New starts the task that connects to the daemon at peer. Err is nil when the connection was
// opened, whatever ended it; messages then left in inbox were not sent.
func New(peer netip.AddrPort, inbox *mail.Box[Message], options ...Option) *Task {
	t := &Task{
		Loop:    tree.NewLoop(),
		peer:    peer,
		inbox:   inbox,
		maxSize: 9 << 20,
		idle:    idleTimeout,
		serve:   func(*Session) {},
		hello:   func() codec.Hello { return codec.Hello{Protocol: codec.Protocol} },
		report:  func(Report) {},
		calls:   map[call.ID]*callStream{},
		silence: time.NewTimer(silenceLimit),
		trim:    time.NewTimer(trimInterval),
	}
	t.silence.Stop()
	t.trim.Stop()
	for _, o := range options {
		o(t)
	}
	go func() {
		t.Run(t.loop)
	}()
	return t
}

func (t *Task) loop() error {
	defer t.silence.Stop()
	defer t.trim.Stop()
	select {
	case <-time.After(t.delay):
	case <-t.Stopping():
		t.refuseWaiting(errors.New("the daemon stops"))
		return nil
	}
	if err := t.dial(); err != nil {
		t.lost(err.Error())
		t.refuseWaiting(err)
		return err
	}
	defer t.session.Close()
	idle := time.NewTimer(t.idle)
	defer idle.Stop()
	for {
		select {
		case m := <-t.inbox.C():
			t.receive(m)
			idle.Reset(t.idle)
		case <-t.silence.C:
			if !t.alive(time.Now()) {
				t.lost("the connection is silent: no answer to a ping")
				return nil
			}
		case <-t.trim.C:
			t.trimStreams()
		case <-t.session.CloseChan():
			t.lost("the session ended")
			return nil
		case <-idle.C:
			if len(t.calls) == 0 {
				return nil
			}
			idle.Reset(t.idle)
		case <-t.Stopping():
			t.refuseWaiting(errors.New("the daemon stops"))
			return nil
		}
	}
}

func (t *Task) lost(reason string) {
	event.LinkFailed.Log("peer", t.peer, "error", reason)
	t.report(Lost{Peer: t.peer, Reason: reason})
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
	if t.greeted, err = s.Greet(t.hello()); err != nil {
		s.Close()
		if errors.Is(err, ErrVersion) {
			event.PeerVersion.Log("peer", t.peer, "error", err.Error())
		}
		return errors.Annotatef(err, "greet peer %s", t.peer)
	}
	t.session = s
	go func() { t.serve(s) }()
	event.LinkOpened.Log("peer", t.peer, "vm", t.greeted.VM)
	t.report(Seen{Peer: t.peer, Hello: t.greeted})
	return nil
}

func (t *Task) receive(m Message) {
	switch m := m.(type) {
	case Send:
		t.send(m)
	case Cancel:
		if s, ok := t.calls[m.ID]; ok {
			delete(t.calls, m.ID)
			s.Close()
		}
	case Exchange:
		t.exchange(m)
	case Notify:
		if s, err := t.session.OpenStream(); err == nil {
			newNotifier(t, m, s)
		}
	case ended:
		t.end(m)
	case pinged:
		if m.err == nil {
			t.pinging = time.Time{}
			t.report(Seen{Peer: t.peer, Hello: t.greeted, RoundTrip: m.roundTrip})
		}
	}
}

// send passes a call to an idle stream or to a new one. Before that nothing of the call is on the wire.
func (t *Task) send(m Send) {
	if len(t.calls) >= maxCalls {
		t.refuse(m, errs.Busy, errors.Errorf("%d calls are outstanding on the link to %s", maxCalls, t.peer))
		return
	}
	s := t.streams.take()
	if s == nil {
		opened, err := t.session.OpenStream()
		if err != nil {
			t.refuse(m, errs.PeerUnreachable, err)
			return
		}
		s = newCallStream(opened)
		newCarrier(t, s)
	}
	if len(t.calls) == 0 {
		t.waiting = time.Now()
	}
	t.calls[m.ID] = s
	if !t.watched {
		t.watched = true
		t.silence.Reset(silenceLimit)
	}
	s.sends <- m
}

// end keeps the stream of a call for another. A cancelled call is no longer in calls, and its stream is closed.
func (t *Task) end(m ended) {
	_, outstanding := t.calls[m.id]
	delete(t.calls, m.id)
	if !outstanding || !m.reusable {
		close(m.stream.sends)
		return
	}
	t.streams.put(m.stream)
	if !t.trimming {
		t.trimming = true
		t.trim.Reset(trimInterval)
	}
}

func (t *Task) trimStreams() {
	t.streams.trim()
	t.trimming = len(t.streams.idle) > 0
	if t.trimming {
		t.trim.Reset(trimInterval)
	}
}

// alive checks the connection when the silence timer fires, sets the timer for the next
// check, and reports whether the connection may be kept.
func (t *Task) alive(now time.Time) bool {
	if !t.pinging.IsZero() {
		return t.checkPing(now)
	}
	if len(t.calls) == 0 {
		t.watched = false
		return true
	}
	since := t.session.LastReceived()
	if t.waiting.After(since) {
		since = t.waiting
	}
	if rest := silenceLimit - now.Sub(since); rest > 0 {
		t.silence.Reset(rest)
		return true
	}
	t.pinging = now
	newPinger(t)
	t.silence.Reset(pingLimit)
	return true
}

// checkPing ends the wait for a ping. Only the answer to the ping counts and not other bytes,
// since the peer may send without receiving. After a pause of the own process the answer may
// wait in the mailbox behind the timer, so the limit counts from the check that found it late.
func (t *Task) checkPing(now time.Time) bool {
	if late := now.Sub(t.pinging); late > 2*pingLimit {
		t.pinging = now
		t.silence.Reset(pingLimit)
		return true
	}
	return false
}

func (t *Task) exchange(m Exchange) {
	s, err := t.session.OpenStream()
	if err != nil {
		m.Reply.TryPut(Answer{Err: errors.Annotate(err, "open stream")})
		return
	}
	newExchanger(t, m, s)
}

func (t *Task) refuse(m Send, kind errs.Kind, err error) {
	m.Reply.Put(call.Result{Attempt: m.ID, Outcome: call.Refused{
		Kind: kind, RetryAfter: errs.AnswerTo(kind).RetryAfter, Detail: err.Error(),
	}}, t.Stopping())
}

// refuseWaiting answers the messages that were not taken before the link ended.
func (t *Task) refuseWaiting(err error) {
	for {
		select {
		case m := <-t.inbox.C():
			switch m := m.(type) {
			case Send:
				t.refuse(m, errs.PeerUnreachable, err)
			case Exchange:
				m.Reply.TryPut(Answer{Err: err})
			case Cancel, Notify, ended, pinged:
			}
		default:
			return
		}
	}
}
