// Package route chooses targets from knowledge that is always stale.
package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/ident"
)

// A Feedback is what an attempt showed of a target: Served, Declined, Failed, Expired or Cancelled.
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

// An Expired is an attempt that was given up at its deadline. It is a failure only when the target had
// enough time, since a caller may send calls with deadlines that no target can meet.
type Expired struct{ Age time.Duration }

// A Cancelled is an attempt that was given up before its end for a reason that does not lie with the target.
type Cancelled struct{ Age time.Duration }

func (Served) feedback()    {}
func (Declined) feedback()  {}
func (Failed) feedback()    {}
func (Expired) feedback()   {}
func (Cancelled) feedback() {}

// A Table is what a daemon knows of the targets of one service.
type Table struct {
	vm         ident.VM
	dataCentre ident.DataCentre
	region     ident.Region
	profile    Profile
	random     *rand.Rand
	budget     *Budget
	states     []*state
	floors     map[ident.DataCentre]*floor
	filled     bool
	// scratch is the memory of the latencies of a view.
	scratch []float64
}

// An Option sets a property of a Table.
type Option func(*Table)

// WithRandom sets the source of random choices.
func WithRandom(r *rand.Rand) Option { return func(t *Table) { t.random = r } }

// WithRegion sets the region of the daemon. Without it all other data centres are equally far.
func WithRegion(r ident.Region) Option { return func(t *Table) { t.region = r } }

// WithProfile sets the settings profile.
func WithProfile(p Profile) Option { return func(t *Table) { t.profile = p } }

// WithBudget sets the probe budget, which the tables of a daemon share.
func WithBudget(b *Budget) Option { return func(t *Table) { t.budget = b } }

