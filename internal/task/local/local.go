package local

import (
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
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/wire/header"
)

// A Task owns the admission to the target on its VM, the ledger of keys and the target connections.
type Task struct {
	*tree.Loop
	vm        ident.VM
	inbox     *mail.Box[Message]
	clock     clock.Clock
	notify    func(Context)
	confirmed bool
	onPause   func(time.Duration)
	onBlame   func(ident.Service, []crash.Blame)
	onHealth  func(ident.Target, call.Load)
	limits    ledger.Limits
	maxBody   int
	dialect   *header.Dialect
	keyless   bool
	fixed     bool
	senses    *mail.Box[sense]
	measured  func()
	alarms    *alarm.Queue[any]
	pauses    pause.Detector

	self     ident.Incarnation
	head     ident.Head
	target   note.Target
	present  bool
	draining bool
	empty    chan<- struct{}

	gate    *admit.Gate
	ledger  *ledger.Ledger
	crashes *crash.Table
	runs    map[call.ID]*run
	waiters map[ledger.Key][]waiter
	joined  map[call.ID]ledger.Key
	held    []call.ID // calls that wait for the confirmation
	tokens  map[string]call.ID

	open         sync.WaitGroup // goroutines of connections
	idle         []*conn        // least recently used first
	suspicion    *suspicion
	down         bool
	replaced     bool // another target answers at the address
	blamed       bool // the crash that took the target down was blamed
	probing      bool
	probeDelay   time.Duration
	monitor      *monitor
	opening      bool // a monitor is being opened
	monitorEnd   time.Time
	monitorUntil time.Time
	told         bool // the last report to the routers said that the target is down
	toldAt       time.Time
}

// The keys of the alarm queue besides the ID of a call, whose deadline it is.
type (
	gateAlarm    struct{}
	epochAlarm   struct{}
	probeAlarm   struct{}
	settleAlarm  struct{}
	monitorAlarm struct{}
)

// An Option sets a property of a Task.
type Option func(*Task)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(t *Task) { t.clock = c } }

// WithContexts sets what is called when an inbound call begins and ends on the target.
func WithContexts(notify func(Context)) Option { return func(t *Task) { t.notify = notify } }

// WithPause sets what is called after the process was stopped for a while.
func WithPause(notify func(time.Duration)) Option { return func(t *Task) { t.onPause = notify } }

// WithBlame sets what is called with the blame of requests after a crash of the target, for the peers of its service.
func WithBlame(notify func(ident.Service, []crash.Blame)) Option {
	return func(t *Task) { t.onBlame = notify }
}

// WithTargetReports sets what is called when the target stops or begins to accept connections, for the routers.
func WithTargetReports(notify func(ident.Target, call.Load)) Option {
	return func(t *Task) { t.onHealth = notify }
}

// WithConfirmation makes the task hold keyed calls until Confirmed says that the release was compared with
// peers: a daemon that has just started may hold an old release, in which its target is not withdrawn yet.
func WithConfirmation() Option { return func(t *Task) { t.confirmed = false } }

// WithDialect sets the header fields that the target uses.
func WithDialect(d *header.Dialect) Option { return func(t *Task) { t.dialect = d } }

// WithFixedSlots makes the task trust the slots of the release and the slowness that the target tells.
func WithFixedSlots() Option { return func(t *Task) { t.fixed = true } }

// WithMeasurements sets what is called with each measurement of the target's load.
func WithMeasurements(count func()) Option { return func(t *Task) { t.measured = count } }

// WithoutKeys takes non-idempotent calls without a key.
func WithoutKeys() Option { return func(t *Task) { t.keyless = true } }

// WithLedgerLimits bounds the ledger of keys.
func WithLedgerLimits(l ledger.Limits) Option { return func(t *Task) { t.limits = l } }

// WithMaxBody bounds the size of an answer in bytes.
func WithMaxBody(n int) Option { return func(t *Task) { t.maxBody = n } }

// New starts the task for the VM. It reads from inbox.
func New(vm ident.VM, inbox *mail.Box[Message], options ...Option) (*Task, error) {
	t := &Task{
		confirmed: true,
		Loop:      tree.NewLoop(),
		vm:        vm,
		inbox:     inbox,
		clock:     clock.System{},
		notify:    func(Context) {},
		onPause:   func(time.Duration) {},
		onBlame:   func(ident.Service, []crash.Blame) {},
		onHealth:  func(ident.Target, call.Load) {},
		limits:    ledger.Limits{EpochLength: 5 * time.Minute, MaxEntries: 100_000, MaxBytes: 16 << 20},
		maxBody:   8 << 20,
		dialect:   header.Own(),
		senses:    mail.NewBox[sense](1),
		measured:  func() {},
		alarms:    alarm.NewQueue[any](),
		self:      ident.NewIncarnation(),
		crashes:   crash.NewTable(),
		runs:      map[call.ID]*run{},
		waiters:   map[ledger.Key][]waiter{},
		joined:    map[call.ID]ledger.Key{},
		tokens:    map[string]call.ID{},
	}
	for _, o := range options {
		o(t)
	}
	t.pauses = pause.NewDetector(t.clock.Now())
	go func() {
		t.Run(t.loop)
	}()
	return t, nil
}

