package local

import (
	"net/netip"
	"sync"
	"time"

	"jacinthcross/internal/base/alarm"
	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/clock"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/policy/admit"
	"jacinthcross/internal/policy/crash"
	"jacinthcross/internal/policy/ledger"
	"jacinthcross/internal/policy/pause"
	"jacinthcross/internal/policy/warm"
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/wire/header"
)

// A Task owns admission to the target on its VM, the idempotency key ledger and the connections to the target.
type Task struct {
	*tree.Loop
	vm               ident.VM
	service          ident.Service
	targetAddress    netip.AddrPort
	inbox            *mail.Box[Message]
	clock            clock.Clock
	onContext        func(CallContext)
	releaseConfirmed bool
	onPause          func(time.Duration)
	onCrashEvidence  func(CrashEvidence)
	onTargetReport   func(ident.Target, call.Load)
	ledgerLimits     ledger.Limits
	bodies           *bodyReader
	dialect          *header.Dialect
	allowKeyless     bool
	fixedSlots       bool
	measureRequests  *mail.Box[measureRequest]
	onMeasure        func()
	timers           *alarm.Queue[any]
	pauseDetector    pause.Detector

	incarnation ident.Incarnation
	head        ident.Head
	release     *note.Release
	target      note.Target
	hasTarget   bool
	// evacuated is true while the release in force evacuates the data centre of the target.
	evacuated bool
	// refuseUntil is set after a long process pause. Calls that would start are refused until then, or until the release
	// is confirmed.
	refuseUntil time.Time
	draining    bool
	drained     chan<- struct{}

	gate      *admit.Gate
	coldLimit *warm.Limiter
	cold      bool // the target was cold when that was last looked at
	// targetStartedAt is when the last start of the target was observed, or zero.
	targetStartedAt time.Time
	checking        bool // a health check for coldLimit has been requested and has not ended
	coldOverage     float64
	coldSlack       float64
	ledger          *ledger.Ledger
	crashes         *crash.Table
	suspects        *crash.Registry
	crashThrottle   crash.Throttle
	// suspectsChanged is when evidence on suspects was last sent to all peers.
	suspectsChanged time.Time
	calls           map[call.ID]*activeCall
	joinedCalls     map[ledger.Key][]joinedCall
	joinedKeys      map[call.ID]ledger.Key
	held            []call.ID // calls held until the release is confirmed
	abandoned       []abandonedCall
	isolated        []call.ID // calls of suspects held until the target runs no other suspect
	callsByToken    map[string]call.ID

	connGoroutines     sync.WaitGroup
	idle               []*conn // least recently used first
	suspectedCrash     *suspectedCrash
	down               bool
	replaced           bool // the target has answered that another one has replaced it
	crashRecorded      bool // the crash that took the target down was recorded
	probing            bool
	probeDelay         time.Duration
	monitorConn        *monitorConn
	openingMonitorConn bool
	monitorClosedAt    time.Time
	monitorUntil       time.Time
	reportedDown       bool // the state in the last report to the routers
	reportedAt         time.Time
}

// These are the keys of the timer queue. A call.ID is a key as well, for the deadline of the call.
type (
	gateTimer           struct{}
	epochTimer          struct{}
	probeTimer          struct{}
	suspectedCrashTimer struct{}
	monitorTimer        struct{}
	warmTimer           struct{}
	resendTimer         struct{}
)

// An Option configures a Task.
type Option func(*Task)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(t *Task) { t.clock = c } }

// WithContextFunc sets a function that is called when an inbound call is dispatched to the target and when it ends.
func WithContextFunc(notify func(CallContext)) Option { return func(t *Task) { t.onContext = notify } }

// WithPauseFunc sets a function that is called after a process pause or a suspension of the machine, with its length.
func WithPauseFunc(notify func(time.Duration)) Option { return func(t *Task) { t.onPause = notify } }

// WithCrashEvidenceFunc sets a function that is called with evidence for peers: after a crash of the target, when
// evidence of a peer is passed on, when a peer connects, and repeatedly while there are suspects.
func WithCrashEvidenceFunc(notify func(CrashEvidence)) Option {
	return func(t *Task) { t.onCrashEvidence = notify }
}

// WithTargetReportFunc sets a function that is called when the target goes down or comes up, to inform the routers.
func WithTargetReportFunc(notify func(ident.Target, call.Load)) Option {
	return func(t *Task) { t.onTargetReport = notify }
}

