// Package route chooses a target for each call, based on load reports and latencies that are always somewhat
// out of date.
package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/ident"
)

// AttemptResult is the result of an attempt as seen by the table: Served, LoadOnly, Failed, TimedOut or Cancelled.
type AttemptResult interface{ attemptResult() }

// Served is an attempt that the target answered.
type Served struct {
	Latency time.Duration
	Load    call.Load
}

// LoadOnly is an attempt that counts neither as a success nor as a failure, such as one that was refused before it
// ran. Only its load report is used.
type LoadOnly struct{ Load call.Load }

// Failed is an attempt that got no answer.
type Failed struct{}

// TimedOut is an attempt that was abandoned at its deadline. It counts as a failure only if the target had enough
// time, since callers may set deadlines that no target can meet. Age is the time since the attempt was sent.
type TimedOut struct{ Age time.Duration }

// Cancelled is an attempt that was abandoned early for a reason unrelated to the target. Age is the time since the
// attempt was sent.
type Cancelled struct{ Age time.Duration }

func (Served) attemptResult()    {}
func (LoadOnly) attemptResult()  {}
func (Failed) attemptResult()    {}
func (TimedOut) attemptResult()  {}
func (Cancelled) attemptResult() {}

// A Table holds the state of the candidates for one service, as one daemon sees them.
type Table struct {
	vm           ident.VM
	dataCentre   ident.DataCentre
	region       ident.Region
	profile      Profile
	random       *rand.Rand
	budget       *ProbeBudget
	states       []*candidateState
	minLatencies map[ident.DataCentre]*minLatency
	centreLoads  map[ident.DataCentre]*centreLoad
	// populated is true once the table has had candidates. Those added later go through slow start.
	populated bool
	// latencyBuffer is reused for the latencies of each scorer, to avoid an allocation per call.
	latencyBuffer []float64
}

// An Option sets a property of a Table.
type Option func(*Table)

// WithRandom sets the source of randomness.
func WithRandom(r *rand.Rand) Option { return func(t *Table) { t.random = r } }

// WithRegion sets the region of the daemon. Without it, all other data centres count as equally far.
func WithRegion(r ident.Region) Option { return func(t *Table) { t.region = r } }

// WithProfile sets the profile. The default is ProfileTail.
func WithProfile(p Profile) Option { return func(t *Table) { t.profile = p } }

// WithProbeBudget sets the probe budget, which all tables of a daemon share.
func WithProbeBudget(b *ProbeBudget) Option { return func(t *Table) { t.budget = b } }

