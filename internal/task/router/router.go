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
	"jacinthcross/internal/policy/crash"
	"jacinthcross/internal/policy/place"
	"jacinthcross/internal/policy/retry"
	"jacinthcross/internal/policy/route"
	"jacinthcross/internal/policy/shed"
	"jacinthcross/internal/policy/split"
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/task/dialer"
	"jacinthcross/internal/task/local"
)

// A Task holds the routing state of the daemon and the calls that entered the system at this daemon.
type Task struct {
	*tree.Loop
	vm               ident.VM
	dataCentre       ident.DataCentre
	region           ident.Region
	inbox            *mail.Box[Message]
	results          *mail.Box[call.Result]
	local            *mail.Box[local.Message]
	dialer           *mail.Box[dialer.Message]
	clock            clock.Clock
	meter            *meter.Meter
	profile          route.Profile
	onNewerRelease   func(ident.Head, netip.AddrPort)
	maxCalls         int
	timers           *alarm.Queue[timer]
	release          *note.Release
	tables           map[ident.Service]*route.Table
	serviceLatencies map[ident.Service]*retry.LatencyWindow
	probeBudget      *route.ProbeBudget
	retryPolicy      *retry.Policy
	platformBudget   *retry.PlatformBudget
	shedding         shed.Mode
	splits           *split.Splitter
	routeLatencies   place.Latencies
	routeSizes       place.Sizes
	refusedRequests  *place.RefusedRequests
	suspects         *crash.Registry
	random           *rand.Rand
	// origin is the service of the target on the daemon's own VM.
	origin ident.Service
	// keyless is set by WithoutInternalKeys. All calls without a key are then sent by sendKeyless, redirected if a daemon
	// refuses them, and not hedged.
	keyless       bool
	calls         map[call.ID]*pendingCall
	attempts      map[call.ID]*attempt
	contexts      map[string]*local.CallContext
	loadWaiters   map[ident.Target][]waiter
	loadRequested map[ident.Target]bool
	peers         map[ident.VM]PeerAvailability
	// heldCalls are the new calls that wait after a process pause or for the first release, until holdUntil at the latest.
	heldCalls []Submit
	holdUntil time.Time
	// awaitingRelease is true while calls are held for the first release.
	awaitingRelease bool
	// drainUntil is when all calls have to be answered in a planned stop, or zero before it.
	drainUntil time.Time
	// pauseEnded is when the last process pause ended.
	pauseEnded time.Time
}

// An Option sets a property of a Task.
type Option func(*Task)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(t *Task) { t.clock = c } }

// WithMeter sets the meter that counts calls, refusals, retries, hedges and probes.
func WithMeter(m *meter.Meter) Option { return func(t *Task) { t.meter = m } }

// WithNewerReleaseFunc sets a function that is called when the load report of a peer names a newer release than the one
// in force. It gets the head of that release and the address of the peer.
func WithNewerReleaseFunc(notify func(ident.Head, netip.AddrPort)) Option {
	return func(t *Task) { t.onNewerRelease = notify }
}

// WithProfile sets the routing profile.
func WithProfile(p route.Profile) Option { return func(t *Task) { t.profile = p } }

// WithRegion sets the region of the daemon. Among targets in other data centres, targets in this region are preferred.
func WithRegion(r ident.Region) Option { return func(t *Task) { t.region = r } }

// WithOrigin sets the service of the target on the daemon's own VM, which is the origin of the calls.
func WithOrigin(s ident.Service) Option { return func(t *Task) { t.origin = s } }

// WithoutInternalKeys makes the router send non-idempotent calls without internal keys. An internal key is an
// idempotency key that the router creates for a non-idempotent call whose caller sent none. With it, the call can be
// sent again to the same target without a second run. Without it, an attempt with an unknown outcome cannot be
// reattached. The option also concerns idempotent calls: calls without a key are redirected if the daemon beside the
// target refuses them, and they are not hedged.
func WithoutInternalKeys() Option { return func(t *Task) { t.keyless = true } }

// WithRetryLimit replaces the retry budget with the platform's limit on retries, which calls share according to mode. It
// reads the clock, so it must follow WithClock.
func WithRetryLimit(l retry.PlatformLimit, mode shed.Mode) Option {
	return func(t *Task) {
		t.shedding = mode
		t.platformBudget = retry.NewPlatformBudget(l, t.clock.Now())
		t.retryPolicy = retry.NewPolicy(retry.WithPlatformBudget(t.platformBudget), retry.WithShedding(mode))
	}
}

