// Package front is the task that answers callers over HTTP.
package front

import (
	"context"
	"net"
	"net/netip"
	"runtime"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/lesismal/nbio"
	"github.com/lesismal/nbio/nbhttp"

	"jacinthcross/internal/base/alarm"
	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/clock"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/base/quota"
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/task/router"
	"jacinthcross/internal/wire/header"
)

// Bounds of the task. The connections are those of two large services with 260 connections
// each, with room for short-lived ones; the calls are what the router's mailbox holds.
const (
	maxConnections = 10_000
	maxCalls       = 4096
	// maxPipelined bounds the requests that wait on one connection for the answer to an earlier one.
	maxPipelined = 16
	// readBuffer is the size of the read buffer of each poller in bytes.
	readBuffer = 64 << 10
)

// Bounds of time. A request must be complete sendLimit after its first byte, an answer must be
// taken within takeLimit, and a refused caller has lingerTime to read its answer while its bytes are dropped.
// A connection without a request is kept for idleLimit. An alarm that is later than lateAlarm shows that the process
// stood still, so that bytes of callers may wait to be read.
const (
	sendLimit   = 30 * time.Second
	idleLimit   = 120 * time.Second
	lateAlarm   = 200 * time.Millisecond
	takeLimit   = 30 * time.Second
	lingerTime  = time.Second
	unsentPoll  = 20 * time.Millisecond
	stopTimeout = 5 * time.Second
)

// A Task owns the listening socket for callers and their connections.
type Task struct {
	*tree.Loop
	engine   *nbio.Engine
	listener *listener
	parsing  *nbhttp.Engine
	inbox    *mail.Box[Message]
	answers  *mail.Box[router.Answer]
	router   *mail.Box[router.Message]
	clock    clock.Clock
	arrival  func(time.Time) (arrived time.Time, exact bool)
	// set are the limits of the settings, and limits those in force, which connections read.
	set      limits
	limits   atomic.Pointer[limits]
	dialect  *header.Dialect
	linger   bool
	quota    *quota.Quota
	memory   *quota.Share
	open     atomic.Int64
	alarms   *alarm.Queue[*caller]
	calls    map[call.ID]*caller
	empty    chan<- struct{}
	draining bool
	// awaited is true when the last calls have been awaited and the router may stop at any time.
	awaited bool
	buffer  []byte
}

// An Option sets a property of a Task.
type Option func(*Task)

// WithMaxBody bounds the size of a request body in bytes.
func WithMaxBody(n int) Option { return func(t *Task) { t.set.body = n } }

// WithMaxHeader bounds the size of the header of a request in bytes.
func WithMaxHeader(n int) Option { return func(t *Task) { t.set.header = n } }

// WithQuota sets the bound of the memory of all bodies, which tasks share.
func WithQuota(q *quota.Quota) Option { return func(t *Task) { t.quota = q } }

// WithSendLimit bounds the time from the first byte of a request to its last.
func WithSendLimit(d time.Duration) Option {
	return func(t *Task) { t.set.send, t.set.sendHeader = d, d }
}

// WithKeepalive sets how long a connection without a request is kept.
func WithKeepalive(d time.Duration) Option { return func(t *Task) { t.set.idle = d } }

// WithDialect sets the header fields that callers use.
func WithDialect(d *header.Dialect) Option { return func(t *Task) { t.dialect = d } }

// WithLinger makes a drain go on accepting connections, for callers that learn of it from elsewhere.
func WithLinger() Option { return func(t *Task) { t.linger = true } }

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(t *Task) { t.clock = c } }

// WithArrivals sets what tells when bytes read at a time may have arrived, and whether that is the time of the read.
func WithArrivals(arrival func(read time.Time) (arrived time.Time, exact bool)) Option {
	return func(t *Task) { t.arrival = arrival }
}

// New starts the task that listens for callers at an address. It reads from inbox.
func New(at netip.AddrPort, inbox *mail.Box[Message], box *mail.Box[router.Message], options ...Option) (*Task, error) {
	t := &Task{
		Loop:    tree.NewLoop(),
		inbox:   inbox,
		answers: mail.NewBox[router.Answer](2 * maxCalls),
		router:  box,
		clock:   clock.System{},
		arrival: func(read time.Time) (time.Time, bool) { return read, true },
		set:     limits{body: 8 << 20, header: 64 << 10, send: sendLimit, sendHeader: sendLimit, idle: idleLimit},
		dialect: header.Own(),
		quota:   quota.New(0),
		alarms:  alarm.NewQueue[*caller](),
		calls:   map[call.ID]*caller{},
	}
	for _, o := range options {
		o(t)
	}
	t.limits.Store(&t.set)
	t.memory = t.quota.Open()
	if err := t.listen(at); err != nil {
		return nil, errors.Annotatef(err, "listen for callers at %s", at)
	}
	go func() {
		t.Run(t.loop)
	}()
	return t, nil
}

