package keeper

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"jacinthcross/internal/base/clock"
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/base/meter"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/fleet/relay"
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/task/links"
)

// A Task owns the release in force and the notes that led to it.
type Task struct {
	*tree.Loop
	config    Config
	clock     clock.Clock
	replica   *relay.Replica
	since     time.Time
	refusals  []string
	list      *relay.List
	age       relay.Age
	started   time.Time
	budget    *relay.Budget
	confirm   *relay.Confirmation
	confirmed bool
	compares  []comparison
	place     relay.Place
	jitter    float64
	duty      Duty
	pulls     map[netip.AddrPort]time.Time
	heads     map[ident.VM]ident.Serial
	// pending holds the children that were sent a head and have not answered.
	pending map[netip.AddrPort]pendingHead
	ticks   int
	// untold says that the release in force could not be told.
	untold bool
}

// A Config names the daemon, the mailboxes, and what is told of the state. The functions must not block.
type Config struct {
	VM         ident.VM
	DataCentre ident.DataCentre
	Daemon     netip.AddrPort
	Seeds      []netip.AddrPort
	Inbox      *mail.Box[Message]
	Links      *mail.Box[links.Message]
	// Announce is told each release that comes into force. When it returns false, because a
	// mailbox is full, it is told again at the next tick.
	Announce func(*note.Release) bool
	// Confirmed is told whether the head was compared with peers, so that keyed calls may be served.
	Confirmed func(bool)
	// Duty is told how the configuration service is to be read.
	Duty func(Duty)
	// Listed is told the VM list.
	Listed func([]relay.ListedVM)
	// Bytes is told the size of each control message.
	Bytes func(meter.Direction, int)
}

// A pendingHead is a head that a child was sent and has not answered. Again says that the head has changed since.
type pendingHead struct {
	sent  time.Time
	again bool
}

// A comparison is a Confirm that is not answered yet.
type comparison struct {
	*relay.Confirmation
	reply *mail.Box[bool]
}

const (
	// refusalsKept bounds the refused notes that the status shows.
	refusalsKept = 8
	// tickInterval is the time between two rounds of digests, give or take tickJitter.
	tickInterval = time.Second
	tickJitter   = 200 * time.Millisecond
	// hurryInterval is the time between two rounds while the head is not confirmed.
	hurryInterval = 250 * time.Millisecond
	// compareTimeout bounds a Confirm: the router waits no longer after a pause.
	compareTimeout = 500 * time.Millisecond
)

// An Option sets a property of a Task.
type Option func(*Task)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(t *Task) { t.clock = c } }

// New starts the task.
func New(config Config, options ...Option) *Task {
	t := &Task{
		Loop:    tree.NewLoop(),
		config:  config.complete(),
		clock:   clock.System{},
		replica: relay.NewReplica(config.VM, config.DataCentre),
		list:    relay.NewList(),
		jitter:  rand.Float64(),
		pulls:   map[netip.AddrPort]time.Time{},
		heads:   map[ident.VM]ident.Serial{},
		pending: map[netip.AddrPort]pendingHead{},
	}
	for _, o := range options {
		o(t)
	}
	t.started = t.clock.Now()
	t.budget, t.confirm = relay.NewBudget(t.started), relay.NewConfirmation(t.started)
	go func() {
		t.Run(t.loop)
	}()
	return t
}

func (c Config) complete() Config {
	if c.Announce == nil {
		c.Announce = func(*note.Release) bool { return true }
	}
	if c.Confirmed == nil {
		c.Confirmed = func(bool) {}
	}
	if c.Duty == nil {
		c.Duty = func(Duty) {}
	}
	if c.Listed == nil {
		c.Listed = func([]relay.ListedVM) {}
	}
	if c.Bytes == nil {
		c.Bytes = func(meter.Direction, int) {}
	}
	return c
}

func (t *Task) loop() error {
	tick, hurry := time.NewTimer(t.interval()), time.NewTicker(hurryInterval)
	defer tick.Stop()
	defer hurry.Stop()
	t.announceAll()
	t.hurry()
	hurrying := true
	for {
		select {
		case m := <-t.config.Inbox.C():
			t.receive(m)
		case <-tick.C:
			t.tick()
			tick.Reset(t.interval())
		case <-hurry.C:
			t.hurry()
		case <-t.Stopping():
			return nil
		}
		t.checkConfirmed()
		if needed := !t.confirmed || len(t.compares) > 0; needed && !hurrying {
			hurry.Reset(hurryInterval)
			hurrying = true
		} else if !needed && hurrying {
			hurry.Stop()
			hurrying = false
		}
		t.tellDuty()
	}
}

