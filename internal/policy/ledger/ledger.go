package ledger

import (
	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"time"
)

// Limits bound the memory and the time of a Ledger.
type Limits struct {
	EpochLength time.Duration
	MaxEntries  int
	MaxBytes    int
}

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
}

// A Ledger remembers the keyed calls of one incarnation.
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
	if key.Epoch > l.epoch || key.Epoch+epochsKept <= l.epoch {
		return Refuse{errs.KeyExpired, "the key is too old"}
	}
	if e, ok := l.epochs[key.Epoch][key.Nonce]; ok {
		return e.decide(digest)
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

func (e *entry) decide(digest ident.Digest) Decision {
	if e.digest != digest {
		return Refuse{errs.KeyMismatch, "the key was used for another request"}
	}
	if e.outcome == nil {
		return Join{}
	}
	return Replay{e.outcome}
}

// Finish records the outcome of a call that was dispatched.
func (l *Ledger) Finish(key Key, outcome call.Outcome) {
	e, ok := l.epochs[key.Epoch][key.Nonce]
	if !ok || e.outcome != nil {
		return
	}
	if a, ok := outcome.(call.Answered); ok {
		a.Remembered = true
		outcome = a
	}
	if l.bytes+size(outcome) > l.limits.MaxBytes {
		outcome = call.Unknown{Kind: errs.AnswerForgotten, Detail: "the call ran; there was no room to remember its answer"}
	}
	e.outcome = outcome
	l.bytes += size(outcome)
}

// Release removes a call that was proved not to have run, so that its key may be used again.
func (l *Ledger) Release(key Key) {
	e, ok := l.epochs[key.Epoch][key.Nonce]
	if !ok || e.outcome != nil {
		return
	}
	delete(l.epochs[key.Epoch], key.Nonce)
	l.entries--
}

// size returns the bytes that a remembered answer takes.
func size(outcome call.Outcome) int {
	a, ok := outcome.(call.Answered)
	if !ok {
		return 0
	}
	n := len(a.Body)
	for _, f := range a.Header {
		n += len(f.Name) + len(f.Value)
	}
	return n
}
