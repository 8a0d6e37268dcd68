package feed

import (
	"context"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/follow"
	"jacinthcross/internal/fleet/roster"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/links"
	"jacinthcross/internal/wire/codec"
)

// call asks the source whose turn it is.
func (t *Task) call(now time.Time) {
	source, at := t.sources.Choose(t.place, now)
	if at.After(now) {
		t.nextAt = at
		return
	}
	wait := len(t.confirms) == 0
	var limit time.Duration
	var ask func(ctx context.Context) result
	switch source := source.(type) {
	case follow.Store:
		limit, ask = t.askStore(wait)
	case follow.FromPeer:
		limit, ask = t.askPeer(source, wait)
	}
	t.number++
	t.cancel = t.start(t.number, source, limit, ask)
}

// start runs a call on a goroutine of its own, whose end the task is told.
func (t *Task) start(number int, source follow.Source, limit time.Duration, ask func(ctx context.Context) result) context.CancelFunc {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	sent := t.clock.Now()
	go func() {
		defer cancel()
		r := ask(ctx)
		t.config.Inbox.Put(finished{number, source, sent, r}, t.Done())
	}()
	return cancel
}

// endCall gives up the call under way. Its end is then ignored.
func (t *Task) endCall() {
	if t.cancel != nil {
		t.cancel()
		t.cancel = nil
		t.number++
	}
}

func (t *Task) askStore(wait bool) (time.Duration, func(ctx context.Context) result) {
	source, after := t.config.Source, t.roster.Revision()
	if t.whole {
		stale := !t.exact
		return readTime, func(ctx context.Context) result {
			s, err := source.Snapshot(ctx, stale)
			if err != nil {
				return failed{err}
			}
			return snapshot{s}
		}
	}
	var limit time.Duration
	if wait {
		limit = watchWait
	}
	return limit + answerTime, func(ctx context.Context) result {
		c, err := source.Changes(ctx, after, limit)
		if err != nil {
			return failed{err}
		}
		return changes{c}
	}
}

func (t *Task) askPeer(source follow.FromPeer, wait bool) (time.Duration, func(ctx context.Context) result) {
	box, ask := t.config.Links, codec.Ask{After: t.roster.Revision()}
	switch {
	case t.all:
		ask.After = 0
	case wait:
		ask.Wait = peerWait
	}
	return ask.Wait + answerTime, func(ctx context.Context) result {
		reply := mail.NewBox[link.Answer](1)
		if !box.TryPut(links.Message{Peer: source.Daemon, Message: link.Exchange{Message: ask, Reply: reply}}) {
			return failed{errors.New("the mailbox of the links is full")}
		}
		select {
		case a := <-reply.C():
			if a.Err != nil {
				return failed{a.Err}
			}
			p, ok := a.Message.(codec.Published)
			if !ok {
				return failed{errors.Errorf("peer %s answered with %T", source.Daemon, a.Message)}
			}
			return published{p}
		case <-ctx.Done():
			return failed{errors.Annotatef(ctx.Err(), "ask peer %s", source.Daemon)}
		}
	}
}

// hint asks a peer that was seen to be ahead, beside the call under way. Its number is negative.
func (t *Task) hint(m HeadSeen) {
	if m.Revision <= t.roster.Revision() || t.hinting {
		return
	}
	t.hinting = true
	source := follow.FromPeer{Peer: follow.Peer{Daemon: m.Peer}}
	limit, ask := t.askPeer(source, false)
	t.start(-1, source, limit, ask)
}

