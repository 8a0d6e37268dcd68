package gossip

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
	"jacinthcross/internal/task/dialer"
)

// A Task owns the release in force and the notes that led to it.
type Task struct {
	*tree.Loop
	config          Config
	clock           clock.Clock
	replica         *relay.Replica
	headSince       time.Time
	noteMistakes    []string
	vmList          *relay.VMList
	serviceReadAge  relay.ReadAgeTracker
	started         time.Time
	budget          *relay.Budget
	confirmation    *relay.Confirmation
	confirmed       bool
	pendingConfirms []pendingConfirm
	position        relay.Position
	// jitter is a random factor in [0, 1) that spreads the reads of the daemons over time.
	jitter float64
	// duty is what was last announced to the watch task: the duty itself, the head and the version of the VM list.
	duty ReadDuty
	// pulls holds the time of each unanswered pull.
	pulls map[netip.AddrPort]time.Time
	// peerSerials holds the serial of each peer's last digest.
	peerSerials map[ident.VM]ident.Serial
	// pendingHeads holds the children that were sent a head and have not answered.
	pendingHeads map[netip.AddrPort]pendingHead
	ticks        int
	// unannounced is true while Announce has not accepted the release in force.
	unannounced bool
}

// A Config describes the daemon, the mailboxes of the tasks and the callbacks. The callbacks must not block.
type Config struct {
	VM         ident.VM
	DataCentre ident.DataCentre
	Daemon     netip.AddrPort
	Seeds      []netip.AddrPort
	Inbox      *mail.Box[Message]
	Dialer     *mail.Box[dialer.Message]
	// Announce is called with each release that comes into force. When it returns false, because a mailbox is full, it
	// is called again at the next tick. It is also called with the release in force, if any, for each AnnounceRequest.
	Announce func(*note.Release) bool
	// AnnounceConfirmed is called with true once enough peers have confirmed the head or the timeout for it has passed.
	// From then on calls with an idempotency key may be served. It is also called with the current value, which may be
	// false, when the gossip task starts and for each AnnounceRequest.
	AnnounceConfirmed func(bool)
	// AnnounceDuty is called when the duty, the head or the version of the VM list changes. It is also called with
	// the current value when the gossip task starts and for each AnnounceRequest.
	AnnounceDuty func(ReadDuty)
	// AnnounceVMs is called with each new VM list. It is also called with the current list, which may be empty, when the
	// gossip task starts and for each AnnounceRequest.
	AnnounceVMs func([]relay.ListedVM)
	// CountBytes is called with the size of each control message.
	CountBytes func(meter.Direction, int)
}

// A pendingHead describes a head that was sent to a child and is not answered yet. changed says that the head has
// changed since.
type pendingHead struct {
	sent    time.Time
	changed bool
}

// A pendingConfirm is a ConfirmRequest that has not been answered yet.
type pendingConfirm struct {
	*relay.Confirmation
	reply *mail.Box[bool]
}

const (
	// maxNoteMistakes limits the number of mistakes of refused notes that the status shows.
	maxNoteMistakes = 8
	// tickInterval is the average time between two rounds of digests. Each time differs from it by up to tickJitter.
	tickInterval = time.Second
	tickJitter   = 200 * time.Millisecond
	// confirmInterval is the time between two rounds of digests while the head is not confirmed, or has to be confirmed
	// again.
	confirmInterval = 250 * time.Millisecond
	// confirmRequestTimeout limits the time to answer a ConfirmRequest. It equals maxHoldTime of the router, the time
	// for which the router holds new calls after a process pause.
	confirmRequestTimeout = 500 * time.Millisecond
)

// An Option sets a property of a Task.
type Option func(*Task)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(t *Task) { t.clock = c } }

// New starts the task.
func New(config Config, options ...Option) *Task {
	t := &Task{
		Loop:         tree.NewLoop(),
		config:       config.withDefaults(),
		clock:        clock.System{},
		replica:      relay.NewReplica(config.VM, config.DataCentre),
		vmList:       relay.NewVMList(),
		jitter:       rand.Float64(),
		pulls:        map[netip.AddrPort]time.Time{},
		peerSerials:  map[ident.VM]ident.Serial{},
		pendingHeads: map[netip.AddrPort]pendingHead{},
	}
	for _, o := range options {
		o(t)
	}
	t.started = t.clock.Now()
	t.budget, t.confirmation = relay.NewBudget(t.started), relay.NewConfirmation(t.started)
	go func() {
		t.Run(t.loop)
	}()
	return t
}

func (c Config) withDefaults() Config {
	if c.Announce == nil {
		c.Announce = func(*note.Release) bool { return true }
	}
	if c.AnnounceConfirmed == nil {
		c.AnnounceConfirmed = func(bool) {}
	}
	if c.AnnounceDuty == nil {
		c.AnnounceDuty = func(ReadDuty) {}
	}
	if c.AnnounceVMs == nil {
		c.AnnounceVMs = func([]relay.ListedVM) {}
	}
	if c.CountBytes == nil {
		c.CountBytes = func(meter.Direction, int) {}
	}
	return c
}

func (t *Task) loop() error {
	tick, confirmTicker := time.NewTimer(t.randomTickInterval()), time.NewTicker(confirmInterval)
	defer tick.Stop()
	defer confirmTicker.Stop()
	t.announceAll()
	t.requestDigests()
	confirming := true
	for {
		select {
		case m := <-t.config.Inbox.C():
			t.receive(m)
		case <-tick.C:
			t.tick()
			tick.Reset(t.randomTickInterval())
		case <-confirmTicker.C:
			t.requestDigests()
		case <-t.Stopping():
			return nil
		}
		t.checkConfirmations()
		if needed := !t.confirmed || len(t.pendingConfirms) > 0; needed && !confirming {
			confirmTicker.Reset(confirmInterval)
			confirming = true
		} else if !needed && confirming {
			confirmTicker.Stop()
			confirming = false
		}
		t.updateDuty()
	}
}