// NewTable returns a Table for the daemon on a VM.
func NewTable(vm ident.VM, dataCentre ident.DataCentre, options ...Option) *Table {
	t := &Table{vm: vm, dataCentre: dataCentre, profile: Tail, floors: map[ident.DataCentre]*floor{}}
	for _, o := range options {
		o(t)
	}
	if t.random == nil {
		t.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if t.budget == nil {
		t.budget = NewBudget(t.profile)
	}
	return t
}

// SetCandidates replaces the targets of the service and keeps what is known of those that stay.
// Targets that join later start slowly; those of the first call do not, since all would be equally slow.
func (t *Table) SetCandidates(candidates []Candidate, now time.Time) {
	candidates = slices.Clone(candidates)
	slices.SortFunc(candidates, t.compare)
	candidates = t.choose(candidates)
	known := map[ident.Target]*state{}
	for _, s := range t.states {
		known[s.Target] = s
	}
	t.states = nil
	for _, c := range candidates {
		s, ok := known[c.Target]
		if !ok || s.VM != c.VM {
			s = &state{inFlight: map[call.ID]flight{}}
			if t.filled {
				s.since = now
			}
		}
		s.Candidate = c
		t.states = append(t.states, s)
	}
	t.filled = t.filled || len(candidates) > 0
	t.limitEjections(now)
}

// Pick chooses a target that is not excluded. Draining targets are never chosen. Targets that are ejected or
// down, or whose VM is down, are chosen only when no other is left, since then the fault may be on this side.
func (t *Table) Pick(now time.Time, excluded []ident.Target) (ident.Target, bool) {
	var healthy, unhealthy []*state
	for _, s := range t.states {
		switch {
		case s.draining || slices.Contains(excluded, s.Target):
		case s.isDown() || s.ejected(now):
			unhealthy = append(unhealthy, s)
		default:
			healthy = append(healthy, s)
		}
	}
	if len(healthy) == 0 {
		healthy = unhealthy
	}
	if len(healthy) == 0 {
		return "", false
	}
	return t.lowest(t.sample(healthy), now).Target, true
}

// sample moves as many different random states as the profile says to the front and returns them.
// The first is of the own data centre and the second is not, where there are such states. Otherwise
// some calls would travel, and others stay at full targets, only because no other kind was sampled.
func (t *Table) sample(states []*state) []*state {
	n, near := min(t.profile.samples(), len(states)), 0
	for i, s := range states {
		if s.DataCentre == t.dataCentre {
			states[i], states[near] = states[near], states[i]
			near++
		}
	}
	for i := range n {
		low, high := i, len(states)
		switch {
		case i == 0 && near > 0:
			high = near
		case i == 1 && near > 0 && near < len(states):
			low = near
		}
		j := low + t.random.IntN(high-low)
		states[i], states[j] = states[j], states[i]
	}
	return states[:n]
}

func (t *Table) lowest(states []*state, now time.Time) *state {
	v := t.view(now)
	best, least := states[0], v.score(states[0])
	for _, s := range states[1:] {
		if score := v.score(s); score < least {
			best, least = s, score
		}
	}
	return best
}

// Called counts a call of the service, which earns a part of a probe.
func (t *Table) Called(now time.Time) { t.budget.Called(now) }

// Probe returns a candidate whose load must be asked for, if there is one and the budget allows it. Those
// are candidates that no call would find out about: never heard of, down or draining. A probe of another
// silent candidate is no help, since its report loses its value within reportDecay.
func (t *Table) Probe(now time.Time) (ident.Target, bool) {
	var oldest *state
	for _, s := range t.states {
		if !s.heard.IsZero() && !s.isDown() && !s.draining || now.Sub(s.contact()) < probeAge<<min(s.probes, maxProbeDoublings) {
			continue
		}
		if oldest == nil || s.contact().Before(oldest.contact()) {
			oldest = s
		}
	}
	if oldest == nil || !t.budget.Take(now) {
		return "", false
	}
	oldest.probed = now
	oldest.probes++
	return oldest.Target, true
}

// Sent notes that an attempt was sent to a target. Usual is how long calls of its route usually take, or 0.
func (t *Table) Sent(target ident.Target, attempt call.ID, usual time.Duration, now time.Time) {
	if s := t.find(target); s != nil {
		s.inFlight[attempt] = flight{now, usual}
		s.sent = append(s.sent, attempt)
	}
}

// Finished notes how an attempt ended.
func (t *Table) Finished(target ident.Target, attempt call.ID, feedback Feedback, now time.Time) {
	s := t.find(target)
	if s == nil {
		return
	}
	flight := s.inFlight[attempt]
	delete(s.inFlight, attempt)
	s.trim()
	switch f := feedback.(type) {
	case Served:
		t.learn(s, f.Latency, now)
		s.keepPace(f.Latency, flight.usual)
		s.report(f.Load, now)
		s.succeeded(now)
	case Declined:
		s.report(f.Load, now)
	case Failed:
		t.failed(s, now)
	case Expired:
		if f.Age > t.patience(s, now) {
			t.failed(s, now)
		}
		t.waited(s, f.Age, now)
	case Cancelled:
		t.waited(s, f.Age, now)
	}
}

// Load returns the last report of a target, and whether there is one that is not older than maxAge.
func (t *Table) Load(target ident.Target, maxAge time.Duration, now time.Time) (call.Load, bool) {
	s := t.find(target)
	if s == nil || s.heard.IsZero() || now.Sub(s.heard) > maxAge {
		return call.Load{}, false
	}
	return s.load, true
}

// Heard notes a report that did not come with an attempt.
func (t *Table) Heard(target ident.Target, load call.Load, now time.Time) {
	if s := t.find(target); s != nil {
		s.report(load, now)
	}
}

// SetDraining stops new work for the targets on a VM until PeerUp or a new incarnation.
func (t *Table) SetDraining(vm ident.VM) {
	for _, s := range t.states {
		s.draining = s.draining || s.VM == vm
	}
}

// SetDown marks the targets on a VM as reachable or not.
func (t *Table) SetDown(vm ident.VM, down bool, now time.Time) {
	for _, s := range t.states {
		if s.VM != vm {
			continue
		}
		if !down && (s.down || s.draining) {
			s.since, s.draining = now, false
		}
		s.down = down
	}
}

// Discard forgets loads and ejections. After a process pause they describe another time.
func (t *Table) Discard() {
	for _, s := range t.states {
		s.others, s.reported, s.speed = 0, time.Time{}, speed{}
		s.load.Down = false
		s.failures, s.ejections, s.until = 0, 0, time.Time{}
	}
}

func (t *Table) find(target ident.Target) *state {
	for _, s := range t.states {
		if s.Target == target {
			return s
		}
	}
	return nil
}
