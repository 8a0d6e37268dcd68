// Package member is the task that owns the states of the peer daemons.
package member

import (
	"net/netip"
	"time"

	"jacinthcross/internal/base/clock"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/member"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/fleet/relay"
	"jacinthcross/internal/super/tree"
)

// A Message is what the task receives.
type Message interface{ message() }

// A Seen says that a peer has answered. Draining is what the peer reported of itself.
type Seen struct {
	Peer     netip.AddrPort
	Draining bool
}

// A Met says that the daemon on a VM has opened a connection to this one. Draining is what it reported of itself.
type Met struct {
	VM       ident.VM
	Draining bool
}

// A Lost says that a peer has not answered or that the link to it has failed.
type Lost struct{ Peer netip.AddrPort }

// A Drained says that the daemon on a VM has announced its planned stop.
type Drained struct{ VM ident.VM }

// A Listed carries a new VM list.
type Listed struct{ VMs []relay.ListedVM }

// A ReleaseChanged carries the release that has come into force.
type ReleaseChanged struct{ Release *note.Release }

// A StatusAsk requests the states of all peers.
type StatusAsk struct{ Reply *mail.Box[[]member.Change] }

func (Seen) message()           {}
func (Met) message()            {}
func (Lost) message()           {}
func (Drained) message()        {}
func (Listed) message()         {}
func (ReleaseChanged) message() {}
func (StatusAsk) message()      {}

// A Task owns the states of the peers.
type Task struct {
	*tree.Loop
	inbox    *mail.Box[Message]
	clock    clock.Clock
	announce func([]member.Change)
	table    *member.Table
}

// An Option sets a property of a Task.
type Option func(*Task)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(t *Task) { t.clock = c } }

// New starts the task. announce is called with the peers whose states have changed.
func New(inbox *mail.Box[Message], announce func([]member.Change), options ...Option) *Task {
	t := &Task{Loop: tree.NewLoop(), inbox: inbox, clock: clock.System{}, announce: announce, table: member.NewTable()}
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
		if next, ok := t.table.Next(now); ok {
			timer.Reset(next.Sub(now))
		} else {
			timer.Stop()
		}
	}
}

func (t *Task) announceChanges(changes []member.Change) {
	if len(changes) > 0 {
		t.announce(changes)
	}
}

func (t *Task) receive(m Message) []member.Change {
	now := t.clock.Now()
	switch m := m.(type) {
	case Seen:
		return t.table.Seen(m.Peer, m.Draining, now)
	case Met:
		return t.table.Met(m.VM, m.Draining, now)
	case Lost:
		return t.table.Lost(m.Peer, now)
	case Drained:
		return t.table.Drain(m.VM, now)
	case Listed:
		return t.table.SetList(m.VMs, now)
	case ReleaseChanged:
		return t.table.SetRelease(m.Release, now)
	case StatusAsk:
		m.Reply.TryPut(t.table.Peers())
	}
	return nil
}
