// Package member is the task that owns the states of the peer daemons.
package member

import (
	"net/netip"
	"time"

	"jacinthcross/internal/base/clock"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	fleetmember "jacinthcross/internal/fleet/member"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/fleet/relay"
	"jacinthcross/internal/super/tree"
)

// A Message is a message to the task.
type Message interface{ message() }

// An Answered says that a peer has answered. Draining is true if the peer has reported that it is draining.
type Answered struct {
	Peer     netip.AddrPort
	Draining bool
}

// A Connected says that the daemon on a VM has opened a connection to this daemon. Draining is true if that daemon has
// reported that it is draining.
type Connected struct {
	VM       ident.VM
	Draining bool
}

// An Unreachable says that a peer has not answered or that the link to it has failed.
type Unreachable struct{ Peer netip.AddrPort }

// A DrainAnnounced says that the daemon on a VM has announced its planned stop.
type DrainAnnounced struct{ VM ident.VM }

// A VMListChanged carries a new VM list.
type VMListChanged struct{ VMs []relay.ListedVM }

// A ReleaseChanged carries the release that has come into force.
type ReleaseChanged struct{ Release *note.Release }

// A StatusRequest requests the states of all peers, including those that have not changed.
type StatusRequest struct {
	Reply *mail.Box[[]fleetmember.PeerState]
}

func (Answered) message()       {}
func (Connected) message()      {}
func (Unreachable) message()    {}
func (DrainAnnounced) message() {}
func (VMListChanged) message()  {}
func (ReleaseChanged) message() {}
func (StatusRequest) message()  {}

// A Task owns the states of the peers.
type Task struct {
	*tree.Loop
	inbox    *mail.Box[Message]
	clock    clock.Clock
	announce func([]fleetmember.PeerState)
	table    *fleetmember.Table
}

// An Option sets a property of a Task.
type Option func(*Task)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(t *Task) { t.clock = c } }

// New starts the task. announce is called with the peers whose states have changed.
func New(inbox *mail.Box[Message], announce func([]fleetmember.PeerState), options ...Option) *Task {
	t := &Task{Loop: tree.NewLoop(), inbox: inbox, clock: clock.System{}, announce: announce, table: fleetmember.NewTable()}
	for _, o := range options {
		o(t)
	}
	go func() {
		t.Run(t.loop)
	}()
	return t
}

func (t *Task) loop() error {
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case m := <-t.inbox.C():
			t.announceChanges(t.receive(m))
		case <-timer.C:
			t.announceChanges(t.table.Tick(t.clock.Now()))
		case <-t.Stopping():
			return nil
		}
		now := t.clock.Now()
		if next, ok := t.table.NextTick(now); ok {
			timer.Reset(next.Sub(now))
		} else {
			timer.Stop()
		}
	}
}

func (t *Task) announceChanges(changes []fleetmember.PeerState) {
	if len(changes) > 0 {
		t.announce(changes)
	}
}

func (t *Task) receive(m Message) []fleetmember.PeerState {
	now := t.clock.Now()
	switch m := m.(type) {
	case Answered:
		return t.table.MarkAnswered(m.Peer, m.Draining, now)
	case Connected:
		return t.table.MarkConnected(m.VM, m.Draining, now)
	case Unreachable:
		return t.table.MarkUnreachable(m.Peer, now)
	case DrainAnnounced:
		return t.table.MarkDraining(m.VM, now)
	case VMListChanged:
		return t.table.SetVMList(m.VMs, now)
	case ReleaseChanged:
		return t.table.SetRelease(m.Release, now)
	case StatusRequest:
		m.Reply.TryPut(t.table.Peers())
	}
	return nil
}
