package crash

import (
	"slices"
	"time"

	"jacinthcross/internal/base/ident"
)

const (
	// crashWindow is how long a crash counts as evidence, and the duration of a quarantine that is confirmed by crashes
	// of several targets.
	crashWindow = 60 * time.Second
	// initialQuarantine is the duration of the first quarantine that is based on crashes of the local target only. It is
	// short because a target may crash for unrelated reasons, or lose its connections, while calls of one popular
	// request are in flight. Each further crash within crashWindow doubles the duration, up to crashWindow: a request
	// that does crash the target runs a few times in the first minute and then once a minute.
	initialQuarantine = 5 * time.Second
	// minQuarantineWeight and minQuarantineCrashes are the weight and the number of crashes from which a digest is
	// quarantined; its evidence must reach both. One crash is never enough, since a target may crash for unrelated
	// reasons while a single call is in flight.
	minQuarantineWeight  = 1.5
	minQuarantineCrashes = 2
	// completionsToClear is the number of completions after which the evidence on a digest is discarded and
	// reports of peers about it are ignored for crashWindow. A request that completes here did not necessarily
	// cause the crash of another target on which it was in flight.
	completionsToClear = 3
	// minOtherShare is the share of the weight that must come from other targets than the target with the most
	// weight. A smaller share is typical of a popular request, which is in flight during the majority of
	// crashes.
	minOtherShare = 0.1
	// maxDigests limits the digests of a table, and maxReported the entries of one message to peers.
	maxDigests  = 1024
	maxReported = 8
	// maxLocalObservations and maxPeerObservations limit what is recorded for each digest: the crashes of the local
	// target, and the peers that have reported crashes. A request that is always one of ten in flight
	// needs 15 crashes to be detected.
	maxLocalObservations = 16
	maxPeerObservations  = 8
)

// An observation is the evidence from one crash of the local target, or the total that one peer reported.
type observation struct {
	peer    ident.VM // empty for the local target
	weight  float64
	crashes int
	expires time.Time
}

// evidence is what is known about one digest.
type evidence struct {
	observations []observation
	// completions counts the completions here since the digest was last in flight during a crash of the local target.
	completions      int
	quarantinedUntil time.Time
	// clearedUntil is the time until which reports of peers about the digest are ignored because it has completed
	// here. It is zero unless completions have cleared the digest.
	clearedUntil time.Time
}

// A Table holds the evidence on requests that may crash the targets of one service.
type Table struct {
	digests map[ident.Digest]*evidence
	// completions counts the completions at the local target.
	completions completionCounter
	// expires is a time by which all evidence in the table will have expired.
	expires time.Time
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{digests: map[ident.Digest]*evidence{}} }

// RecordCrash records a crash of the local target with the digests of the calls that were in flight. Each of k calls
// gets 1/k of the weight of the crash. The share of a request that has recently completed here n times is divided by
// n+1, since popular requests are in flight during many crashes. RecordCrash returns the evidence to send to peers,
// strongest first. It leaves out what peers reported, so that no crash counts twice.
func (t *Table) RecordCrash(inFlight []ident.Digest, now time.Time) []Report {
	weights := map[ident.Digest]float64{}
	for _, d := range inFlight {
		weights[d] += 1 / float64(len(inFlight)) / float64(1+t.completions.count(d, now))
	}
	var reports []Report
	for d, w := range weights {
		e := t.evidenceFor(d, w, now)
		if e == nil {
			continue
		}
		e.completions = 0
		e.add(observation{weight: w, crashes: 1, expires: now.Add(crashWindow)}, now)
		reports = append(reports, e.report(d, now))
	}
	slices.SortFunc(reports, func(a, b Report) int {
		switch {
		case a.Weight > b.Weight:
			return -1
		case a.Weight < b.Weight:
			return 1
		}
		return slices.Compare(a.Digest[:], b.Digest[:])
	})
	return reports[:min(len(reports), maxReported)]
}

// MergeReports adds the evidence reported by a peer, replacing the peer's earlier reports about the same digests. The
// weight is reduced for requests that keep completing here: it is divided by 1 plus the number of recent completions
// above completionsToClear.
func (t *Table) MergeReports(peer ident.VM, reports []Report, now time.Time) {
	for _, r := range reports[:min(len(reports), maxReported)] {
		o := observation{peer: peer, weight: min(r.Weight, float64(r.Crashes)), crashes: r.Crashes, expires: now.Add(min(r.ExpiresIn, crashWindow))}
		// The comparison is written so that a NaN weight is rejected.
		if peer == "" || !(o.weight > 0) || !o.expires.After(now) {
			continue
		}
		o.weight /= float64(1 + max(0, t.completions.count(r.Digest, now)-completionsToClear))
		if e := t.evidenceFor(r.Digest, o.weight, now); e != nil && !e.clearedUntil.After(now) {
			e.add(o, now)
		}
	}
}

// RecordCompletion records that a call with the digest ended without a crash of the local target.
func (t *Table) RecordCompletion(d ident.Digest, now time.Time) {
	t.completions.add(d, now)
	e, ok := t.digests[d]
	if !ok || !e.clearedUntil.IsZero() {
		return
	}
	if e.completions++; e.completions >= completionsToClear {
		*e = evidence{clearedUntil: now.Add(crashWindow)}
		t.expires = now.Add(crashWindow)
	}
}

// HasCompleted reports whether the request has recently completed here.
func (t *Table) HasCompleted(d ident.Digest, now time.Time) bool {
	return t.completions.count(d, now) > 0
}

// HasEvidence reports whether the table holds evidence on any digest, or a digest that completions have cleared. If
// not, callers can skip computing the digest of each call. HasEvidence first clears a table in which all evidence has
// expired.
func (t *Table) HasEvidence(now time.Time) bool {
	if !t.expires.After(now) {
		clear(t.digests)
	}
	return len(t.digests) > 0
}

