// Package front is the task that serves callers over HTTP.
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

	"jacinthcross/internal/base/alarm"
	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/clock"
	"jacinthcross/internal/base/guard"
	"jacinthcross/internal/base/limit"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/base/quota"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/policy/evict"
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/task/router"
	"jacinthcross/internal/wire/header"
)

const (
	// defaultMaxConnections is far above the 520 connections of two large services with 260 connections each, to leave
	// room for short-lived ones.
	defaultMaxConnections = 10_000
	// defaultMinBytesPerSecond lets a request of 16 KiB, the largest header, take 16 s.
	defaultMinBytesPerSecond = 1 << 10
	// maxCalls limits the calls in flight. It equals the capacity of the router's mailbox.
	maxCalls = 4096
	// maxPipelined limits the requests that wait on one connection to be started.
	maxPipelined = 16
	// maxConcurrent limits the requests of one connection that run at the same time.
	maxConcurrent = 16
	// maxHeldBytes is the size of the responses waiting on one connection for an earlier one, in bytes, at which no
	// further request of the connection is started.
	maxHeldBytes = 256 << 10
	// readBufferSize is the size in bytes of the read buffer of each poller.
	readBufferSize = 64 << 10
)

const (
	// requestTimeout limits the time from the first byte of a request to its last, and the wait for the first byte on a
	// new connection.
	requestTimeout = 30 * time.Second
	// idleTimeout is the time after which a connection without a request is closed.
	idleTimeout = 120 * time.Second
	// maxTimerDelay is the largest delay of a timer in a running process. A timer that fires later shows that the
	// process was paused, so bytes from callers may be unread.
	maxTimerDelay = 200 * time.Millisecond
	// writeTimeout is the time within which a caller must read a response.
	writeTimeout = 30 * time.Second
	// lingeringCloseTime is the time that a refused caller has to read the response, while received bytes are dropped.
	lingeringCloseTime = time.Second
	// unsentPollInterval is the time between two checks whether the kernel has accepted a whole response.
	unsentPollInterval = 20 * time.Millisecond
	// stopTimeout limits the wait for the engine when the task stops.
	stopTimeout = 5 * time.Second
)

// A Task owns the listening socket for callers and their connections.
type Task struct {
	*tree.Loop
	engine      *nbio.Engine
	listener    *listener
	inbox       *mail.Box[Message]
	answers     *mail.Box[router.Answer]
	router      *mail.Box[router.Message]
	clock       clock.Clock
	arrivalTime func(time.Time) (arrived time.Time, exact bool)
	// configured are the limits from the settings. limits are the limits in force, which pollers read.
	configured          limits
	limits              atomic.Pointer[limits]
	dialect             *header.Dialect
	acceptWhileDraining bool
	quota               *quota.Quota
	memory              *quota.Account
	openConnections     atomic.Int64
	maxConnections      int
	minBytesPerSecond   int
	limitReporter       *limit.Reporter
	// connections holds the open connections. roomMadeAt is when the task last searched them for some to give up.
	connections map[*connection]struct{}
	roomMadeAt  time.Time
	// largeBytes is the memory allocated for large bodies since the last collection that was started for them.
	largeBytes atomic.Int64
	timers     *alarm.Queue[*connection]
	// release tells which requests are idempotent.
	release *note.Release
	calls   map[call.ID]*exchange
	// answering holds the open connections with a response that the kernel has not accepted in whole, or that is still
	// to come.
	answering map[*connection]struct{}
	// drained is closed when all calls have ended and the kernel has accepted their responses. It is nil before the Drain
	// that carries it and after it was closed.
	drained chan<- struct{}
	// draining is set by the first Drain.
	draining bool
	// drainComplete is true when all calls have ended in a drain, after which the router may stop at any time.
	drainComplete bool
	writeBuffer   []byte
}

// An Option sets a property of a Task.
type Option func(*Task)

// WithMaxBody limits the size of a request body in bytes.
func WithMaxBody(n int) Option { return func(t *Task) { t.configured.maxBody = n } }

// WithMaxHeader limits the size of the header of a request in bytes.
func WithMaxHeader(n int) Option { return func(t *Task) { t.configured.maxHeader = n } }

// WithQuota sets the memory quota for all bodies, which is shared with other tasks.
func WithQuota(q *quota.Quota) Option { return func(t *Task) { t.quota = q } }

