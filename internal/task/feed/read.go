package feed

import (
	"context"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/guard"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/follow"
	"jacinthcross/internal/fleet/roster"
	"jacinthcross/internal/task/dialer"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/wire/codec"
)

// startRead starts a read from the next source, or sets nextAt when no source may be read yet.
func (t *Task) startRead(now time.Time) {
	source, at := t.sources.Choose(t.position, now)
	if at.After(now) {
		t.nextAt = at
		return
	}
	// Another source than before answers at once when the roster is no longer fresh, so that one with old data is found out.
	sourceChanged := source != t.lastSource && t.age(now) > watchWait
	waitForChange := len(t.confirmReplies) == 0 && !sourceChanged
	var read func(ctx context.Context) result
	switch source := source.(type) {
	case follow.StoreSource:
		read = t.storeRead(waitForChange)
	case follow.PeerSource:
		read = t.peerRead(source, waitForChange)
	}
	t.readNumber++
	t.source = source
	t.cancel = t.runRead(t.readNumber, source, read)
}

// errPanicked is the error of a read whose handler panicked.
const errPanicked = errors.ConstError("the daemon failed while it handled an answer of its source: see the HandlerPanicked event in the log")

// runRead runs a read on its own goroutine, which sends the result to the inbox of the task.
func (t *Task) runRead(number int, source follow.Source, read func(ctx context.Context) result) context.CancelFunc {
	ctx, cancel := context.WithTimeout(context.Background(), readTimeout)
	sent := t.clock.Now()
	go func() {
		defer cancel()
		r := result(failed{errPanicked})
		guard.Run("read of the store", func() { r = read(ctx) })
		t.config.Inbox.Put(readFinished{number, source, sent, r}, t.Done())
	}()
	return cancel
}

// cancelRead cancels the read in progress, whose result is then ignored.
func (t *Task) cancelRead() {
	if t.cancel != nil {
		t.cancel()
		t.cancel = nil
		t.readNumber++
	}
}

// storeRead returns a read of the store. Unless waitForChange is set, the read returns at once.
func (t *Task) storeRead(waitForChange bool) func(ctx context.Context) result {
	source, after, era := t.config.StoreReader, t.roster.Revision(), t.roster.Era()
	if t.needSnapshot || t.behindEra() {
		stale := !t.needFreshSnapshot && !t.behindEra()
		return func(ctx context.Context) result {
			s, err := source.Snapshot(ctx, stale)
			if err != nil {
				return failed{err}
			}
			return snapshot{s}
		}
	}
	var wait time.Duration
	if waitForChange {
		wait = watchWait
	}
	return func(ctx context.Context) result {
		c, err := source.Changes(ctx, after, wait)
		if err != nil {
			return failed{err}
		}
		return changes{c, era}
	}
}

// peerRead returns a read from a peer.
func (t *Task) peerRead(source follow.PeerSource, waitForChange bool) func(ctx context.Context) result {
	dialerInbox, request := t.config.Dialer, codec.ChangesRequest{After: t.roster.Revision(), Era: t.roster.Era()}
	switch {
	case t.needPeerSnapshot:
		request.After = 0
	case waitForChange:
		request.Wait = peerWait
	}
	return func(ctx context.Context) result {
		reply := mail.NewBox[link.Answer](1)
		exchange := link.Exchange{Message: request, Reply: reply, Timeout: request.Wait + answerTimeout}
		if !dialerInbox.TryPut(dialer.Message{Peer: source.Daemon, Message: exchange}) {
			return failed{errors.New("the queue of messages to peers is full")}
		}
		select {
		case a := <-reply.C():
			if a.Err != nil {
				return failed{a.Err}
			}
			p, ok := a.Message.(codec.ChangesReply)
			if !ok {
				return failed{errors.Errorf("peer %s answered a request for changes with %T", source.Daemon, a.Message)}
			}
			return peerReply{p}
		case <-ctx.Done():
			return failed{errors.Annotatef(ctx.Err(), "request changes from peer %s", source.Daemon)}
		}
	}
}

// The numbers of reads that run concurrently with the regular ones, whose numbers are positive.
const (
	newerPeerRead  = -1
	storeCheckRead = -2
)

// readFromNewerPeer reads from a peer that reported a newer revision, concurrently with the regular read.
func (t *Task) readFromNewerPeer(m RevisionReported) {
	newer := m.Era > t.roster.Era() || m.Era == t.roster.Era() && m.Revision > t.roster.Revision()
	if !newer || t.readingFromNewerPeer {
		return
	}
	t.readingFromNewerPeer = true
	source := follow.PeerSource{Peer: follow.Peer{Daemon: m.Peer}}
	t.runRead(newerPeerRead, source, t.peerRead(source, false))
}

