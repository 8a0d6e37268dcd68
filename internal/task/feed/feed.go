package feed

import (
	"context"
	"time"

	"jacinthcross/internal/base/clock"
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/follow"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/fleet/roster"
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/task/dialer"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/wire/codec"
)

const (
	// watchWait is how long a watch waits for a change. If the store drops its history during a watch, it reports that
	// only at the next change. Short watches detect the loss sooner, and confirm the state before other daemons check it
	// (see maxUnconfirmed).
	watchWait = 600 * time.Millisecond
	// peerWait is how long a request to a peer waits for a change or a confirmation. Peers usually have one sooner, since
	// their source is read in a cycle of watchWait and watchDelay.
	peerWait = time.Second
	// answerTimeout is how long a peer may take beyond its wait for a change until its answer begins.
	answerTimeout = 500 * time.Millisecond
	// readTimeout limits a read as a whole. How long it takes depends on the size of the answer, on the link and on what
	// else is sent over it; a read that is given up starts again from the beginning. The store client and the link end a
	// read in which nothing arrives.
	readTimeout = link.MaxTransferTime
	// watchDelay is the delay between two watches, so that one watch returns several changes. It is a small part of
	// the 2 s within which a change has to be in force.
	watchDelay = 150 * time.Millisecond
	// emptyReadInterval is the delay between two stale reads (see StoreReader.Snapshot) of a store that has no targets.
	// Daemons that start together know no peers until the first target has its entry. If they all watched the store,
	// each of the first entries would end all their watches. A stale read costs the platform a tenth of a watch.
	emptyReadInterval = 500 * time.Millisecond
	// maxEmptyReads limits the number of these reads. Targets have their entries within 2 s of their start. A store
	// that stays empty is watched, so that a new config is in force in time.
	maxEmptyReads = 6
	// maxPeerAge is the age of a peer's data above which another source is read. A daemon checks younger data itself (see
	// maxUnconfirmed), so data become older than this only if it cannot read the store either.
	maxPeerAge = 2 * time.Second
	// minLapseOutage is the length of the shortest store outage in which the entries of live targets may lapse: a
	// target that cannot write loses its entry after three missed heartbeats, which takes at least this long.
	minLapseOutage = 1500 * time.Millisecond
)

// A Config describes the daemon, and the mailboxes and the callback that connect the task to other tasks.
type Config struct {
	Self        follow.Peer
	Inbox       *mail.Box[Message]
	Dialer      *mail.Box[dialer.Message]
	StoreReader StoreReader
	// Announce is called with each new release. It returns false if the mailbox of a task was full, and is then called
	// again.
	Announce func(*note.Release) bool
}

// A Task owns the roster and reads its changes from the store or from a peer.
type Task struct {
	*tree.Loop
	config   Config
	clock    clock.Clock
	roster   *roster.Roster
	sources  *follow.SourceChooser
	position follow.Position
	timer    *time.Timer
	// readNumber is the number of the last read that startRead has started. cancelRead increases it, so that the result of
	// the cancelled read is ignored. cancel cancels the read, and is nil when none is in progress.
	readNumber int
	cancel     context.CancelFunc
	// nextAt is when the next read may start.
	nextAt time.Time
	// needPeerSnapshot says that the next read from a peer has to fetch a snapshot, because the last changes depend on
	// a config that this daemon lacks.
	needPeerSnapshot bool
	// needSnapshot says that the next read of the store has to fetch a snapshot, and needFreshSnapshot that the snapshot
	// must not be stale.
	needSnapshot, needFreshSnapshot bool
	// newestEra is the newest era that the store or a peer has told of. While the roster is in an older one, the store is
	// read by snapshots, and what sources in older eras answer confirms nothing.
	newestEra roster.Era
	// emptyReads counts the snapshots without targets. The first snapshot with targets sets it to maxEmptyReads, which
	// ends the repeated reads of snapshots.
	emptyReads int
	// source is the source of the read in progress.
	source follow.Source
	// lastSource is the source that answered last.
	lastSource follow.Source
	// checking is true while a read by checkStore is in progress.
	checking bool
	// checkOffset delays the checks of this daemon.
	checkOffset time.Duration
	// readingFromNewerPeer is true while a read by readFromNewerPeer is in progress.
	readingFromNewerPeer bool
	// confirmedAt is when the store last confirmed the roster, directly or through peers.
	confirmedAt time.Time
	// failingSince is the time of the first failed read since the last successful one, or zero if the last read
	// succeeded.
	failingSince time.Time
	lastError    string
	// lastEncoded is the encoding of the config change with lastEncodedKey, or nil.
	lastEncoded    *codec.EncodedConfig
	lastEncodedKey encodedConfigKey
	// unannounced is true when the release has changed and Announce has not accepted it yet.
	unannounced bool
	// evacuated holds the evacuated data centres of the last release.
	evacuated      map[ident.DataCentre]bool
	confirmReplies []*mail.Box[bool]
	// confirmed is true from the answer of a source until the requests for a confirmation are answered.
	confirmed       bool
	pendingRequests []pendingRequest
}

