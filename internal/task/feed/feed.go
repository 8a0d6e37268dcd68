package feed

import (
	"context"
	"time"

	"jacinthcross/internal/base/clock"
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/follow"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/fleet/roster"
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/task/links"
)

const (
	// watchWait is how long a watch waits. The store can drop its history while a watch waits and tell it nothing
	// until the next change, and a change has to be in force 2 s after it was accepted.
	watchWait = time.Second
	// peerWait is how long a question to a peer waits for a change.
	peerWait = 500 * time.Millisecond
	// answerTime bounds a call beyond the time that it waits. The store takes up to 0.3 s when it is slow.
	answerTime = 500 * time.Millisecond
	// readTime bounds the read of all that is published, which may take several calls.
	readTime = 2 * time.Second
	// settleTime is the pause between two watches, in which changes gather. It is a small part of the
	// 2 s within which a change has to be in force.
	settleTime = 150 * time.Millisecond
	// emptyGap is the pause between two reads of a store that has no targets. Daemons that start together know no peers
	// until the first target has its entry, and a watch of each of them would return with each of the first entries. A
	// stale read costs a tenth of a watch.
	emptyGap = 500 * time.Millisecond
	// maxEmptyReads bounds these reads. Targets have their entries within 2 s of their start; a store that stays without
	// is watched, so that a config is in force in time.
	maxEmptyReads = 6
	// maxAge is how old the knowledge of a peer may be before another source is asked. Changes are passed on at once,
	// and a daemon that loses its source says so; the age shows only a chain of peers that has no end in the store.
	// Three steps of peerWait after a watch make it about 2.3 s.
	maxAge = 2500 * time.Millisecond
	// interruption is how long the store has to be out of reach before entries may have lapsed
	// without the end of their targets: a target that cannot write loses its entry after three heartbeats.
	interruption = 1500 * time.Millisecond
)

// A Config names the daemon and what the task talks to.
type Config struct {
	Own    follow.Peer
	Inbox  *mail.Box[Message]
	Links  *mail.Box[links.Message]
	Source Source
	// Announce is called with each release. It reports whether all tasks had room for it.
	Announce func(*note.Release) bool
}

// A Task owns the roster and asks for its changes.
type Task struct {
	*tree.Loop
	config  Config
	clock   clock.Clock
	roster  *roster.Roster
	sources *follow.Sources
	place   follow.Place
	timer   *time.Timer
	// number is that of the last call, and cancel ends it while it is under way.
	number int
	cancel context.CancelFunc
	// nextAt is when the next call may begin.
	nextAt time.Time
	// all says that a peer has to be asked for all, since what has changed builds on a config that is not known.
	all bool
	// whole says that the store has to be asked for all, and exact that the answer may not be old.
	whole, exact bool
	// emptyReads counts the reads that found no target.
	emptyReads int
	// hinting is true while a peer is asked that was seen to be ahead.
	hinting bool
	// confirmedAt is when the store confirmed what is known.
	confirmedAt time.Time
	// failing is when the first call failed of those that have failed since, and zero while one is answered.
	failing     time.Time
	why         string
	unannounced bool
	confirms    []*mail.Box[bool]
	asks        []waitingAsk
}

// A waitingAsk is the question of a peer that waits for a change.
type waitingAsk struct {
	Ask
	until time.Time
}

// An Option sets a property of a Task.
type Option func(*Task)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(t *Task) { t.clock = c } }

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
		Loop: tree.NewLoop(), config: config, clock: clock.System{}, roster: roster.New(), sources: follow.NewSources(),
		place: follow.Place{Reads: true}, timer: time.NewTimer(0), whole: true,
	}
	for _, o := range options {
		o(t)
	}
	return t
}

func (t *Task) loop() error {
	defer t.timer.Stop()
	defer t.endCall()
	for {
		select {
		case m := <-t.config.Inbox.C():
			t.receive(m)
		case <-t.timer.C:
		case <-t.Stopping():
			return nil
		}
		t.advance()
	}
}

func (t *Task) receive(m Message) {
	now := t.clock.Now()
	switch m := m.(type) {
	case finished:
		t.finish(m, now)
	case Confirm:
		t.confirms = append(t.confirms, m.Reply)
		t.endCall()
		t.nextAt = now
	case Ask:
		t.asks = append(t.asks, waitingAsk{m, now.Add(min(m.Wait, peerWait))})
	case HeadSeen:
		t.hint(m)
	case StatusAsk:
		m.Reply.TryPut(Status{Release: t.roster.Release(), ConfirmedAt: t.confirmedAt, Reads: t.place.Reads, Failing: t.why})
	}
}

// advance drops lapsed entries, tells the other tasks and the peers what has changed, and begins the next call.
func (t *Task) advance() {
	now := t.clock.Now()
	t.unannounced = t.roster.Advance(now) || t.unannounced
	if t.unannounced {
		t.announce()
	}
	t.answerPeers(now)
	if t.cancel == nil && !t.nextAt.After(now) {
		t.call(now)
	}
	t.timer.Reset(t.next(now).Sub(now))
}

func (t *Task) announce() {
	r := t.roster.Release()
	t.unannounced = !t.config.Announce(r)
	event.ReleaseInForce.Log("serial", r.Head.Serial, "version", r.Version, "targets", len(r.Targets))
	place := follow.PlaceOf(t.config.Own, follow.PeersOf(r))
	if place.Reads != t.place.Reads {
		event.StoreDuty.Log("reads", place.Reads)
	}
	t.place = place
	t.sources.Keep(place)
}

// next returns when advance has to be called next.
func (t *Task) next(now time.Time) time.Time {
	next := now.Add(watchWait + answerTime)
	earlier := func(at time.Time) {
		if at.Before(next) {
			next = at
		}
	}
	if t.cancel == nil {
		earlier(t.nextAt)
	}
	if at, ok := t.roster.Next(); ok {
		earlier(at)
	}
	if t.unannounced {
		earlier(now.Add(settleTime))
	}
	for _, a := range t.asks {
		earlier(a.until)
	}
	return next
}

// answerPeers answers the questions for which there is something to tell, that have waited for as long as they
// may, or that had better go to another daemon.
func (t *Task) answerPeers(now time.Time) {
	var waiting []waitingAsk
	for _, a := range t.asks {
		if t.roster.Revision() <= a.After && a.until.After(now) && !t.lost(now) {
			waiting = append(waiting, a)
			continue
		}
		a.Reply.TryPut(t.published(a.After, now))
	}
	t.asks = waiting
}

// lost reports whether peers had better ask another daemon.
func (t *Task) lost(now time.Time) bool { return !t.failing.IsZero() || t.age(now) > maxAge }

// knownFor returns the time since the store confirmed what is known, for the log, and 0 when nothing is known.
func (t *Task) knownFor(now time.Time) time.Duration {
	if t.confirmedAt.IsZero() {
		return 0
	}
	return t.age(now)
}

// age returns the time since the store confirmed what is known.
func (t *Task) age(now time.Time) time.Duration { return now.Sub(t.confirmedAt) }
