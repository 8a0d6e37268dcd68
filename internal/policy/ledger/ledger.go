package ledger

import (
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
)

// Limits bound the memory and the time of a Ledger.
type Limits struct {
	EpochLength time.Duration
	// MaxEntries bounds the number of keys, MaxBytes the bytes of the remembered answers beside them.
	MaxEntries int
	MaxBytes   int
	// MaxJoined bounds the resends that wait for one running call. 0 means defaultMaxJoined.
	MaxJoined int
}

// defaultMaxJoined allows a resend through each of several fronts, and no more: a caller that sends
// again without waiting must not fill the daemon's memory.
const defaultMaxJoined = 8

// epochsKept is the number of epochs whose keys are valid: the current one and two before it.
const epochsKept = 3

// A Decision is what to do with a keyed call: Run, Join, Replay or Refuse.
type Decision interface{ decision() }

// Run says that the call may be dispatched; Finish or Release must follow.
type Run struct{}

// Join says that the call is running and its outcome will be known.
type Join struct{}

// Replay gives the remembered outcome.
type Replay struct{ Outcome call.Outcome }

// Refuse says that the call must not run.
type Refuse struct {
	Kind   errs.Kind
	Detail string
}

func (Run) decision()    {}
func (Join) decision()   {}
func (Replay) decision() {}
func (Refuse) decision() {}

type entry struct {
	digest  ident.Digest
	outcome call.Outcome // nil while the call is running
	joined  int
}

// A Ledger remembers the keyed calls of one incarnation. Its methods are the transitions of the
// at-most-once rules:
//
//   - Begin decides on each send and resend. It returns Run at most once per key, except after
//     Release proved that the earlier send was not run.
//   - Finish fixes the outcome of a run for good: a later resend replays it.
//   - Release forgets a send that was refused before dispatch, or by the target with its proof.
//   - Advance drops expired epochs as a whole. A call that runs while its epoch is dropped still
//     answers its caller and those that joined it: the task holds them, not the Ledger. Its Finish
//     and Release then change nothing, and Begin refuses its key as expired, so it never runs again.
//   - Leave notes that a resend which joined no longer waits.
//
// A new Ledger needs a new incarnation, since an empty one would run old keys again.
type Ledger struct {
	target      ident.Target
	incarnation ident.Incarnation
	limits      Limits
	started     time.Time
	epoch       ident.Epoch
	epochs      map[ident.Epoch]map[[12]byte]*entry
	entries     int
	bytes       int
}

// New returns an empty Ledger of an incarnation that starts at now.
func New(target ident.Target, incarnation ident.Incarnation, limits Limits, now time.Time) *Ledger {
	if limits.MaxJoined == 0 {
		limits.MaxJoined = defaultMaxJoined
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

// Advance moves to the epoch of now and drops the epochs whose keys are no longer valid.
func (l *Ledger) Advance(now time.Time) {
	e := ident.Epoch(now.Sub(l.started) / l.limits.EpochLength)
	if e <= l.epoch {
		return
	}
	l.epoch = e
	for old, entries := range l.epochs {
		if old+epochsKept <= l.epoch {
			l.drop(entries)
			delete(l.epochs, old)
		}
	}
}

func (l *Ledger) drop(entries map[[12]byte]*entry) {
	for _, e := range entries {
		l.entries--
		l.bytes -= size(e.outcome)
	}
}

// Begin decides on a call with the key and the digest of its request.
func (l *Ledger) Begin(key Key, digest ident.Digest) Decision {
	if key.Target != l.target || key.Incarnation != l.incarnation {
		return Refuse{errs.OwnerGone, "the daemon that owned the key has restarted"}
	}
	if key.Epoch > l.epoch {
		// Epochs only advance, so this incarnation cannot have issued the key and it was never run.
		return Refuse{errs.KeyInvalid, "the key names an epoch that has not begun"}
	}
	if l.epoch-key.Epoch >= epochsKept {
		return Refuse{errs.KeyExpired, "the key is too old"}
	}
	if e, ok := l.epochs[key.Epoch][key.Nonce]; ok {
		return l.resend(e, digest)
	}
	if l.entries >= l.limits.MaxEntries {
		return Refuse{errs.LedgerFull, "the daemon remembers as many keys as it may"}
	}
	if l.epochs[key.Epoch] == nil {
		l.epochs[key.Epoch] = map[[12]byte]*entry{}
	}
	l.epochs[key.Epoch][key.Nonce] = &entry{digest: digest}
	l.entries++
	return Run{}
}

func (l *Ledger) resend(e *entry, digest ident.Digest) Decision {
	if e.digest != digest {
		return Refuse{errs.KeyMismatch, "the key was used for another request"}
	}
	if e.outcome == nil {
		if e.joined >= l.limits.MaxJoined {
			return Refuse{errs.StillRunning, "the call is running and as many resends as may wait for it"}
		}
		e.joined++
		return Join{}
	}
	return Replay{e.outcome}
}

// Leave notes that a resend which joined the call no longer waits for it.
func (l *Ledger) Leave(key Key) {
	if e, ok := l.epochs[key.Epoch][key.Nonce]; ok && e.joined > 0 {
		e.joined--
	}
}

// Finish records the outcome of a call that Begin allowed to run.
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
		o.Remembered = true
		outcome = o
		if l.bytes+size(o) > l.limits.MaxBytes {
			outcome = call.Unknown{Kind: errs.AnswerForgotten, Detail: forgotten}
		}
	case call.Unknown:
		// The detail is for the first caller; the kind is what a resend needs.
		outcome = call.Unknown{Kind: o.Kind, Detail: unknownBefore}
	}
	e.outcome = outcome
	l.bytes += size(outcome)
}

// Details that all entries share, so that they take no memory per entry.
const (
	forgotten     = "the call ran; there was no room to remember its answer"
	unknownBefore = "an earlier send of the key had an unknown outcome"
)

// Release removes a call that was proved not to have run, so that its key may be used again.
func (l *Ledger) Release(key Key) {
	e, ok := l.epochs[key.Epoch][key.Nonce]
	if !ok || e.outcome != nil {
		return
	}
	delete(l.epochs[key.Epoch], key.Nonce)
	l.entries--
}

// Len returns the number of remembered keys.
func (l *Ledger) Len() int { return l.entries }

// fieldOverhead is the memory of one header field beside its text: two string headers.
const fieldOverhead = 32

// size returns the bytes that a remembered answer takes.
func size(outcome call.Outcome) int {
	a, ok := outcome.(call.Answered)
	if !ok {
		return 0
	}
	n := cap(a.Body)
	for _, f := range a.Header {
		n += len(f.Name) + len(f.Value) + fieldOverhead
	}
	return n
}