// finishRead applies the result of a read. Results of cancelled reads are ignored.
func (t *Task) finishRead(m readFinished, now time.Time) {
	defer t.logRestore(t.roster.Era(), t.roster.Revision(), now)
	switch m.number {
	case newerPeerRead:
		t.readingFromNewerPeer = false
		if p, ok := m.result.(peerReply); ok {
			// Without the full state, the changes of this peer would be ignored again and again.
			t.needPeerSnapshot = t.needPeerSnapshot || !p.Complete && t.roster.NeedsSnapshot(p.Changes)
			t.applyPeerReply(p, now)
		}
	case storeCheckRead:
		t.checking = false
		t.applyResult(m, now)
	case t.readNumber:
		t.cancel = nil
		t.nextAt = now
		t.applyResult(m, now)
	}
}

// applyResult applies the result of a read and records what it tells about its source.
func (t *Task) applyResult(m readFinished, now time.Time) {
	switch r := m.result.(type) {
	case snapshot:
		if t.isOutdated(r.Era, now) {
			t.sourceFailed(m.source, errOlderEra, now)
			return
		}
		t.logUnusable(r.Changes)
		// A peer may have kept a higher version of the config over the restore of the store.
		t.needPeerSnapshot = t.needPeerSnapshot || r.Era > t.roster.Era()
		if r.Era == t.roster.Era() && r.Revision < t.roster.Revision() {
			// Without a delay, a store whose revisions went back without a new era would be read all the time.
			t.nextAt = now.Add(watchDelay)
		}
		t.unannounced = t.roster.ApplySnapshot(r.Snapshot, t.mayHaveLapsed(now), now) || t.unannounced
		if t.needSnapshot = t.countEmptyRead(); t.needSnapshot {
			t.nextAt = now.Add(emptyReadInterval)
		}
		t.sourceAnswered(m.source, m.sent, now)
	case changes:
		switch {
		case t.isOutdated(r.Era, now):
			t.sourceFailed(m.source, errOlderEra, now)
			return
		case r.askedEra != r.Era:
			// The changes follow a revision of an older era, so those between the snapshot of their era and that revision are
			// missing.
			return
		}
		t.logUnusable(r.Changes.Changes)
		t.unannounced = t.roster.Apply(r.Changes, t.mayHaveLapsed(now), now) || t.unannounced
		t.nextAt = now.Add(watchDelay)
		// The store answers at the end of the wait at the latest. If the answer is handled later, this process was
		// delayed.
		t.sourceAnswered(m.source, earlier(now, m.sent.Add(watchWait)), now)
	case peerReply:
		if !r.Complete && t.roster.NeedsSnapshot(r.Changes) {
			t.needPeerSnapshot = true
			return
		}
		if r.Complete && (r.Era > t.roster.Era() || r.Era == t.roster.Era() && r.Revision >= t.roster.Revision()) {
			t.needPeerSnapshot = false
		}
		if t.applyPeerReply(r, now) {
			t.needSnapshot = t.roster.Revision() == 0
			// The reply is at least as old as the time that it did not spend waiting at the peer.
			t.sourceAnswered(m.source, earlier(now, m.sent.Add(r.Waited)).Add(-r.Age), now)
		} else {
			t.sources.MarkStale(m.source, t.position, now)
			t.recordFailure(m.source, staleError(r), now)
		}
	case failed:
		if errors.Is(r.err, ErrHistoryGone) {
			event.StoreHistoryGone.Log("serial", t.roster.Revision())
			t.needSnapshot, t.needFreshSnapshot = true, true
			return
		}
		if errors.Is(r.err, ErrChangesTooLarge) {
			event.StoreChangesTooLarge.Log("serial", t.roster.Revision())
			t.needSnapshot, t.needFreshSnapshot = true, true
			return
		}
		t.sourceFailed(m.source, r.err, now)
	}
}

// countEmptyRead counts a snapshot without targets, and reports whether to read a snapshot again because the store has
// no targets yet.
func (t *Task) countEmptyRead() bool {
	if len(t.roster.Release().Targets) > 0 {
		t.emptyReads = maxEmptyReads
		return false
	}
	t.emptyReads++
	return t.emptyReads < maxEmptyReads
}

// staleError returns why a peer that answered is not a usable source (see applyPeerReply).
func staleError(r peerReply) error {
	if r.Revision == 0 && r.Era == 0 {
		return errors.New("the peer has not received any state of the store yet")
	}
	return errors.Errorf("the peer is not a usable source: its data are too old, its revision or its era is lower than that of this daemon, or it cannot reach the store (data confirmed by the store %s ago, revision %d of era %d, store unreachable: %t)", r.Age, r.Revision, r.Era, r.StoreUnreachable)
}