// NewTable returns an empty Table for the daemon on the given VM.
func NewTable(vm ident.VM, dataCentre ident.DataCentre, options ...Option) *Table {
	t := &Table{vm: vm, dataCentre: dataCentre, profile: ProfileTail, minLatencies: map[ident.DataCentre]*minLatency{}, centreLoads: map[ident.DataCentre]*centreLoad{}}
	for _, o := range options {
		o(t)
	}
	if t.random == nil {
		t.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	if t.budget == nil {
		t.budget = NewProbeBudget(t.profile)
	}
	return t
}

// SetCandidates replaces the targets of the service and keeps the state of those that remain. Targets added
// later go through slow start. The initial ones do not, since all of them would be equally slow.
func (t *Table) SetCandidates(candidates []Candidate, now time.Time) {
	candidates = slices.Clone(candidates)
	slices.SortFunc(candidates, t.compare)
	candidates = t.limitCandidates(candidates)
	known := map[ident.Target]*candidateState{}
	for _, s := range t.states {
		known[s.Target] = s
	}
	t.states = nil
	for _, c := range candidates {
		s, ok := known[c.Target]
		if !ok || s.VM != c.VM {
			s = &candidateState{inFlight: map[call.ID]pendingAttempt{}}
			if t.populated {
				s.slowStartBeganAt = now
			}
		}
		s.Candidate = c
		t.states = append(t.states, s)
	}
	t.populated = t.populated || len(candidates) > 0
	t.limitEjections(now)
}

// UnknownSize is the size of a call whose route has had no answer yet.
const UnknownSize = -1

// A Call describes a call for which a target is chosen.
type Call struct {
	// Size is the usual number of bytes that calls of the route move to and from a target, or UnknownSize. The penalty of
	// another data centre under ProfileNear depends on it.
	Size int
	Rank ident.Rank
}

// Pick chooses a target that is not excluded, for a call of unknown size.
func (t *Table) Pick(now time.Time, excluded []ident.Target) (ident.Target, bool) {
	return t.PickFor(Call{Size: UnknownSize}, now, excluded)
}

// PickFor chooses a target that is not excluded. Draining targets are never chosen. Cold targets that have no room for
// the call are chosen only if no other healthy one is left. Ejected targets, and those that are down or whose VM is down,
// are chosen only if no other at all is left, since the fault may then be on the daemon's side.
func (t *Table) PickFor(c Call, now time.Time, excluded []ident.Target) (ident.Target, bool) {
	var healthy, full, unhealthy []*candidateState
	for _, s := range t.states {
		switch {
		case s.draining || slices.Contains(excluded, s.Target):
		case s.isDown() || s.isEjected(now):
			unhealthy = append(unhealthy, s)
		case s.isColdAndFull(c.Rank, now):
			full = append(full, s)
		default:
			healthy = append(healthy, s)
		}
	}
	if len(healthy) == 0 {
		healthy = full
	}
	if len(healthy) == 0 {
		healthy = unhealthy
	}
	if len(healthy) == 0 {
		return "", false
	}
	return t.lowestScore(t.sample(healthy), c.Size, now).Target, true
}

// sample moves a random sample of the states, of the size that the profile sets, to the front and returns it. If
// there are candidates both in the local data centre and in others, the sample begins with one of each. Otherwise
// some calls would leave the data centre, and others would stay at full targets, only because no candidate of the
// other group was sampled.
func (t *Table) sample(states []*candidateState) []*candidateState {
	size, local := min(t.profile.sampleSize(), len(states)), 0
	for i, s := range states {
		if s.DataCentre == t.dataCentre {
			states[i], states[local] = states[local], states[i]
			local++
		}
	}
	for i := range size {
		lower, upper := i, len(states)
		switch {
		case i == 0 && local > 0:
			upper = local
		case i == 1 && local > 0 && local < len(states):
			lower = local
		}
		j := lower + t.random.IntN(upper-lower)
		states[i], states[j] = states[j], states[i]
	}
	return states[:size]
}

func (t *Table) lowestScore(states []*candidateState, size int, now time.Time) *candidateState {
	sc := t.newScorer(now)
	sc.remotePenalty = remotePenalty(size)
	best, bestScore := states[0], sc.score(states[0])
	for _, s := range states[1:] {
		if score := sc.score(s); score < bestScore {
			best, bestScore = s, score
		}
	}
	return best
}

// RecordCall counts a call to the service, which earns a fraction of a probe.
func (t *Table) RecordCall(now time.Time) { t.budget.RecordCall(now) }

// NextProbe returns the next candidate to probe, if one is due and the budget allows it. Only candidates that have
// never reported, are down, or are draining are probed. Probing any other candidate that has not reported for a while
// is of no use, since the report goes stale within reportDecay.
func (t *Table) NextProbe(now time.Time) (ident.Target, bool) {
	var oldest *candidateState
	for _, s := range t.states {
		if !s.lastReport.IsZero() && !s.isDown() && !s.draining || now.Sub(s.lastContact()) < probeInterval<<min(s.probes, maxProbeDoublings) {
			continue
		}
		if oldest == nil || s.lastContact().Before(oldest.lastContact()) {
			oldest = s
		}
	}
	if oldest == nil || !t.budget.Take(now) {
		return "", false
	}
	oldest.lastProbe = now
	oldest.probes++
	return oldest.Target, true
}

// RecordAttempt records that an attempt was sent to a target. usualLatency is the usual latency of calls on its route,
// or 0 if unknown.
func (t *Table) RecordAttempt(target ident.Target, attempt call.ID, usualLatency time.Duration, now time.Time) {
	if s := t.find(target); s != nil {
		s.inFlight[attempt] = pendingAttempt{now, usualLatency}
		s.sendOrder = append(s.sendOrder, attempt)
	}
}

// RecordResult records the result of an attempt.
func (t *Table) RecordResult(target ident.Target, attempt call.ID, result AttemptResult, now time.Time) {
	s := t.find(target)
	if s == nil {
		return
	}
	pending := s.inFlight[attempt]
	delete(s.inFlight, attempt)
	s.trimSendOrder()
	switch r := result.(type) {
	case Served:
		t.recordLatency(s, r.Latency, now)
		s.recordLatencyRatio(r.Latency, pending.usualLatency)
		t.applyReport(s, r.Load, now)
		s.recordSuccess(now)
	case LoadOnly:
		t.applyReport(s, r.Load, now)
	case Failed:
		t.recordFailure(s, now)
	case TimedOut:
		if r.Age > t.failureTimeout(s, now) {
			t.recordFailure(s, now)
		}
		t.recordUnanswered(s, r.Age, now)
	case Cancelled:
		t.recordUnanswered(s, r.Age, now)
	}
}

// Load returns the last load report of a target, and whether there is one that is no older than maxAge.
func (t *Table) Load(target ident.Target, maxAge time.Duration, now time.Time) (call.Load, bool) {
	s := t.find(target)
	if s == nil || s.lastReport.IsZero() || now.Sub(s.lastReport) > maxAge {
		return call.Load{}, false
	}
	return s.load, true
}

// UpdateLoad records a load report that did not come with an attempt.
func (t *Table) UpdateLoad(target ident.Target, load call.Load, now time.Time) {
	if s := t.find(target); s != nil {
		t.applyReport(s, load, now)
	}
}

// applyReport records a load report of a target.
func (t *Table) applyReport(s *candidateState, load call.Load, now time.Time) {
	s.applyReport(load, now)
	t.recordCentreLoad(s, load, now)
}

// SetDraining stops new calls to the targets on a VM until SetDown reports it as up again or a new incarnation
// reports its load.
func (t *Table) SetDraining(vm ident.VM) {
	for _, s := range t.states {
		s.draining = s.draining || s.VM == vm
	}
}

// SetDown marks the targets on a VM as unreachable, or as reachable again. Those that become reachable are no longer
// draining and go through slow start.
func (t *Table) SetDown(vm ident.VM, down bool, now time.Time) {
	for _, s := range t.states {
		if s.VM != vm {
			continue
		}
		if !down && (s.vmUnreachable || s.draining) {
			s.slowStartBeganAt, s.draining = now, false
		}
		s.vmUnreachable = down
	}
}

// ClearTransientState clears the state that is out of date after a process pause: load estimates, the down state from
// load reports, slow periods, failures and ejections.
func (t *Table) ClearTransientState() {
	clear(t.centreLoads)
	for _, s := range t.states {
		s.otherCalls, s.otherCallsAt, s.slowPeriod = 0, time.Time{}, slowPeriod{}
		s.coldState = coldState{}
		s.load.Down = false
		s.consecutiveFailures, s.ejections, s.ejectedUntil = 0, 0, time.Time{}
	}
}

func (t *Table) find(target ident.Target) *candidateState {
	for _, s := range t.states {
		if s.Target == target {
			return s
		}
	}
	return nil
}