// WithStartHold makes the router hold calls that arrive before it has a release with services, for at most maxStartHold
// after its start. It reads the clock, so it must follow WithClock.
func WithStartHold() Option {
	return func(t *Task) {
		t.awaitingRelease = true
		t.holdUntil = t.clock.Now().Add(maxStartHold)
		t.timers.Set(resumeTimer{}, t.holdUntil)
	}
}

// WithMaxCalls bounds the calls that have no outcome yet.
func WithMaxCalls(n int) Option { return func(t *Task) { t.maxCalls = n } }

// A Config names the daemon and the mailboxes of the tasks that the router communicates with.
type Config struct {
	VM         ident.VM
	DataCentre ident.DataCentre
	Inbox      *mail.Box[Message]
	Local      *mail.Box[local.Message]
	Dialer     *mail.Box[dialer.Message]
}

const (
	// resultMailboxSize bounds the results that the router has not processed yet. Senders block when it is full.
	resultMailboxSize = 1024
	// defaultMaxCalls bounds the pending calls. 500 calls/s at 2 s each amount to 1,000 pending calls.
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
		onNewerRelease:   func(ident.Head, netip.AddrPort) {},
		Loop:             tree.NewLoop(),
		vm:               config.VM,
		dataCentre:       config.DataCentre,
		inbox:            config.Inbox,
		results:          mail.NewBox[call.Result](resultMailboxSize),
		local:            config.Local,
		dialer:           config.Dialer,
		clock:            clock.System{},
		profile:          route.ProfileTail,
		maxCalls:         defaultMaxCalls,
		timers:           alarm.NewQueue[timer](),
		release:          note.NewRelease(),
		tables:           map[ident.Service]*route.Table{},
		serviceLatencies: map[ident.Service]*retry.LatencyWindow{},
		retryPolicy:      retry.NewPolicy(),
		splits:           split.New(),
		routeLatencies:   place.Latencies{},
		routeSizes:       place.Sizes{},
		refusedRequests:  place.NewRefusedRequests(),
		suspects:         crash.NewRegistry(),
		random:           rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		calls:            map[call.ID]*pendingCall{},
		attempts:         map[call.ID]*attempt{},
		contexts:         map[string]*local.CallContext{},
		loadWaiters:      map[ident.Target][]waiter{},
		loadRequested:    map[ident.Target]bool{},
		peers:            map[ident.VM]PeerAvailability{},
	}
	for _, o := range options {
		o(t)
	}
	t.probeBudget = route.NewProbeBudget(t.profile)
	return t
}

func (t *Task) loop() error {
	defer t.timers.Stop()
	defer t.concludeAll()
	for {
		select {
		case m := <-t.inbox.C():
			t.receive(m)
		case r := <-t.results.C():
			t.handleResult(r)
		case <-t.timers.C():
			for _, w := range t.timers.PopDue(t.clock.Now()) {
				t.handleTimer(w)
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
		t.issueKey(m, nil)
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
		t.handleTargetReport(m)
	case CrashesCounted:
		t.suspects.Merge(m.Tallies, func(ident.Service, ident.Digest) bool { return false }, t.clock.Now())
	case ProcessResumed:
		t.handleResumed()
	case ReleaseConfirmed:
		t.submitHeld()
	case Drain:
		t.drain(m)
	case loadReport:
		t.handleLoadReport(m)
	case loadFailure:
		t.handleLoadFailure(m)
	case StatusRequest:
		m.Reply.TryPut(t.status())
	}
}

// A timer is the value of an entry in the timer queue: deadlineTimer, retryTimer, hedgeTimer or resumeTimer.
type timer interface{ timer() }

type (
	// deadlineTimer ends a call at its deadline.
	deadlineTimer struct{ id call.ID }
	// retryTimer sends the delayed next attempt of a call.
	retryTimer struct{ id call.ID }
	// hedgeTimer sends a second attempt of a slow read.
	hedgeTimer struct{ id call.ID }
	// resumeTimer submits the calls that were held after a process pause or for the first release.
	resumeTimer struct{}
)

func (deadlineTimer) timer() {}
func (retryTimer) timer()    {}
func (hedgeTimer) timer()    {}
func (resumeTimer) timer()   {}

func (t *Task) handleTimer(w timer) {
	switch w := w.(type) {
	case deadlineTimer:
		t.expire(w.id)
	case retryTimer:
		t.sendDelayed(w.id)
	case hedgeTimer:
		t.sendHedge(w.id)
	case resumeTimer:
		t.submitHeld()
	}
}
