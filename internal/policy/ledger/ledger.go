package ledger

import (
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
)

// Limits bound the time for which a Ledger keeps keys, and the memory that it uses.
type Limits struct {
	EpochLength time.Duration
	// MaxEntries limits the number of keys, and MaxBytes the total size of their stored answers.
	MaxEntries int
	MaxBytes   int
	// MaxWaiting limits the resends that wait for one running call. 0 means defaultMaxWaiting.
	MaxWaiting int
}

// defaultMaxWaiting allows a resend through each of several daemons. It is small, since a caller that
// resends without waiting must not exhaust the daemon's memory.
const defaultMaxWaiting = 8

// validEpochs is the number of epochs whose keys are valid: the current one and the two before it.
const validEpochs = 3

// A Decision is what to do with a keyed call: Run, Join, Replay or Refuse.
type Decision interface{ decision() }

// Run means that the call may be dispatched; Finish or Release must follow.
type Run struct{}

// Join means that the call is already running and that the resend, by the caller or by a daemon (see retry.Reattach),
// may wait for its outcome. If the resend stops waiting before that, CancelJoin must be called.
type Join struct{}

// Replay means that the call has finished with the given outcome.
type Replay struct{ Outcome call.Outcome }

// Refuse means that the call must not run.
type Refuse struct {
	Kind   errs.Kind
	Detail string
}

func (Run) decision()    {}
func (Join) decision()   {}
func (Replay) decision() {}
func (Refuse) decision() {}

// An entry is the state of one key.
type entry struct {
	digest  ident.Digest
	outcome call.Outcome // nil while the call is running
	waiting int          // resends that wait for the outcome
}

// A Ledger records the keyed calls that arrive at one daemon process (incarnation). The first request with a key is a
// send, and each further request with the same key is a resend. The methods are the transitions of the at-most-once
// state machine:
//
//   - Begin decides on each send and resend. It returns Run at most once per key, unless Release has recorded that
//     the earlier send did not run.
//   - Finish records the final outcome of a run, which later resends replay.
//   - Release removes the entry of a send that was refused before dispatch, or that the target proved not to have run.
//   - AdvanceEpoch drops expired epochs as a whole. If a call is running when its epoch is dropped, its caller and
//     the resends that joined it still get the outcome, because the task that owns the Ledger keeps track of them
//     itself. Finish and Release then have no effect, and Begin refuses the key as expired, so it never runs again.
//   - CancelJoin records that a resend which joined a call no longer waits for it.
//
// Each Ledger needs a new incarnation, since an empty Ledger does not know with which keys of the same incarnation
// calls have already run, and would run those calls again.
type Ledger struct {
	target      ident.Target
	incarnation ident.Incarnation
	limits      Limits
	started     time.Time
	epoch       ident.Epoch
	epochs      map[ident.Epoch]map[[12]byte]*entry
	entries     int
	answerBytes int
}

// New returns an empty Ledger for an incarnation that starts at now.
func New(target ident.Target, incarnation ident.Incarnation, limits Limits, now time.Time) *Ledger {
	if limits.MaxWaiting == 0 {
		limits.MaxWaiting = defaultMaxWaiting
	}
	return &Ledger{
		target:      target,
		incarnation: incarnation,
		limits:      limits,
		started:     now,
		epochs:      map[ident.Epoch]map[[12]byte]*entry{},
	}
}

// Epoch returns the current epoch.
func (l *Ledger) Epoch() ident.Epoch { return l.epoch }

// AdvanceEpoch sets the epoch to the one at time now and drops the epochs whose keys are no longer valid.
func (l *Ledger) AdvanceEpoch(now time.Time) {
	e := ident.Epoch(now.Sub(l.started) / l.limits.EpochLength)
	if e <= l.epoch {
		return
	}
	l.epoch = e
	for old, entries := range l.epochs {
		if old+validEpochs <= l.epoch {
			l.subtract(entries)
			delete(l.epochs, old)
		}
	}
}

// subtract subtracts the entries of an epoch from the totals.
func (l *Ledger) subtract(entries map[[12]byte]*entry) {
	for _, e := range entries {
		l.entries--
		l.answerBytes -= answerSize(e.outcome)
	}
}