func (t *Task) interval() time.Duration {
	return tickInterval - tickJitter + rand.N(2*tickJitter)
}

func (t *Task) receive(m Message) {
	switch m := m.(type) {
	case FromPeer:
		m.Reply.TryPut(t.fromPeer(m.Message))
	case FromService:
		t.age.Read(t.clock.Now())
		t.change(func() []relay.Result { return []relay.Result{t.replica.Offer(m.Offer)} })
	case SnapshotRead:
		t.age.Read(t.clock.Now())
		t.change(func() []relay.Result { return []relay.Result{t.replica.Take(m.Snapshot)} })
	case ServiceRead:
		t.age.Read(t.clock.Now())
	case ListRead:
		t.age.Read(t.clock.Now())
		t.takeList(m.Listing)
	case HeadSeen:
		if t.replica.Ahead(m.Head) {
			t.send(m.Peer, relay.Pull{After: t.replica.Head()}, 0)
		}
	case Confirm:
		t.compare(m)
	case Announce:
		t.announceAll()
	case StatusAsk:
		m.Reply.TryPut(t.status())
	case answered:
		t.answered(m)
	}
}

// change runs what may move the head, and tells the outcome.
func (t *Task) change(move func() []relay.Result) {
	before, accepted := t.replica.Head(), t.replica.Accepted()
	for _, r := range move() {
		switch r.Verdict {
		case relay.Refused:
			for _, m := range r.Mistakes {
				event.NoteRefused.Log("serial", r.Serial, "mistake", m.String())
				t.refuse(m.String())
			}
		case relay.Conflict:
			event.NoteConflict.Log("serial", r.Serial)
		case relay.Applied, relay.Replaced, relay.Known, relay.Behind:
		}
	}
	if head := t.replica.Head(); head != before {
		t.since = t.clock.Now()
		event.ReleaseInForce.Log("serial", head.Serial, "digest", head.Digest)
		t.announce()
		t.findPlace()
		t.spread()
	}
	if t.replica.Accepted() && !accepted {
		event.NoteAccepted.Log("serial", t.replica.Head().Serial)
	}
}

func (t *Task) refuse(mistake string) {
	t.refusals = append(t.refusals, mistake)
	if n := len(t.refusals); n > refusalsKept {
		t.refusals = t.refusals[n-refusalsKept:]
	}
}

func (t *Task) takeList(m relay.Listing) {
	before := t.list.Version()
	if !t.list.Take(m) {
		return
	}
	t.config.Listed(t.list.VMs())
	t.findPlace()
	for _, c := range t.place.Children {
		t.send(c.Daemon, t.list.Since(before), 0)
	}
}

func (t *Task) findPlace() {
	leaving := map[ident.VM]bool{}
	for _, v := range t.list.VMs() {
		if v.State == relay.Leaving {
			leaving[v.VM] = true
		}
	}
	t.place = relay.PlaceOf(t.config.VM, t.config.DataCentre, relay.Nodes(t.replica.Release(), leaving))
}

// announce tells the release. A restarted keeper holds none yet; the other tasks go on with the one that they have.
func (t *Task) announce() {
	t.untold = !t.replica.Head().IsZero() && !t.config.Announce(t.replica.Release())
}

func (t *Task) announceAll() {
	t.announce()
	t.config.Confirmed(t.confirmed)
	t.config.Listed(t.list.VMs())
	t.config.Duty(t.duty)
}

// tellDuty tells the duty when it or the head has changed.
func (t *Task) tellDuty() {
	d := Duty{
		Kind:        t.dutyKind(),
		Head:        t.replica.Head(),
		ListVersion: t.list.Version(),
	}
	if d != t.duty {
		t.duty = d
		t.config.Duty(d)
	}
}

func (t *Task) dutyKind() relay.Duty {
	now := t.clock.Now()
	waited := now.Sub(t.started)
	if t.replica.Head().IsZero() {
		return relay.FirstDuty(len(t.somePeers(1)) > 0, waited, t.jitter)
	}
	age, known := t.age.Since(now)
	if !known {
		age = waited
	}
	return relay.DutyOf(t.place.Rank, age, t.jitter)
}

func (t *Task) status() Status {
	s := Status{
		Head: t.replica.Head(), Since: t.since, Release: t.replica.Release(), Refusals: append([]string(nil), t.refusals...),
		Accepted: t.replica.Accepted(), Holders: t.replica.Holders(), Confirmed: t.confirmed,
		Duty: t.duty.Kind, ListVersion: t.list.Version(), Lagging: t.lagging(),
	}
	s.ServiceAge, s.ServiceKnown = t.age.Since(t.clock.Now())
	return s
}
