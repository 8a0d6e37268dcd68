package local

import (
	"jacinthcross/internal/base/alarm"
	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/clock"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/policy/admit"
	"jacinthcross/internal/policy/ledger"
	"jacinthcross/internal/super/tree"
	"time"

	"github.com/juju/errors"
	"github.com/lesismal/nbio/nbhttp"
)

// A Task owns the admission to the target on its VM, the ledger of keys and the target connections.
type Task struct {
	*tree.Loop
	vm       ident.VM
	inbox    *mail.Box[Message]
	clock    clock.Clock
	notify   func(Context)
	limits   ledger.Limits
	maxBody  int
	engine   *nbhttp.Engine
	alarms   *alarm.Queue[any]
	self     ident.Incarnation
	head     ident.Head
	target   note.Target
	present  bool
	gate     *admit.Gate
	ledger   *ledger.Ledger
	runs     map[call.ID]*run
	waiters  map[ledger.Key][]waiter
	tokens   map[string]call.ID
	idle     []*conn
	empty    chan<- struct{}
	draining bool
}

type run struct {
	Run
	key     ledger.Key
	keyed   bool
	conn    *conn
	started time.Time
	token   string
	retries int
}

type waiter struct {
	id    call.ID
	reply *mail.Box[call.Result]
}

// The keys of the alarm queue besides the ID of a call, whose deadline it is.
type (
	gateAlarm  struct{}
	epochAlarm struct{}
)

// An Option sets a property of a Task.
type Option func(*Task)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(t *Task) { t.clock = c } }

// WithContexts sets what is called when an inbound call begins and ends on the target.
func WithContexts(notify func(Context)) Option { return func(t *Task) { t.notify = notify } }

// WithLedgerLimits bounds the ledger of keys.
func WithLedgerLimits(l ledger.Limits) Option { return func(t *Task) { t.limits = l } }

// WithMaxBody bounds the size of an answer in bytes.
func WithMaxBody(n int) Option { return func(t *Task) { t.maxBody = n } }

// New starts the task for the VM. It reads from inbox.
func New(vm ident.VM, inbox *mail.Box[Message], options ...Option) (*Task, error) {
	t := &Task{
		Loop:    tree.NewLoop(),
		vm:      vm,
		inbox:   inbox,
		clock:   clock.System{},
		notify:  func(Context) {},
		limits:  ledger.Limits{EpochLength: 5 * time.Minute, MaxEntries: 100_000, MaxBytes: 16 << 20},
		maxBody: 8 << 20,
		engine:  nbhttp.NewEngine(nbhttp.Config{Name: "target", NPoller: 1}),
		alarms:  alarm.NewQueue[any](),
		self:    ident.NewIncarnation(),
		runs:    map[call.ID]*run{},
		waiters: map[ledger.Key][]waiter{},
		tokens:  map[string]call.ID{},
	}
	for _, o := range options {
		o(t)
	}
	if err := t.engine.Start(); err != nil {
		return nil, errors.Annotate(err, "start the engine of target connections")
	}
	go func() {
		t.Run(t.loop)
	}()
	return t, nil
}

func (t *Task) loop() error {
	defer t.engine.Stop()
	defer t.alarms.Stop()
	for {
		select {
		case m := <-t.inbox.C():
			t.receive(m)
		case <-t.alarms.C():
			t.wake()
		case <-t.Stopping():
			return nil
		}
	}
}

func (t *Task) receive(m Message) {
	switch m := m.(type) {
	case Run:
		t.arrive(m)
	case Cancel:
		t.cancel(m.ID)
	case completed:
		t.complete(m)
	case LoadAsk:
		m.Reply.TryPut(t.load())
	case ReleaseChanged:
		t.setRelease(m.Release)
	case RetrySpent:
		if r, ok := t.runs[t.tokens[m.Token]]; ok {
			r.retries++
		}
	case Drain:
		t.draining, t.empty = true, m.Empty
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
		case call.ID:
			t.expire(k)
		}
	}
}

func (t *Task) setRelease(r *note.Release) {
	t.head = r.Head
	target, ok := r.TargetOn(t.vm)
	switch {
	case ok && (!t.present || target.Name != t.target.Name):
		event.TargetAdded.Log("target", target.Name, "address", target.Address)
		now := t.clock.Now()
		t.gate = admit.NewGate(target.Slots)
		t.ledger = ledger.New(target.Name, t.self, t.limits, now)
		t.alarms.Set(epochAlarm{}, now.Add(t.limits.EpochLength))
	case !ok && t.present:
		event.TargetWithdrawn.Log("target", t.target.Name)
	}
	if ok {
		if target.Address != t.target.Address {
			t.closeIdle()
		}
		t.target = target
		t.gate.SetSlots(target.Slots)
	}
	t.present = ok
}

func (t *Task) closeIdle() {
	for _, c := range t.idle {
		c.close()
	}
	t.idle = nil
}

func (t *Task) load() call.Load {
	l := call.Load{Incarnation: t.self, Head: t.head, Draining: t.draining}
	if t.gate != nil {
		l.InFlight, l.Queued, l.Limit = t.gate.InFlight(), t.gate.Queued(), t.gate.Limit()
		l.Epoch = t.ledger.Epoch()
	}
	return l
}

func (t *Task) reply(id call.ID, to *mail.Box[call.Result], o call.Outcome, retries int) {
	to.Put(call.Result{Attempt: id, Outcome: o, Load: t.load(), RetriesUsed: retries}, t.Stopping())
}

func (t *Task) refuse(m Run, kind errs.Kind, detail string) {
	t.reply(m.ID, m.Reply, call.Refused{Kind: kind, RetryAfter: errs.AnswerTo(kind).RetryAfter, Detail: detail}, 0)
}

func (t *Task) checkEmpty() {
	if t.draining && len(t.runs) == 0 && t.empty != nil {
		close(t.empty)
		t.empty = nil
	}
}