// finish takes the end of a call.
func (t *Task) finish(m finished, now time.Time) {
	if m.number < 0 {
		t.hinting = false
		if p, ok := m.result.(published); ok {
			t.takePublished(p, now)
		}
		return
	}
	if m.number != t.number {
		return
	}
	t.cancel = nil
	t.nextAt = now
	switch r := m.result.(type) {
	case snapshot:
		t.logUnusable(r.Changes)
		t.unannounced = t.roster.Replace(r.Snapshot, t.interrupted(now), now) || t.unannounced
		if t.whole = t.startsEmpty(); t.whole {
			t.nextAt = now.Add(emptyGap)
		}
		t.worked(m.source, m.sent, now)
	case changes:
		t.logUnusable(r.Changes.Changes)
		t.unannounced = t.roster.Apply(r.Changes, t.interrupted(now), now) || t.unannounced
		t.nextAt = now.Add(settleTime)
		// The store answers when the wait is over at the latest. A later time would be that of a delay on this side.
		t.worked(m.source, earlier(now, m.sent.Add(watchWait)), now)
	case published:
		if t.roster.Lacks(r.Changes) {
			t.all = true
			return
		}
		t.all = false
		if t.takePublished(r, now) {
			t.whole = t.roster.Revision() == 0
			t.worked(m.source, now.Add(-r.Age), now)
		} else {
			t.sources.Stale(m.source, t.place, now)
			t.lose(m.source, stale(r), now)
		}
	case failed:
		if errors.Is(r.err, ErrHistoryGone) {
			event.HistoryGone.Log("serial", t.roster.Revision())
			t.whole, t.exact = true, true
			return
		}
		t.fail(m.source, r.err, now)
	}
}

// startsEmpty reports whether the store has to be read again, since it has no targets yet. It counts the reads.
func (t *Task) startsEmpty() bool {
	if len(t.roster.Release().Targets) > 0 {
		t.emptyReads = maxEmptyReads
		return false
	}
	t.emptyReads++
	return t.emptyReads < maxEmptyReads
}

// stale says why what a peer knows is of no use.
func stale(r published) error {
	if r.Revision == 0 {
		return errors.New("the peer knows nothing yet")
	}
	return errors.Errorf("the peer has no newer knowledge (age %s, serial %d, lost %t)", r.Age, r.Revision, r.Lost)
}

// takePublished takes what a peer knows, and reports whether it is not older than what is known, and not too old.
func (t *Task) takePublished(p published, now time.Time) bool {
	if p.Whole {
		t.unannounced = t.roster.Replace(roster.Snapshot(p.Changes), false, now) || t.unannounced
	} else {
		t.unannounced = t.roster.Apply(p.Changes, false, now) || t.unannounced
	}
	return !p.Lost && p.Age <= maxAge && p.Revision >= t.roster.Revision()
}

// published returns what a peer lacks that knows the changes up to a revision.
func (t *Task) published(after roster.Revision, now time.Time) codec.Published {
	c, whole := t.roster.After(after)
	return codec.Published{Changes: c, Whole: whole, Age: t.age(now), Lost: t.lost(now)}
}

// worked notes that a source has answered. What is known is then as new as the answer.
func (t *Task) worked(source follow.Source, confirmed, now time.Time) {
	t.sources.Worked(source)
	if confirmed.After(t.confirmedAt) {
		t.confirmedAt = confirmed
	}
	if !t.failing.IsZero() {
		event.StoreRegained.Log("after", now.Sub(t.failing), "source", nameOf(source), "serial", t.roster.Revision())
		t.failing, t.why = time.Time{}, ""
	}
	for _, reply := range t.confirms {
		reply.TryPut(true)
	}
	t.confirms = nil
}

func (t *Task) fail(source follow.Source, err error, now time.Time) {
	t.sources.Failed(source, t.place, now)
	t.lose(source, err, now)
}

func (t *Task) lose(source follow.Source, err error, now time.Time) {
	if t.failing.IsZero() {
		t.failing = now
	}
	event.StoreLost.Log("source", nameOf(source), "error", err.Error(), "serial", t.roster.Revision(), "age", t.knownFor(now))
	t.why = err.Error()
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// nameOf names a source in logs.
func nameOf(s follow.Source) string {
	if p, ok := s.(follow.FromPeer); ok {
		return p.Daemon.String()
	}
	return "store"
}

// interrupted reports whether entries may have lapsed since the store was last read.
func (t *Task) interrupted(now time.Time) bool {
	return !t.failing.IsZero() && now.Sub(t.failing) >= interruption
}

func (t *Task) logUnusable(all []roster.Change) {
	for _, c := range all {
		switch c := c.(type) {
		case roster.Unusable:
			event.EntryUnusable.Log("target", c.Name, "serial", c.Revision, "reason", c.Reason)
		case roster.Misconfigured:
			event.ConfigUnusable.Log("serial", c.Revision, "reason", c.Reason)
		case roster.Configured, roster.Reconfigured, roster.Registered, roster.Removed, roster.Lapsed:
		}
	}
}