func (t *Task) randomTickInterval() time.Duration {
	return tickInterval - tickJitter + rand.N(2*tickJitter)
}

func (t *Task) receive(m Message) {
	switch m := m.(type) {
	case PeerMessage:
		m.Reply.TryPut(t.answerPeer(m.Message))
	case NoteRead:
		t.serviceReadAge.MarkRead(t.clock.Now())
		t.applyChange(func() []relay.Result { return []relay.Result{t.replica.ApplyNote(m.Offer)} })
	case SnapshotRead:
		t.serviceReadAge.MarkRead(t.clock.Now())
		t.applyChange(func() []relay.Result { return []relay.Result{t.replica.ApplySnapshot(m.Snapshot)} })
	case ServiceReachable:
		t.serviceReadAge.MarkRead(t.clock.Now())
	case VMListRead:
		t.serviceReadAge.MarkRead(t.clock.Now())
		t.applyVMList(m.Listing)
	case HeadReported:
		if t.replica.Lacks(m.Head) {
			t.send(m.Peer, relay.Pull{After: t.replica.Head()}, 0)
		}
	case ConfirmRequest:
		t.startConfirmation(m)
	case AnnounceRequest:
		t.announceAll()
	case StatusRequest:
		m.Reply.TryPut(t.status())
	case exchangeDone:
		t.finishExchange(m)
	}
}

// applyChange runs a function that may change the head, logs its results, and announces and propagates a new head.
func (t *Task) applyChange(change func() []relay.Result) {
	before, accepted := t.replica.Head(), t.replica.Accepted()
	for _, r := range change() {
		switch r.Verdict {
		case relay.Refused:
			for _, m := range r.Mistakes {
				event.NoteRefused.Log("serial", r.Serial, "mistake", m.String())
				t.addNoteMistake(m.String())
			}
		case relay.Conflict:
			event.NoteConflict.Log("serial", r.Serial)
		case relay.Applied, relay.Replaced, relay.Known, relay.Behind:
		}
	}
	if head := t.replica.Head(); head != before {
		t.headSince = t.clock.Now()
		event.ReleaseInForce.Log("serial", head.Serial, "digest", head.Digest)
		t.announce()
		t.updatePosition()
		t.propagateHead()
	}
	if t.replica.Accepted() && !accepted {
		event.NoteAccepted.Log("serial", t.replica.Head().Serial)
	}
}

func (t *Task) addNoteMistake(mistake string) {
	t.noteMistakes = append(t.noteMistakes, mistake)
	if n := len(t.noteMistakes); n > maxNoteMistakes {
		t.noteMistakes = t.noteMistakes[n-maxNoteMistakes:]
	}
}

func (t *Task) applyVMList(m relay.Listing) {
	before := t.vmList.Version()
	if !t.vmList.Apply(m) {
		return
	}
	t.config.AnnounceVMs(t.vmList.VMs())
	t.updatePosition()
	for _, c := range t.position.Children {
		t.send(c.Daemon, t.vmList.ChangesSince(before), 0)
	}
}

func (t *Task) updatePosition() {
	leaving := map[ident.VM]bool{}
	for _, v := range t.vmList.VMs() {
		if v.State == relay.Leaving {
			leaving[v.VM] = true
		}
	}
	t.position = relay.PositionOf(t.config.VM, t.config.DataCentre, relay.Nodes(t.replica.Release(), leaving))
}

// announce announces the release in force. After a restart this task has no release yet and announces nothing, so that
// the other tasks keep theirs.
func (t *Task) announce() {
	t.unannounced = !t.replica.Head().IsZero() && !t.config.Announce(t.replica.Release())
}

func (t *Task) announceAll() {
	t.announce()
	t.config.AnnounceConfirmed(t.confirmed)
	t.config.AnnounceVMs(t.vmList.VMs())
	t.config.AnnounceDuty(t.duty)
}

// updateDuty announces the duty when it, the head or the version of the VM list has changed.
func (t *Task) updateDuty() {
	d := ReadDuty{
		Kind:        t.dutyKind(),
		Head:        t.replica.Head(),
		ListVersion: t.vmList.Version(),
	}
	if d != t.duty {
		t.duty = d
		t.config.AnnounceDuty(d)
	}
}

func (t *Task) dutyKind() relay.Duty {
	now := t.clock.Now()
	waited := now.Sub(t.started)
	if t.replica.Head().IsZero() {
		return relay.BootstrapDuty(len(t.randomPeers(1)) > 0, waited, t.jitter)
	}
	age, known := t.serviceReadAge.Elapsed(now)
	if !known {
		age = waited
	}
	return relay.DutyOf(t.position.WatcherIndex, age, t.jitter)
}

func (t *Task) status() Status {
	s := Status{
		Head: t.replica.Head(), HeadSince: t.headSince, Release: t.replica.Release(), Refusals: append([]string(nil), t.noteMistakes...),
		Accepted: t.replica.Accepted(), Holders: t.replica.Holders(), Confirmed: t.confirmed,
		Duty: t.duty.Kind, ListVersion: t.vmList.Version(), Lagging: t.lagging(),
	}
	s.ServiceReadAge, s.ServiceReadAgeKnown = t.serviceReadAge.Elapsed(t.clock.Now())
	return s
}
