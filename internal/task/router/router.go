package router

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"jacinthcross/internal/base/alarm"
	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/clock"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/base/meter"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/policy/place"
	"jacinthcross/internal/policy/retry"
	"jacinthcross/internal/policy/route"
	"jacinthcross/internal/policy/split"
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/task/links"
	"jacinthcross/internal/task/local"
)

// A Task owns the routing state of the daemon and the calls that entered here.
type Task struct {
	*tree.Loop
	vm         ident.VM
	dataCentre ident.DataCentre
	region     ident.Region
	inbox      *mail.Box[Message]
	results    *mail.Box[call.Result]
	local      *mail.Box[local.Message]
	links      *mail.Box[links.Message]
	clock      clock.Clock
	meter      *meter.Meter
	profile    route.Profile
	headSeen   func(ident.Head, netip.AddrPort)
	maxCalls   int
	alarms     *alarm.Queue[wakeup]
	release    *note.Release
	tables     map[ident.Service]*route.Table
	latencies  map[ident.Service]*retry.Latency
	budget     *route.Budget
	retries    *retry.Policy
	shares     *retry.Shares
	splits     *split.Splitter
	costs      place.Costs
	returns    *place.Returns
	random     *rand.Rand
	origin     ident.Service
	keyless    bool
	calls      map[call.ID]*pending
	attempts   map[call.ID]*attempt
	contexts   map[string]*local.Context
	waits      map[ident.Target][]waiter
	asking     map[ident.Target]bool
	peers      map[ident.VM]PeerState
	// held are the new calls that wait after a pause until resume.
	held   []Submit
	resume time.Time
	// paused is when the last pause ended.
	paused time.Time
}

// An Option sets a property of a Task.
type Option func(*Task)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(t *Task) { t.clock = c } }

// WithMeter sets the meter that counts calls, refusals, retries, hedges and probes.
func WithMeter(m *meter.Meter) Option { return func(t *Task) { t.meter = m } }

// WithHeads sets what is called with the head that a peer reports with a load, when it is higher than the own.
func WithHeads(seen func(ident.Head, netip.AddrPort)) Option {
	return func(t *Task) { t.headSeen = seen }
}

// WithProfile sets the settings profile of the routing.
func WithProfile(p route.Profile) Option { return func(t *Task) { t.profile = p } }

// WithRegion sets the region of the daemon, whose targets are preferred among those of other data centres.
func WithRegion(r ident.Region) Option { return func(t *Task) { t.region = r } }

// WithOrigin sets the service of the target on the own VM, from which the calls come.
func WithOrigin(s ident.Service) Option { return func(t *Task) { t.origin = s } }

// WithoutKeys sends non-idempotent calls without internal keys: an attempt with an unknown outcome is never joined again.
func WithoutKeys() Option { return func(t *Task) { t.keyless = true } }

// WithRetryBound makes the platform's bound the budget of all retries.
func WithRetryBound(b retry.Bound) Option {
	return func(t *Task) {
		t.shares = retry.NewShares(b, t.clock.Now())
		t.retries = retry.NewPolicy(retry.WithShares(t.shares))
	}
}

// WithMaxCalls bounds the calls that have no outcome yet.
func WithMaxCalls(n int) Option { return func(t *Task) { t.maxCalls = n } }

// A Config names the daemon and the mailboxes of the tasks that the router talks to.
type Config struct {
	VM         ident.VM
	DataCentre ident.DataCentre
	Inbox      *mail.Box[Message]
	Local      *mail.Box[local.Message]
	Links      *mail.Box[links.Message]
}

const (
	// resultMailbox bounds the results that wait for the router. Senders wait when it is full.
	resultMailbox = 1024
	// defaultMaxCalls bounds the pending calls. 500 calls/s of a daemon with 2 s each are 1,000.
	defaultMaxCalls = 8192
)

// New starts the task.
func New(config Config, options ...Option) *Task {
	t := newTask(config, options...)
	go func() {
		t.Run(t.loop)
	}()
	return t
}

func newTask(config Config, options ...Option) *Task {
	t := &Task{
		headSeen:   func(ident.Head, netip.AddrPort) {},
		Loop:       tree.NewLoop(),
		vm:         config.VM,
		dataCentre: config.DataCentre,
		inbox:      config.Inbox,
		results:    mail.NewBox[call.Result](resultMailbox),
		local:      config.Local,
		links:      config.Links,
		clock:      clock.System{},
		profile:    route.Tail,
		maxCalls:   defaultMaxCalls,
		alarms:     alarm.NewQueue[wakeup](),
		release:    note.NewRelease(),
		tables:     map[ident.Service]*route.Table{},
		latencies:  map[ident.Service]*retry.Latency{},
		retries:    retry.NewPolicy(),
		splits:     split.New(),
		costs:      place.Costs{},
		returns:    place.NewReturns(),
		random:     rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		calls:      map[call.ID]*pending{},
		attempts:   map[call.ID]*attempt{},
		contexts:   map[string]*local.Context{},
		waits:      map[ident.Target][]waiter{},
		asking:     map[ident.Target]bool{},
		peers:      map[ident.VM]PeerState{},
	}
	for _, o := range options {
		o(t)
	}
	t.budget = route.NewBudget(t.profile)
	return t
}

func (t *Task) loop() error {
	defer t.alarms.Stop()
	defer t.answerAll()
	for {
		select {
		case m := <-t.inbox.C():
			t.receive(m)
		case r := <-t.results.C():
			t.finish(r)
		case <-t.alarms.C():
			for _, w := range t.alarms.Due(t.clock.Now()) {
				t.wake(w)
			}
		case <-t.Stopping():
			return nil
		}
	}
}

func (t *Task) receive(m Message) {
	switch m := m.(type) {
	case Submit:
		t.submit(m)
	case Cancel:
		t.cancel(m.ID)
	case IssueKey:
		t.issue(m, nil)
	case ReleaseChanged:
		t.setRelease(m.Release)
	case ContextChanged:
		t.setContext(m.Context)
	case PeerDraining:
		t.setPeer(m.VM, PeerIsDraining)
	case PeerDown:
		t.setPeer(m.VM, PeerIsDown)
	case PeerUp:
		t.setPeer(m.VM, PeerIsUp)
	case TargetReported:
		t.targetReported(m)
	case Paused:
		t.pause()
	case Confirmed:
		t.unhold()
	case loadKnown:
		t.loadArrived(m)
	case loadUnknown:
		t.loadFailed(m)
	case StatusAsk:
		m.Reply.TryPut(t.status())
	}
}

// A wakeup is what an alarm is for: deadline, again, hedge or resume.
type wakeup interface{ wakeup() }

type (
	// deadline ends a call.
	deadline struct{ id call.ID }
	// again sends the next attempt of a call.
	again struct{ id call.ID }
	// hedge sends a second attempt of a slow read.
	hedge struct{ id call.ID }
	// resume ends the wait after a pause.
	resume struct{}
)

func (deadline) wakeup() {}
func (again) wakeup()    {}
func (hedge) wakeup()    {}
func (resume) wakeup()   {}

func (t *Task) wake(w wakeup) {
	switch w := w.(type) {
	case deadline:
		t.expire(w.id)
	case again:
		t.again(w.id)
	case hedge:
		t.hedge(w.id)
	case resume:
		t.unhold()
	}
}