// WithUnconfirmedRelease makes the task hold calls with keys until it receives ReleaseConfirmed. A daemon that has just
// started may have an old release, in which its target has not been withdrawn yet.
func WithUnconfirmedRelease() Option { return func(t *Task) { t.releaseConfirmed = false } }

// WithTarget sets the service and the address of the target beside the daemon. Without it, each target on the VM may be
// the one beside the daemon.
func WithTarget(s ident.Service, address netip.AddrPort) Option {
	return func(t *Task) { t.service, t.targetAddress = s, address }
}

// WithDialect sets the header fields used with the target.
func WithDialect(d *header.Dialect) Option { return func(t *Task) { t.dialect = d } }

// WithDeclaredSlots makes the task derive the limit of concurrent calls from the declared slots of the target instead of
// its latency (see admit.WithDeclaredSlots).
func WithDeclaredSlots() Option { return func(t *Task) { t.fixedSlots = true } }

// WithMeasurementFunc sets a function that is called for each measurement of the target's load.
func WithMeasurementFunc(notify func()) Option { return func(t *Task) { t.onMeasure = notify } }

// WithoutInternalKeys allows non-idempotent calls without a key, for routers that create no internal keys (see
// router.WithoutInternalKeys).
func WithoutInternalKeys() Option { return func(t *Task) { t.allowKeyless = true } }

// WithLedgerLimits sets the limits of the idempotency key ledger.
func WithLedgerLimits(l ledger.Limits) Option { return func(t *Task) { t.ledgerLimits = l } }

// WithColdBound sets the number of requests that the platform allows a cold target in a second: the rate that it tolerates
// (note.Service.ColdRate) times overage, plus slack.
func WithColdBound(overage, slack float64) Option {
	return func(t *Task) { t.coldOverage, t.coldSlack = overage, slack }
}

// WithMaxBody limits the size of a response body in bytes.
func WithMaxBody(n int) Option { return func(t *Task) { t.bodies = newBodyReader(n) } }

// New starts a task for the target on a VM. It receives messages from inbox.
func New(vm ident.VM, inbox *mail.Box[Message], options ...Option) (*Task, error) {
	t := &Task{
		releaseConfirmed: true,
		Loop:             tree.NewLoop(),
		vm:               vm,
		inbox:            inbox,
		clock:            clock.System{},
		onContext:        func(CallContext) {},
		onPause:          func(time.Duration) {},
		onCrashEvidence:  func(CrashEvidence) {},
		onTargetReport:   func(ident.Target, call.Load) {},
		coldOverage:      1,
		ledgerLimits:     ledger.Limits{EpochLength: 5 * time.Minute, MaxEntries: 100_000, MaxBytes: 16 << 20},
		bodies:           newBodyReader(8 << 20),
		dialect:          header.DefaultDialect(),
		measureRequests:  mail.NewBox[measureRequest](1),
		onMeasure:        func() {},
		timers:           alarm.NewQueue[any](),
		incarnation:      ident.NewIncarnation(),
		release:          note.NewRelease(),
		crashes:          crash.NewTable(),
		suspects:         crash.NewRegistry(),
		calls:            map[call.ID]*activeCall{},
		joinedCalls:      map[ledger.Key][]joinedCall{},
		joinedKeys:       map[call.ID]ledger.Key{},
		callsByToken:     map[string]call.ID{},
	}
	for _, o := range options {
		o(t)
	}
	t.coldLimit = warm.New(warm.WithBound(t.coldOverage, t.coldSlack))
	t.pauseDetector = pause.NewDetector(t.clock.Now())
	go func() {
		t.Run(t.loop)
	}()
	return t, nil
}

func (t *Task) loop() error {
	defer t.timers.Stop()
	defer t.closeConns()
	startLoadClient(t.measureRequests, t.dialect, t.inbox, t.Done())
	ticker := time.NewTicker(pause.TickInterval)
	defer ticker.Stop()
	for {
		select {
		case m := <-t.inbox.C():
			t.checkPause()
			t.receive(m)
		case <-t.timers.C():
			t.checkPause()
			t.handleTimers()
		case <-ticker.C:
			t.checkPause()
			t.closeIdle(t.clock.Now().Add(-idleTimeout))
		case <-t.Stopping():
			return nil
		}
	}
}