// listen starts the engine. The library's parser takes its limit from an engine of its own that is never started.
func (t *Task) listen(at netip.AddrPort) error {
	inline := func(f func()) { f() }
	t.parsing = nbhttp.NewEngine(nbhttp.Config{
		Name: "parser", ReadLimit: t.set.body + t.set.header + readBuffer, ServerExecutor: inline, ClientExecutor: inline,
	})
	t.engine = nbio.NewEngine(nbio.Config{
		Name: "callers", Network: "tcp", Addrs: []string{at.String()},
		NPoller: max(1, runtime.GOMAXPROCS(0)/4), ReadBufferSize: readBuffer,
		Listen: func(network, address string) (net.Listener, error) {
			l, err := net.Listen(network, address)
			if err != nil {
				return nil, err
			}
			t.listener = newListener(l)
			return t.listener, nil
		},
	})
	t.engine.OnOpen(t.opened)
	t.engine.OnData(func(c *nbio.Conn, data []byte) {
		if caller, ok := c.Session().(*caller); ok {
			caller.intake.data(data)
			// The poller blocks next in a system call that keeps its processor, on whose queue the task
			// waits to run. Without the yield the task starts only after another thread has been woken.
			runtime.Gosched()
		}
	})
	t.engine.OnClose(t.closed)
	t.engine.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		if caller, ok := c.Session().(*caller); ok {
			caller.unsent.Add(-int64(n))
		}
	})
	return t.engine.Start()
}

// Addr returns the address at which the task listens.
func (t *Task) Addr() netip.AddrPort {
	return t.listener.Addr().(*net.TCPAddr).AddrPort()
}

func (t *Task) opened(c *nbio.Conn) {
	if t.open.Add(1) > maxConnections {
		_ = c.Close()
		return
	}
	caller := &caller{task: t, conn: c}
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		caller.address = a.AddrPort().Addr().Unmap()
	}
	caller.intake = &intake{task: t, caller: caller, conn: c, awaited: partFirst}
	caller.intake.parser = nbhttp.NewParser(c, t.parsing, caller.intake, false, nil)
	c.SetSession(caller)
	_ = c.SetReadDeadline(time.Now().Add(t.set.send))
}

// closed runs on whichever goroutine closed the connection, which may be that of the task.
func (t *Task) closed(c *nbio.Conn, _ error) {
	t.open.Add(-1)
	caller, ok := c.Session().(*caller)
	if ok {
		caller.giveHeld()
	}
	if !ok || t.inbox.TryPut(left{caller}) {
		return
	}
	go func() { t.put(left{caller}) }()
}

// put passes a message from a poller to the task. The task never waits for a poller.
func (t *Task) put(m Message) { t.inbox.Put(m, t.Done()) }

func (t *Task) loop() error {
	defer t.alarms.Stop()
	defer t.memory.Close()
	for {
		select {
		case m := <-t.inbox.C():
			t.receive(m)
		case a := <-t.answers.C():
			t.answer(a.ID, a.Outcome)
		case <-t.alarms.C():
			for _, c := range t.alarms.Due(t.clock.Now()) {
				t.wake(c)
			}
		case <-t.Stopping():
			ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
			defer cancel()
			return errors.Annotate(t.engine.Shutdown(ctx), "stop listening for callers")
		}
	}
}

func (t *Task) receive(m Message) {
	switch m := m.(type) {
	case arrived:
		t.arrive(m)
	case refused:
		if m.caller.task == t && m.caller.refusal == nil {
			m.caller.refusal = &m
			t.next(m.caller)
		}
	case expects:
		m.caller.expects = true
		t.next(m.caller)
	case left:
		t.leave(m.caller)
	case issued:
		t.answerKey(m)
	case LimitsChanged:
		l := t.set.within(m.Limits)
		t.limits.Store(&l)
	case Drain:
		if !t.linger {
			t.listener.stopAccepting()
		}
		t.draining, t.empty = true, m.Empty
		t.checkEmpty()
	}
}

func (t *Task) checkEmpty() {
	if t.empty == nil {
		return
	}
	for _, c := range t.calls {
		if !c.gone {
			return
		}
	}
	close(t.empty)
	t.empty, t.awaited = nil, true
}