// applyPeerReply applies the answer of a peer. It reports whether the peer is a usable source: it can reach the store,
// its data are not older than maxPeerAge, its revision is not lower than that of the roster, and no newer era is known.
func (t *Task) applyPeerReply(p peerReply, now time.Time) bool {
	t.noteEra(p.Era, now)
	if p.Complete {
		t.unannounced = t.roster.ApplySnapshot(roster.Snapshot(p.Changes), false, now) || t.unannounced
	} else {
		t.unannounced = t.roster.Apply(p.Changes, false, now) || t.unannounced
	}
	return !p.StoreUnreachable && p.Age <= maxPeerAge && p.Era == t.roster.Era() && p.Revision >= t.roster.Revision() && !t.behindEra()
}

// changesReplyTo returns the answer to a peer that has the changes up to a revision.
func (t *Task) changesReplyTo(a pendingRequest, now time.Time) codec.ChangesReply {
	c, complete := t.roster.ChangesFor(a.Era, a.After)
	return codec.ChangesReply{
		Changes: c, Config: t.encodedConfig(c), Complete: complete, Age: t.age(now), Waited: now.Sub(a.arrivedAt), StoreUnreachable: t.storeUnreachable(now),
	}
}

// encodedConfig returns the encoding of the change of the config among changes, or nil if there is none. Peers that ask at
// the same time mostly hold the same config, so the last encoding is kept for them.
func (t *Task) encodedConfig(c roster.Changes) *codec.EncodedConfig {
	for _, ch := range c.Changes {
		key := encodedConfigKey{era: c.Era, version: t.roster.Version(), revision: ch.ChangeRevision()}
		switch ch := ch.(type) {
		case roster.ConfigDelta:
			key.base = ch.Base
		case roster.ConfigUpdated:
		default:
			continue
		}
		if t.lastEncoded == nil || t.lastEncodedKey != key {
			t.lastEncoded, t.lastEncodedKey = codec.NewEncodedConfig(ch), key
		}
		return t.lastEncoded
	}
	return nil
}

// sourceAnswered records that a source answered, which confirms the roster as of the given time.
func (t *Task) sourceAnswered(source follow.Source, confirmed, now time.Time) {
	t.sources.MarkWorked(source)
	t.lastSource = source
	if confirmed.After(t.confirmedAt) {
		t.confirmedAt = confirmed
	}
	if !t.failingSince.IsZero() {
		event.StoreRegained.Log("after", now.Sub(t.failingSince), "source", sourceName(source), "serial", t.roster.Revision())
		t.failingSince, t.lastError = time.Time{}, ""
	}
	t.confirmed = true
}

// answerConfirmRequests answers the requests for a confirmation once a source has confirmed the roster and the release has
// been announced, so that no task acts on the confirmation with the release from before.
func (t *Task) answerConfirmRequests() {
	if t.confirmed && !t.unannounced {
		for _, reply := range t.confirmReplies {
			reply.TryPut(true)
		}
		t.confirmReplies = nil
	}
	t.confirmed = t.confirmed && t.unannounced
}

func (t *Task) sourceFailed(source follow.Source, err error, now time.Time) {
	t.sources.MarkFailed(source, t.position, now)
	t.recordFailure(source, err, now)
}

func (t *Task) recordFailure(source follow.Source, err error, now time.Time) {
	if t.failingSince.IsZero() {
		t.failingSince = now
	}
	event.StoreLost.Log("source", sourceName(source), "error", err.Error(), "serial", t.roster.Revision(), "age", t.ageForLog(now))
	t.lastError = err.Error()
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// sourceName returns the name of a source in logs.
func sourceName(s follow.Source) string {
	if p, ok := s.(follow.PeerSource); ok {
		return p.Daemon.String()
	}
	return "store"
}

// mayHaveLapsed reports whether live targets may have lost their entries since the store was last read.
func (t *Task) mayHaveLapsed(now time.Time) bool {
	return !t.failingSince.IsZero() && now.Sub(t.failingSince) >= minLapseOutage
}

func (t *Task) logUnusable(all []roster.Change) {
	for _, c := range all {
		switch c := c.(type) {
		case roster.TargetUnusable:
			event.EntryUnusable.Log("target", c.Name, "serial", c.Revision, "reason", c.Reason)
		case roster.ConfigInvalid:
			event.ConfigUnusable.Log("serial", c.Revision, "reason", c.Reason)
		case roster.ConfigPartInvalid:
			event.ConfigPartUnusable.Log("serial", c.Revision, "part", c.Part, "reason", c.Reason, "dropped", c.Dropped)
		case roster.ConfigUpdated, roster.ConfigDelta, roster.TargetRegistered, roster.TargetRemoved, roster.TargetLapsed, roster.DataCentreEvacuated, roster.DataCentreRestored:
		}
	}
}