// WithMaxConnections limits the open connections.
func WithMaxConnections(n int) Option { return func(t *Task) { t.maxConnections = n } }

// WithMinBytesPerSecond sets the rate below which a request that is being received may be given up when memory or
// connections are short.
func WithMinBytesPerSecond(n int) Option { return func(t *Task) { t.minBytesPerSecond = n } }

// WithLimitReporter sets the Reporter that records when a limit is reached.
func WithLimitReporter(r *limit.Reporter) Option { return func(t *Task) { t.limitReporter = r } }

// WithRequestTimeout sets the timeout from the first byte of a request to its last, and to the end of its header.
func WithRequestTimeout(d time.Duration) Option {
	return func(t *Task) { t.configured.requestTimeout, t.configured.headerTimeout = d, d }
}

// WithIdleTimeout sets the timeout of a connection without a request.
func WithIdleTimeout(d time.Duration) Option { return func(t *Task) { t.configured.idleTimeout = d } }

// WithDialect sets the header fields used with callers.
func WithDialect(d *header.Dialect) Option { return func(t *Task) { t.dialect = d } }

// WithAcceptWhileDraining keeps accepting connections while draining, for callers that learn of the drain from
// elsewhere.
func WithAcceptWhileDraining() Option { return func(t *Task) { t.acceptWhileDraining = true } }

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(t *Task) { t.clock = c } }

// WithArrivalTimeFunc sets a function that returns, for the time at which bytes were read, the earliest time at which
// they may have arrived. exact is true if both are the same.
func WithArrivalTimeFunc(arrival func(read time.Time) (arrived time.Time, exact bool)) Option {
	return func(t *Task) { t.arrivalTime = arrival }
}

// New starts a task that listens for callers at an address. It receives messages from inbox.
func New(address netip.AddrPort, inbox *mail.Box[Message], routerInbox *mail.Box[router.Message], options ...Option) (*Task, error) {
	t := &Task{
		Loop:        tree.NewLoop(),
		inbox:       inbox,
		answers:     mail.NewBox[router.Answer](2 * maxCalls),
		router:      routerInbox,
		clock:       clock.System{},
		arrivalTime: func(read time.Time) (time.Time, bool) { return read, true },
		configured:  limits{maxBody: 8 << 20, maxHeader: 64 << 10, requestTimeout: requestTimeout, headerTimeout: requestTimeout, idleTimeout: idleTimeout},
		dialect:     header.DefaultDialect(),
		quota:       quota.New(0),
		timers:      alarm.NewQueue[*connection](),
		release:     note.NewRelease(),
		calls:       map[call.ID]*exchange{},
		answering:   map[*connection]struct{}{},
		connections: map[*connection]struct{}{},

		maxConnections: defaultMaxConnections, minBytesPerSecond: defaultMinBytesPerSecond,
		limitReporter: limit.NewReporter(func(limit.Name, int) {}),
	}
	for _, o := range options {
		o(t)
	}
	t.limits.Store(&t.configured)
	t.memory = t.quota.NewAccount()
	if err := t.listen(address); err != nil {
		return nil, errors.Annotatef(err, "listen for callers at %s", address)
	}
	go func() {
		t.Run(t.loop)
	}()
	return t, nil
}

// listen starts the engine.
func (t *Task) listen(at netip.AddrPort) error {
	t.engine = nbio.NewEngine(nbio.Config{
		Name: "callers", Network: "tcp", Addrs: []string{at.String()},
		NPoller: max(1, runtime.GOMAXPROCS(0)/4), ReadBufferSize: readBufferSize,
		Listen: func(network, address string) (net.Listener, error) {
			l, err := net.Listen(network, address)
			if err != nil {
				return nil, err
			}
			t.listener = newListener(l)
			return t.listener, nil
		},
	})
	t.engine.OnOpen(t.onOpen)
	t.engine.OnData(func(c *nbio.Conn, data []byte) {
		if conn, ok := c.Session().(*connection); ok {
			if !guard.Run("caller", func() { conn.reader.onData(data) }) {
				conn.reader.stopped = true
				_ = c.Close()
			}
			// The task was just woken and is in the run queue of this thread's P, the scheduler's processor. Next, the
			// poller blocks in a system call without releasing the P. Without the yield, the task would start only
			// after the runtime has started another thread for this P.
			runtime.Gosched()
		}
	})
	t.engine.OnClose(t.onClose)
	t.engine.OnWrittenSize(func(c *nbio.Conn, _ []byte, n int) {
		if conn, ok := c.Session().(*connection); ok {
			conn.unsentBytes.Add(-int64(n))
			conn.progressAt.Store(time.Now().UnixNano())
		}
	})
	return t.engine.Start()
}