// IsQuarantined reports whether calls with the digest must be refused.
func (t *Table) IsQuarantined(d ident.Digest, now time.Time) bool {
	e, ok := t.digests[d]
	return ok && e.quarantinedUntil.After(now)
}

// minOwnShare is the mean share in its crashes from which a request is likely to be their cause.
const minOwnShare = 0.5

// IsLikelyCause reports whether the digest is quarantined and was in flight with few other calls. A popular request is in
// flight beside others when targets of many VMs crash at once, and its small shares add up to a quarantine. A Registry
// tells it from the cause in that case, by isolation.
func (t *Table) IsLikelyCause(d ident.Digest, now time.Time) bool {
	weight, crashes := t.Evidence(d, now)
	return t.IsQuarantined(d, now) && weight >= minOwnShare*float64(crashes)
}

// Evidence returns the total weight and number of the crashes that count against a digest.
func (t *Table) Evidence(d ident.Digest, now time.Time) (weight float64, crashes int) {
	e, ok := t.digests[d]
	if !ok {
		return 0, 0
	}
	return e.sum(now, func(observation) bool { return true })
}

// Len returns the number of digests in the table.
func (t *Table) Len() int { return len(t.digests) }

// evidenceFor returns the evidence on a digest, creating it if needed, and extends the time after which the table
// counts as empty. In a full table it evicts the digest with the weakest evidence, or returns nil when none is weaker
// than weight.
func (t *Table) evidenceFor(d ident.Digest, weight float64, now time.Time) *evidence {
	t.expires = now.Add(crashWindow)
	if e, ok := t.digests[d]; ok {
		return e
	}
	if len(t.digests) >= maxDigests {
		var weakest ident.Digest
		lowest := weight
		for k, e := range t.digests {
			if s := e.strength(now); s < lowest {
				weakest, lowest = k, s
			}
		}
		if lowest >= weight {
			return nil
		}
		delete(t.digests, weakest)
	}
	e := &evidence{}
	t.digests[d] = e
	return e
}

// add records an observation and starts a quarantine when the evidence suffices for one.
func (e *evidence) add(o observation, now time.Time) {
	e.clearedUntil = time.Time{}
	e.observations = slices.DeleteFunc(e.observations, func(other observation) bool {
		return !other.expires.After(now) || o.peer != "" && other.peer == o.peer
	})
	limit := maxLocalObservations
	if o.peer != "" {
		limit = maxPeerObservations
	}
	if e.count(o.peer != "") >= limit {
		i := slices.IndexFunc(e.observations, func(other observation) bool { return (other.peer != "") == (o.peer != "") })
		e.observations = slices.Delete(e.observations, i, i+1)
	}
	e.observations = append(e.observations, o)
	weight, crashes := e.sum(now, func(observation) bool { return true })
	if weight >= minQuarantineWeight-roundingTolerance && crashes >= minQuarantineCrashes && !e.quarantinedUntil.After(now) {
		e.quarantinedUntil = now.Add(e.quarantineDuration(weight, crashes))
	}
}

// quarantineDuration returns how long to quarantine the digest for the given evidence. It returns 0, which means no
// quarantine, when almost all of the weight comes from the target of one peer. That target may be at fault, and the
// request may complete here.
func (e *evidence) quarantineDuration(weight float64, crashes int) time.Duration {
	source, share := e.dominantSource()
	switch {
	case weight-share >= minOtherShare*weight:
		return crashWindow
	case source != "":
		return 0
	}
	return min(crashWindow, initialQuarantine<<(crashes-minQuarantineCrashes))
}

// dominantSource returns the source with the most weight, empty for the local target, and that weight.
func (e *evidence) dominantSource() (ident.VM, float64) {
	weights := map[ident.VM]float64{}
	for _, o := range e.observations {
		weights[o.peer] += o.weight
	}
	var source ident.VM
	for v, w := range weights {
		if w > weights[source] {
			source = v
		}
	}
	return source, weights[source]
}

// roundingTolerance makes up for floating-point errors in sums such as 15 x 1/10, which comes out below 1.5.
const roundingTolerance = 1e-9

// count returns the number of observations from peers, or the number from the local target.
func (e *evidence) count(peers bool) int {
	n := 0
	for _, o := range e.observations {
		if (o.peer != "") == peers {
			n++
		}
	}
	return n
}

// sum returns the total weight and crashes of the unexpired observations that match.
func (e *evidence) sum(now time.Time, match func(observation) bool) (weight float64, crashes int) {
	for _, o := range e.observations {
		if o.expires.After(now) && match(o) {
			weight += o.weight
			crashes += o.crashes
		}
	}
	return weight, crashes
}

// strength returns the weight by which entries are compared for eviction. For a quarantined digest it is at least
// minQuarantineWeight, so that the digest is not evicted before digests below that weight.
func (e *evidence) strength(now time.Time) float64 {
	w, _ := e.sum(now, func(observation) bool { return true })
	if e.quarantinedUntil.After(now) {
		return max(w, minQuarantineWeight)
	}
	return w
}

// report returns the evidence from the local target. It expires with the oldest of its crashes, so that peers never
// count a crash for longer than crashWindow.
func (e *evidence) report(d ident.Digest, now time.Time) Report {
	local := func(o observation) bool { return o.peer == "" }
	r := Report{Digest: d, ExpiresIn: crashWindow}
	r.Weight, r.Crashes = e.sum(now, local)
	for _, o := range e.observations {
		if local(o) && o.expires.After(now) {
			r.ExpiresIn = min(r.ExpiresIn, o.expires.Sub(now))
		}
	}
	return r
}
