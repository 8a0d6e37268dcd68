// Package route chooses targets from knowledge that is always stale.
package route

import (
	"hash/fnv"
	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/ident"
	"math/rand/v2"
	"slices"
	"time"
)

// A Candidate is a target that a daemon may choose.
type Candidate struct {
	Target     ident.Target
	VM         ident.VM
	DataCentre ident.DataCentre
	Slots      int
}

// A Feedback is what an attempt showed of a target: Served, Declined, Failed or Cancelled.
type Feedback interface{ feedback() }

// A Served is an attempt that the target answered.
type Served struct {
	Latency time.Duration
	Load    call.Load
}

// A Declined is an attempt that was refused before it ran.
type Declined struct{ Load call.Load }

// A Failed is an attempt that got no answer.
type Failed struct{}

// A Cancelled is an attempt that was given up before its end.
type Cancelled struct{}

func (Served) feedback()    {}
func (Declined) feedback()  {}
func (Failed) feedback()    {}
func (Cancelled) feedback() {}

// candidateCap bounds the state, links and messages that one service costs a daemon.
const candidateCap = 16

// A Table is what a daemon knows of the targets of one service.
type Table struct {
	vm         ident.VM
	dataCentre ident.DataCentre
	random     *rand.Rand
	states     []*state
}

type state struct {
	Candidate
	inFlight map[call.ID]time.Time
	load     call.Load
	heard    time.Time
}

// An Option sets a property of a Table.
type Option func(*Table)

// WithRandom sets the source of random choices.
func WithRandom(r *rand.Rand) Option { return func(t *Table) { t.random = r } }

// NewTable returns a Table for the daemon on a VM.
func NewTable(vm ident.VM, dataCentre ident.DataCentre, options ...Option) *Table {
	t := &Table{vm: vm, dataCentre: dataCentre}
	for _, o := range options {
		o(t)
	}
	if t.random == nil {
		t.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return t
}

// SetCandidates replaces the targets of the service and keeps what is known of those that stay.
func (t *Table) SetCandidates(candidates []Candidate) {
	slices.SortFunc(candidates, t.compare)
	if len(candidates) > candidateCap {
		candidates = candidates[:candidateCap]
	}
	known := map[ident.Target]*state{}
	for _, s := range t.states {
		known[s.Target] = s
	}
	t.states = nil
	for _, c := range candidates {
		s, ok := known[c.Target]
		if !ok {
			s = &state{inFlight: map[call.ID]time.Time{}}
		}
		s.Candidate = c
		t.states = append(t.states, s)
	}
}

// compare orders the own target first, then the own data centre, then by rendezvous hash.
func (t *Table) compare(a, b Candidate) int {
	if n := order(a.VM == t.vm, b.VM == t.vm); n != 0 {
		return n
	}
	if n := order(a.DataCentre == t.dataCentre, b.DataCentre == t.dataCentre); n != 0 {
		return n
	}
	if t.weight(a.Target) > t.weight(b.Target) {
		return -1
	}
	return 1
}

func order(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

func (t *Table) weight(target ident.Target) uint64 {
	h := fnv.New64a()
	h.Write([]byte(t.vm))
	h.Write([]byte{0})
	h.Write([]byte(target))
	return h.Sum64()
}

// Pick chooses a target that is not excluded.
func (t *Table) Pick(_ time.Time, excluded []ident.Target) (ident.Target, bool) {
	var usable []*state
	for _, s := range t.states {
		if !slices.Contains(excluded, s.Target) {
			usable = append(usable, s)
		}
	}
	if len(usable) == 0 {
		return "", false
	}
	a := usable[t.random.IntN(len(usable))]
	b := usable[t.random.IntN(len(usable))]
	if len(b.inFlight)*a.Slots < len(a.inFlight)*b.Slots {
		a = b
	}
	return a.Target, true
}

// Sent notes that an attempt was sent to a target.
func (t *Table) Sent(target ident.Target, attempt call.ID, now time.Time) {
	if s := t.find(target); s != nil {
		s.inFlight[attempt] = now
	}
}

// Finished notes how an attempt ended.
func (t *Table) Finished(target ident.Target, attempt call.ID, feedback Feedback, now time.Time) {
	s := t.find(target)
	if s == nil {
		return
	}
	delete(s.inFlight, attempt)
	switch f := feedback.(type) {
	case Served:
		s.report(f.Load, now)
	case Declined:
		s.report(f.Load, now)
	case Failed, Cancelled:
	}
}

// Load returns the last report of a target, and whether there is one.
func (t *Table) Load(target ident.Target) (call.Load, bool) {
	s := t.find(target)
	if s == nil || s.heard.IsZero() {
		return call.Load{}, false
	}
	return s.load, true
}

func (s *state) report(load call.Load, now time.Time) {
	if load.Incarnation.IsZero() {
		return
	}
	s.load, s.heard = load, now
}

func (t *Table) find(target ident.Target) *state {
	for _, s := range t.states {
		if s.Target == target {
			return s
		}
	}
	return nil
}

// Heard notes a report that did not come with an attempt.
func (t *Table) Heard(target ident.Target, load call.Load, now time.Time) {
	if s := t.find(target); s != nil {
		s.report(load, now)
	}
}