// An encodedConfigKey identifies a change of the config: the revisions of the new config and of the one that it builds on,
// which is 0 for a whole config. In another era, the same revisions may be those of other configs, and all configs of
// older eras have revision 0.
type encodedConfigKey struct {
	era            roster.Era
	version        uint64
	revision, base roster.Revision
}

// A pendingRequest is the request of a peer that waits for a change.
type pendingRequest struct {
	PeerRequest
	arrivedAt, deadline time.Time
	// confirmedAt is when the roster had been confirmed when the request arrived.
	confirmedAt time.Time
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
		Loop: tree.NewLoop(), config: config, clock: clock.System{}, roster: roster.New(), sources: follow.NewSourceChooser(),
		position: follow.Position{ReadsStore: true}, timer: time.NewTimer(0), needSnapshot: true, checkOffset: checkOffsetOf(config.Self),
	}
	for _, o := range options {
		o(t)
	}
	return t
}

func (t *Task) loop() error {
	defer t.timer.Stop()
	defer t.cancelRead()
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
	case readFinished:
		t.finishRead(m, now)
	case ConfirmRequest:
		t.confirmReplies = append(t.confirmReplies, m.Reply)
		t.confirmed = false // a confirmation from before the request does not count
		t.cancelRead()
		t.nextAt = now
	case PeerRequest:
		t.noteEra(m.Era, now)
		t.pendingRequests = append(t.pendingRequests, pendingRequest{m, now, now.Add(min(m.Wait, peerWait)), t.confirmedAt})
	case RevisionReported:
		t.noteEra(m.Era, now)
		t.readFromNewerPeer(m)
	case StatusRequest:
		m.Reply.TryPut(Status{Release: t.roster.Release(), ConfirmedAt: t.confirmedAt, ReadsStore: t.position.ReadsStore, LastError: t.lastError})
	}
}

// advance drops lapsed entries, announces changes to the other tasks and the waiting peers, and starts the next read.
func (t *Task) advance() {
	now := t.clock.Now()
	t.unannounced = t.roster.DropLapsed(now) || t.unannounced
	t.unannounced = t.roster.SettlePending(now) || t.unannounced
	if t.unannounced {
		t.announce()
	}
	t.answerConfirmRequests()
	t.answerPeers(now)
	if t.cancel == nil && !t.nextAt.After(now) {
		t.startRead(now)
	}
	t.checkStore(now)
	t.timer.Reset(t.nextWakeup(now).Sub(now))
}

func (t *Task) announce() {
	r := t.roster.Release()
	t.unannounced = !t.config.Announce(r)
	event.ReleaseInForce.Log("serial", r.Head.Serial, "version", r.Version, "targets", len(r.Targets), "unnamedServices", t.roster.UnnamedServices(), "pendingReports", t.roster.PendingReports())
	t.logEvacuations(r)
	position := follow.PositionOf(t.config.Self, follow.PeersOf(r))
	if position.ReadsStore != t.position.ReadsStore {
		event.StoreDuty.Log("reads", position.ReadsStore)
	}
	t.position = position
	t.sources.Retain(position)
}

// nextWakeup returns when advance has to be called again.
func (t *Task) nextWakeup(now time.Time) time.Time {
	next := now.Add(watchWait)
	wakeBy := func(at time.Time) {
		if at.Before(next) {
			next = at
		}
	}
	if t.cancel == nil {
		wakeBy(t.nextAt)
	}
	if at, ok := t.nextCheck(); ok {
		wakeBy(at)
	}
	if at, ok := t.roster.NextChange(); ok {
		wakeBy(at)
	}
	if t.unannounced {
		wakeBy(now.Add(watchDelay))
	}
	for _, a := range t.pendingRequests {
		wakeBy(a.deadline)
	}
	return next
}

// answerPeers answers the peers for which there are changes or a confirmation, or whose wait is over, and all of them when
// this daemon cannot read from its source. A confirmation reaches the last daemon so without further waits on its way.
func (t *Task) answerPeers(now time.Time) {
	var waiting []pendingRequest
	for _, a := range t.pendingRequests {
		if t.roster.Era() == a.Era && t.roster.Revision() <= a.After && !t.confirmedAt.After(a.confirmedAt) && a.deadline.After(now) && !t.storeUnreachable(now) {
			waiting = append(waiting, a)
			continue
		}
		a.Reply.TryPut(t.changesReplyTo(a, now))
	}
	t.pendingRequests = waiting
}

// storeUnreachable reports whether this daemon cannot reach the store, directly or through peers, so that peers should
// read from another daemon.
func (t *Task) storeUnreachable(now time.Time) bool {
	return !t.failingSince.IsZero() || t.age(now) > maxPeerAge
}

// ageForLog returns the age, or 0 if the store has never confirmed the roster.
func (t *Task) ageForLog(now time.Time) time.Duration {
	if t.confirmedAt.IsZero() {
		return 0
	}
	return t.age(now)
}

// age returns the time since the store confirmed the roster.
func (t *Task) age(now time.Time) time.Duration { return now.Sub(t.confirmedAt) }