// checkPause detects a process pause, so that no decision is based on state from before the pause.
func (t *Task) checkPause() {
	now := t.clock.Now()
	gap, paused := t.pauseDetector.RecordRun(now)
	if !paused {
		return
	}
	t.onPause(gap)
	// The target may have closed idle connections during the pause, and the messages about it may still be unread.
	t.closeIdle(now)
	t.distrustRelease(gap, now)
	t.coldLimit.Recheck()
	if t.gate != nil {
		t.ledger.AdvanceEpoch(now)
		t.advanceGate(now)
	}
}

// handleSuspension refuses the queued calls after a suspension of the machine. The monotonic clock does not advance
// during the suspension, so most of them have expired although their deadlines have not passed on that clock.
func (t *Task) handleSuspension(d time.Duration) {
	t.onPause(d)
	now := t.clock.Now()
	t.closeIdle(now)
	t.distrustRelease(d, now)
	t.coldLimit.Recheck()
	t.refuseQueued(errs.Busy)
}

func (t *Task) receive(m Message) {
	switch m := m.(type) {
	case Run:
		t.handleRun(m)
	case Cancel:
		t.handleCancel(m.ID)
	case BodyReceived:
		t.handleBodyReceived(m)
	case BodyFailed:
		t.handleBodyFailed(m)
	case callResult:
		t.handleResult(m)
	case connClosed:
		t.handleConnClosed(m.conn)
	case measurement:
		t.handleMeasurement(m)
	case probeResult:
		t.handleProbe(m, t.clock.Now())
	case monitorConnOpened:
		t.handleMonitorConnOpened(m.conn, t.clock.Now())
	case monitorConnClosed:
		t.handleMonitorConnClosed(m.conn, t.clock.Now())
	case ReleaseConfirmed:
		t.refuseUntil = time.Time{}
		t.admitHeld()
	case PeerCrashReports:
		t.handlePeerCrashReports(m)
	case PeerConnected:
		t.handlePeerConnected(m.Peer)
	case LoadRequest:
		m.Reply.TryPut(t.load())
	case ReleaseChanged:
		t.setRelease(m.Release)
	case RetryUsed:
		if r, ok := t.calls[t.callsByToken[m.Token]]; ok {
			r.retries++
		}
	case MachineSuspended:
		t.handleSuspension(m.Duration)
	case Drain:
		t.draining, t.drained = true, m.Drained
		t.refuseQueued(errs.Draining)
		t.checkDrained()
	}
}

func (t *Task) handleTimers() {
	now := t.clock.Now()
	for _, k := range t.timers.PopDue(now) {
		switch k := k.(type) {
		case gateTimer:
			t.advanceGate(now)
		case epochTimer:
			t.ledger.AdvanceEpoch(now)
			t.timers.Set(epochTimer{}, now.Add(t.ledgerLimits.EpochLength))
		case probeTimer:
			t.probeConnection()
		case suspectedCrashTimer:
			if t.suspectedCrash != nil {
				t.resolveSuspectedCrash(now)
			}
		case monitorTimer:
			t.ensureMonitorConn(now)
		case warmTimer:
			t.noteColdState(now)
		case resendTimer:
			t.resendSuspects(now)
		case call.ID:
			t.handleDeadline(k)
		}
	}
}

// maxSlownessAge is the maximum age of the slowness in a load report. The slowness is how many times longer than usual
// the target takes for a call now: 1 is usual, and 0 is unknown. Slow periods of a VM last about 100 ms.
const maxSlownessAge = 20 * time.Millisecond

func (t *Task) load() call.Load {
	l := call.Load{Incarnation: t.incarnation, Head: t.head, Draining: t.draining, Down: t.hasTarget && t.down}
	if t.gate != nil {
		l.UntilWarm = t.coldLimit.UntilWarm(t.clock.Now())
		l.InFlight, l.Queued, l.Limit = t.gate.InFlight(), t.gate.Queued(), t.gate.Limit()
		l.QueueDelay, l.Latency = t.gate.QueueDelay(), t.gate.MeanServiceTime()
		l.Epoch = t.ledger.Epoch()
		if slowness, at := t.gate.Slowness(); t.clock.Now().Sub(at) <= maxSlownessAge {
			l.Slowness, l.ExpectedSlowDuration = float32(slowness), t.gate.ExpectedSlowDuration(t.clock.Now())
		}
	}
	return l
}

func (t *Task) checkDrained() {
	if t.draining && len(t.calls) == 0 && t.drained != nil {
		close(t.drained)
		t.drained = nil
	}
}
