package feed

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/clock"
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/fleet/roster"
	"jacinthcross/internal/super/tree"
)

const (
	// watchWait is how long a watch waits. The store can drop its history while a watch waits and tell it nothing
	// until the next change, and a change has to be in force 2 s after it was accepted.
	watchWait = 1500 * time.Millisecond
	// settleTime is the pause between two watches, in which changes gather. It is a small part of the
	// 2 s within which a change has to be in force.
	settleTime = 150 * time.Millisecond
	// firstRetry doubles with each failed call up to longestRetry. All calls count, failed ones too.
	firstRetry   = 100 * time.Millisecond
	longestRetry = time.Second
	// interruption is how long the store has to be out of reach before entries may have lapsed
	// without the end of their targets: a target that cannot write loses its entry after three heartbeats.
	interruption = 1500 * time.Millisecond
)

// A Task owns the roster and the connection to the store.
type Task struct {
	*tree.Loop
	inbox    *mail.Box[Message]
	source   Source
	announce func(*note.Release) bool
	clock    clock.Clock
	roster   *roster.Roster
	timer    *time.Timer
	// readAt is when the last call that was answered was sent.
	readAt time.Time
	// failing is when the first of the calls failed that have failed since, and zero while they are answered.
	failing     time.Time
	why         string
	unannounced bool
	confirms    []*mail.Box[bool]
	recheck     chan struct{}
}

// An Option sets a property of a Task.
type Option func(*Task)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(t *Task) { t.clock = c } }

// New starts the task. It reads from inbox and calls announce with each release; announce reports whether
// all tasks had room for it.
func New(inbox *mail.Box[Message], source Source, announce func(*note.Release) bool, options ...Option) *Task {
	t := &Task{
		Loop: tree.NewLoop(), inbox: inbox, source: source, announce: announce, clock: clock.System{},
		roster: roster.New(), timer: time.NewTimer(time.Hour), recheck: make(chan struct{}, 1),
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
	defer t.timer.Stop()
	t.newReader()
	for {
		select {
		case m := <-t.inbox.C():
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
	case snapshotRead:
		t.logUnusable(m.snapshot.Changes)
		t.unannounced = t.roster.Replace(m.snapshot, t.interrupted(now), now) || t.unannounced
		t.answered(m.sent)
	case changesRead:
		t.logUnusable(m.changes.Changes)
		t.unannounced = t.roster.Apply(m.changes, t.interrupted(now), now) || t.unannounced
		t.answered(m.sent)
	case readFailed:
		t.failed(m.err, now)
	case Confirm:
		t.confirms = append(t.confirms, m.Reply)
		select {
		case t.recheck <- struct{}{}:
		default:
		}
	case StatusAsk:
		m.Reply.TryPut(Status{Release: t.roster.Release(), ReadAt: t.readAt, Failing: t.why})
	}
}

// interrupted reports whether entries may have lapsed since the store was last read.
func (t *Task) interrupted(now time.Time) bool {
	return !t.failing.IsZero() && now.Sub(t.failing) >= interruption
}

func (t *Task) answered(sent time.Time) {
	t.readAt = sent
	if !t.failing.IsZero() {
		event.StoreRegained.Log("after", t.clock.Now().Sub(t.failing), "serial", t.roster.Revision())
		t.failing, t.why = time.Time{}, ""
	}
	for _, reply := range t.confirms {
		reply.TryPut(true)
	}
	t.confirms = nil
}

func (t *Task) failed(err error, now time.Time) {
	if t.failing.IsZero() {
		event.StoreLost.Log("error", err.Error(), "serial", t.roster.Revision())
		t.failing = now
	}
	t.why = err.Error()
}

func (t *Task) logUnusable(changes []roster.Change) {
	for _, c := range changes {
		switch c := c.(type) {
		case roster.Unusable:
			event.EntryUnusable.Log("target", c.Name, "serial", c.Revision, "reason", c.Reason)
		case roster.Misconfigured:
			event.ConfigUnusable.Log("serial", c.Revision, "reason", c.Reason)
		case roster.Configured, roster.Registered, roster.Removed:
		}
	}
}

// advance drops lapsed entries and tells the other tasks what has changed.
func (t *Task) advance() {
	t.unannounced = t.roster.Advance(t.clock.Now()) || t.unannounced
	if t.unannounced {
		r := t.roster.Release()
		t.unannounced = !t.announce(r)
		event.ReleaseInForce.Log("serial", r.Head.Serial, "version", r.Version, "targets", len(r.Targets))
	}
	next, ok := t.roster.Next()
	if t.unannounced && (!ok || next.After(t.clock.Now().Add(settleTime))) {
		next, ok = t.clock.Now().Add(settleTime), true
	}
	if ok {
		t.timer.Reset(next.Sub(t.clock.Now()))
	}
}

// newReader starts the goroutine that calls the store.
func (t *Task) newReader() {
	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		<-t.Stopping()
		cancel()
	}()
	go func() {
		r := &reader{task: t, stale: true, wait: watchWait}
		for ctx.Err() == nil {
			r.step(ctx)
		}
	}()
}

// A reader calls the store, one call at a time.
type reader struct {
	task *Task
	// known is true when the changes after revision can be asked for.
	known    bool
	revision roster.Revision
	// stale allows the first snapshot to be some seconds old: the changes after it follow.
	stale    bool
	wait     time.Duration
	failures int
}

func (r *reader) step(ctx context.Context) {
	err := r.read(ctx)
	if ctx.Err() != nil {
		return
	}
	pause := settleTime
	switch {
	case errors.Is(err, ErrHistoryGone):
		event.HistoryGone.Log("serial", r.revision)
		r.known, r.stale = false, false
		pause = 0
	case err != nil:
		r.task.inbox.Put(readFailed{err}, ctx.Done())
		pause = min(longestRetry, firstRetry<<min(r.failures, 10))
		pause = pause/2 + rand.N(pause)
		r.failures++
	default:
		r.failures = 0
	}
	select {
	case <-time.After(pause):
	case <-r.task.recheck:
		r.wait = 0
	case <-ctx.Done():
	}
}

func (r *reader) read(ctx context.Context) error {
	sent := r.task.clock.Now()
	if !r.known {
		s, err := r.task.source.Snapshot(ctx, r.stale)
		if err != nil {
			return err
		}
		r.known, r.revision = true, s.Revision
		r.task.inbox.Put(snapshotRead{s, sent}, ctx.Done())
		return nil
	}
	watch, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	wait := r.wait
	r.wait = watchWait
	if wait > 0 {
		newWatchEnder(watch, cancel, r.task.recheck)
	}
	c, err := r.task.source.Changes(watch, r.revision, wait)
	if errors.Is(context.Cause(watch), errRecheck) {
		r.wait = 0
		return nil
	}
	if err != nil {
		return err
	}
	r.revision = max(r.revision, c.Revision)
	r.task.inbox.Put(changesRead{c, sent}, ctx.Done())
	return nil
}

// errRecheck ends a watch in favour of a read that does not wait.
const errRecheck = errors.ConstError("a check was asked for")

// newWatchEnder starts the goroutine that ends a watch when a check is asked for.
func newWatchEnder(watch context.Context, cancel context.CancelCauseFunc, recheck <-chan struct{}) {
	go func() {
		select {
		case <-recheck:
			cancel(errRecheck)
		case <-watch.Done():
		}
	}()
}