// Addr returns the address at which the task listens.
func (t *Task) Addr() netip.AddrPort {
	return t.listener.Addr().(*net.TCPAddr).AddrPort()
}

func (t *Task) onOpen(c *nbio.Conn) {
	if open := int(t.openConnections.Add(1)); open > t.maxConnections {
		t.inbox.TryPut(roomNeeded{evict.Need{Connections: open - t.maxConnections}})
		if open > t.maxConnections+max(1, t.maxConnections/spareConnections) {
			t.limitReporter.Refused(limit.Connections)
			_ = c.Close()
			return
		}
	}
	conn := &connection{task: t, socket: c}
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		conn.address = a.AddrPort().Addr().Unmap()
	}
	conn.reader = &requestReader{task: t, connection: conn, socket: c, awaitedPart: partFirst}
	conn.progressAt.Store(time.Now().UnixNano())
	c.SetSession(conn)
	// The task reads no messages once it stops, and the engine waits for this goroutine then.
	t.inbox.Put(connectionOpened{conn}, t.Stopping())
	_ = c.SetReadDeadline(time.Now().Add(t.configured.requestTimeout))
}

// onClose runs in the goroutine that closed the connection, which may be the goroutine of the task, so it must not
// block.
func (t *Task) onClose(c *nbio.Conn, _ error) {
	t.openConnections.Add(-1)
	conn, ok := c.Session().(*connection)
	if ok {
		conn.releaseReserved()
	}
	if !ok || t.inbox.TryPut(connectionClosed{conn}) {
		return
	}
	go func() { t.post(connectionClosed{conn}) }()
}

// post sends a message to the task from another goroutine, such as a poller. It may block, since the task never waits
// for these goroutines.
func (t *Task) post(m Message) { t.inbox.Put(m, t.Done()) }

func (t *Task) loop() error {
	defer t.timers.Stop()
	defer t.memory.Close()
	for {
		select {
		case m := <-t.inbox.C():
			t.receive(m)
		case a := <-t.answers.C():
			t.deliver(a.ID, a.Outcome)
		case <-t.timers.C():
			for _, c := range t.timers.PopDue(t.clock.Now()) {
				t.handleTimer(c)
			}
		case <-t.Stopping():
			return errors.Annotate(t.stopEngine(), "stop listening for callers")
		}
	}
}

// stopEngine closes all connections and stops the engine. The engine waits until all connections are closed, but does
// not close those that it accepts while it stops, so it accepts none by then.
func (t *Task) stopEngine() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	t.listener.stopAccepting()
	select {
	case <-t.listener.idle:
	case <-ctx.Done():
		return ctx.Err()
	}
	return t.engine.Shutdown(ctx)
}

func (t *Task) receive(m Message) {
	switch m := m.(type) {
	case requestReceived:
		t.enqueue(m)
	case requestRefused:
		if m.connection.task == t && m.connection.pendingRefusal == nil {
			m.connection.pendingRefusal = &m
			t.advance(m.connection)
		}
	case continueExpected:
		m.connection.expectsContinue = true
		t.advance(m.connection)
	case connectionOpened:
		if m.connection.task == t && !m.connection.closed {
			t.connections[m.connection] = struct{}{}
		}
	case roomNeeded:
		t.makeRoom(m.need)
	case connectionClosed:
		t.handleClosed(m.connection)
	case keyIssued:
		t.deliverKey(m)
	case ReleaseChanged:
		t.release = m.Release
		l := t.configured.restrictedBy(m.Release.Limits)
		t.limits.Store(&l)
	case Drain:
		if !t.acceptWhileDraining {
			t.listener.stopAccepting()
		}
		t.draining, t.drained = true, m.Drained
		t.checkDrained()
	}
}

func (t *Task) checkDrained() {
	if t.drained == nil || len(t.answering) > 0 {
		return
	}
	close(t.drained)
	t.drained, t.drainComplete = nil, true
}