func (t *Task) loop() error {
	defer t.alarms.Stop()
	defer t.closeAll()
	newSensor(t.senses, t.dialect, t.inbox, t.Done())
	ticker := time.NewTicker(pause.Interval)
	defer ticker.Stop()
	for {
		select {
		case m := <-t.inbox.C():
			t.observe()
			t.receive(m)
		case <-t.alarms.C():
			t.observe()
			t.wake()
		case <-ticker.C:
			t.observe()
			t.closeIdle(t.clock.Now().Add(-idleLimit))
		case <-t.Stopping():
			return nil
		}
	}
}

// observe checks for a pause before anything is decided on what was true before it.
func (t *Task) observe() {
	now := t.clock.Now()
	gap, paused := t.pauses.Seen(now)
	if !paused {
		return
	}
	t.onPause(gap)
	// Idle connections may have been closed meanwhile, without a message about it yet.
	t.closeIdle(now)
	if t.gate != nil {
		t.ledger.Advance(now)
		t.advanceGate(now)
	}
}

// slept gives back the calls that waited while the machine was suspended: their times do not count it, so that most
// of them have expired unseen.
func (t *Task) slept(d time.Duration) {
	t.onPause(d)
	t.closeIdle(t.clock.Now())
	t.flush(errs.Busy)
}

func (t *Task) receive(m Message) {
	switch m := m.(type) {
	case Run:
		t.arrive(m)
	case Cancel:
		t.cancel(m.ID)
	case completed:
		t.complete(m)
	case lost:
		t.lose(m.conn)
	case sensed:
		t.sense(m)
	case probed:
		t.probed(m, t.clock.Now())
	case monitorOpened:
		t.monitorReady(m.monitor, t.clock.Now())
	case monitorLost:
		t.loseMonitor(m.monitor, t.clock.Now())
	case Confirmed:
		t.confirm()
	case Blamed:
		if m.Service == t.target.Service {
			t.crashes.Merge(m.From, m.Entries, t.clock.Now())
		}
	case LoadAsk:
		m.Reply.TryPut(t.load())
	case ReleaseChanged:
		t.setRelease(m.Release)
	case RetrySpent:
		if r, ok := t.runs[t.tokens[m.Token]]; ok {
			r.retries++
		}
	case Suspended:
		t.slept(m.For)
	case Drain:
		t.draining, t.empty = true, m.Empty
		t.flush(errs.Draining)
		t.checkEmpty()
	}
}

func (t *Task) wake() {
	now := t.clock.Now()
	for _, k := range t.alarms.Due(now) {
		switch k := k.(type) {
		case gateAlarm:
			t.advanceGate(now)
		case epochAlarm:
			t.ledger.Advance(now)
			t.alarms.Set(epochAlarm{}, now.Add(t.limits.EpochLength))
		case probeAlarm:
			t.probe()
		case settleAlarm:
			if t.suspicion != nil {
				t.resolve(now)
			}
		case monitorAlarm:
			t.ensureMonitor(now)
		case call.ID:
			t.expire(k)
		}
	}
}

// reportSlowness is how old the slowness in a report may be. Spells of a slow VM last about a tenth of a second.
const reportSlowness = 20 * time.Millisecond

func (t *Task) load() call.Load {
	l := call.Load{Incarnation: t.self, Head: t.head, Draining: t.draining, Down: t.present && t.down}
	if t.gate != nil {
		l.InFlight, l.Queued, l.Limit = t.gate.InFlight(), t.gate.Queued(), t.gate.Limit()
		l.QueueDelay, l.Latency = t.gate.QueueDelay(), t.gate.Latency()
		l.Epoch = t.ledger.Epoch()
		if slowness, at := t.gate.Slowness(); t.clock.Now().Sub(at) <= reportSlowness {
			l.Slowness, l.SlowFor = float32(slowness), t.gate.SlowFor(t.clock.Now())
		}
	}
	return l
}

func (t *Task) checkEmpty() {
	if t.draining && len(t.runs) == 0 && t.empty != nil {
		close(t.empty)
		t.empty = nil
	}
}