// Begin decides what to do with a call, given its key and the digest of its request.
func (l *Ledger) Begin(key Key, digest ident.Digest) Decision {
	if key.Target != l.target || key.Incarnation != l.incarnation {
		return Refuse{errs.OwnerGone, "the daemon that owned the key has restarted or has another target"}
	}
	if key.Epoch > l.epoch {
		// Epochs only advance, so this incarnation cannot have issued the key, and no call with it has run.
		return Refuse{errs.KeyInvalid, "the key belongs to an epoch that has not started"}
	}
	if l.epoch-key.Epoch >= validEpochs {
		return Refuse{errs.KeyExpired, "the key has expired"}
	}
	if e, ok := l.epochs[key.Epoch][key.Nonce]; ok {
		return l.decideResend(e, digest)
	}
	if l.entries >= l.limits.MaxEntries {
		return Refuse{errs.LedgerFull, "the daemon holds the maximum number of keys"}
	}
	if l.epochs[key.Epoch] == nil {
		l.epochs[key.Epoch] = map[[12]byte]*entry{}
	}
	l.epochs[key.Epoch][key.Nonce] = &entry{digest: digest}
	l.entries++
	return Run{}
}

// decideResend decides on a call whose key has been used before.
func (l *Ledger) decideResend(e *entry, digest ident.Digest) Decision {
	if e.digest != digest {
		return Refuse{errs.KeyMismatch, "the key was already used for a different request"}
	}
	if e.outcome == nil {
		if e.waiting >= l.limits.MaxWaiting {
			return Refuse{errs.StillRunning, "the call is still running and the maximum number of resends already wait for it"}
		}
		e.waiting++
		return Join{}
	}
	return Replay{e.outcome}
}

// CancelJoin records that a resend which joined the call no longer waits for it.
func (l *Ledger) CancelJoin(key Key) {
	if e, ok := l.epochs[key.Epoch][key.Nonce]; ok && e.waiting > 0 {
		e.waiting--
	}
}

// Finish records the outcome of a call that Begin allowed to run. A refusal releases the key. An answer for which
// there is no room is recorded as AnswerForgotten.
func (l *Ledger) Finish(key Key, outcome call.Outcome) {
	e, ok := l.epochs[key.Epoch][key.Nonce]
	if !ok || e.outcome != nil {
		return
	}
	switch o := outcome.(type) {
	case call.Refused:
		l.Release(key)
		return
	case call.Answered:
		o.Replayed = true
		outcome = o
		if l.answerBytes+answerSize(o) > l.limits.MaxBytes {
			outcome = call.Unknown{Kind: errs.AnswerForgotten, Detail: forgottenDetail}
		}
	case call.Unknown:
		// The original detail is meant for the first send; a resend needs the kind only.
		outcome = call.Unknown{Kind: o.Kind, Detail: earlierUnknownDetail}
	}
	e.outcome = outcome
	l.answerBytes += answerSize(outcome)
}

// Details that all entries share, so that they use no memory per entry.
const (
	forgottenDetail      = "the call ran, but there was no room to store its answer"
	earlierUnknownDetail = "an earlier send of the key had an unknown outcome"
)

// Release removes a call that is proved not to have run, so that its key may be used again.
func (l *Ledger) Release(key Key) {
	e, ok := l.epochs[key.Epoch][key.Nonce]
	if !ok || e.outcome != nil {
		return
	}
	delete(l.epochs[key.Epoch], key.Nonce)
	l.entries--
}

// Len returns the number of stored keys.
func (l *Ledger) Len() int { return l.entries }

// headerFieldOverhead is the size in bytes of the two Go string values (pointer and length) of a header field.
const headerFieldOverhead = 32

// answerSize returns the number of bytes that a stored answer occupies, or 0 for other outcomes.
func answerSize(outcome call.Outcome) int {
	a, ok := outcome.(call.Answered)
	if !ok {
		return 0
	}
	n := cap(a.Body)
	for _, f := range a.Header {
		n += len(f.Name) + len(f.Value) + headerFieldOverhead
	}
	return n
}
