package keeper

import (
	"jacinthcross/internal/base/clock"
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/form"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/fleet/relay"
	"jacinthcross/internal/super/tree"
	"time"
)

// A Task owns the release in force and the notes that led to it.
type Task struct {
	*tree.Loop
	inbox    *mail.Box[Message]
	clock    clock.Clock
	announce func(*note.Release)
	release  *note.Release
	since    time.Time
	refusals []string
}

// refusalsKept bounds the refused notes that the status shows.
const refusalsKept = 8

// An Option sets a property of a Task.
type Option func(*Task)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(t *Task) { t.clock = c } }

// New starts the task. announce is called with each release that comes into force.
func New(inbox *mail.Box[Message], announce func(*note.Release), options ...Option) *Task {
	t := &Task{
		Loop:     tree.NewLoop(),
		inbox:    inbox,
		clock:    clock.System{},
		announce: announce,
		release:  note.NewRelease(),
	}
	for _, o := range options {
		o(t)
	}
	go func() {
		t.Run(t.loop)
	}()
	return t
}

func (t *Task) loop() error {
	for {
		select {
		case m := <-t.inbox.C():
			t.receive(m)
		case <-t.Stopping():
			return nil
		}
	}
}

func (t *Task) receive(m Message) {
	switch m := m.(type) {
	case FromPeer:
		m.Reply.TryPut(t.fromPeer(m.Message))
	case FromService:
		t.offer(m.Offer)
	case StatusAsk:
		m.Reply.TryPut(Status{Head: t.release.Head, Since: t.since, Release: t.release, Refusals: t.refusals})
	}
}

func (t *Task) fromPeer(m relay.Message) relay.Message {
	switch m := m.(type) {
	case relay.Digest:
		return relay.Digest{Head: t.release.Head}
	case relay.Offer:
		t.offer(m)
		return relay.Ack{Head: t.release.Head}
	case relay.Pull, relay.Notes, relay.Snapshot, relay.Ack, relay.Listing:
		return nil
	}
	return nil
}

func (t *Task) offer(o relay.Offer) {
	if o.Serial <= t.release.Head.Serial {
		return
	}
	next, mistakes := note.Check(t.release, o.Text)
	if len(mistakes) > 0 {
		t.refuse(o.Serial, mistakes)
		return
	}
	t.release = next
	t.since = t.clock.Now()
	event.ReleaseInForce.Log("serial", next.Head.Serial, "digest", next.Head.Digest)
	t.announce(next)
}

func (t *Task) refuse(serial ident.Serial, mistakes form.Errors) {
	for _, m := range mistakes {
		event.NoteRefused.Log("serial", serial, "mistake", m.String())
		t.refusals = append(t.refusals, m.String())
	}
	if n := len(t.refusals); n > refusalsKept {
		t.refusals = t.refusals[n-refusalsKept:]
	}
}
