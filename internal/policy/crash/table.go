package crash

import (
	"slices"
	"time"

	"jacinthcross/internal/base/ident"
)

const (
	// window is how long a crash counts, and how long a quarantine lasts that crashes of several targets prove.
	window = 60 * time.Second
	// firstHold is how long the first quarantine lasts that rests on crashes of the own target alone. A target may
	// crash for reasons of its own, or lose its connections, while calls of one popular request are in flight. Each
	// later crash within the window doubles the time, up to the window: a request that does crash the target runs a
	// few times in the first minute and then once a minute.
	firstHold = 5 * time.Second
	// A digest is quarantined with this blame from this many crashes. One crash is never enough,
	// since a target may crash for reasons of its own while a single call is in flight.
	blameLimit = 1.5
	crashLimit = 2
	// cleanLimit is the number of clean completions after which a digest loses its blame, and after which crashes of
	// other targets do not count against it until the window is over: a request that completes on one target and
	// was in flight at crashes of another one is no proof that it brought them about.
	cleanLimit = 3
	// secondShare is the part of the weight that targets other than the one that blames most must bear out. Less is that
	// of a popular request, of which one copy is in flight at most crashes.
	secondShare = 0.1
	// maxDigests bounds the table and maxReported the entries of one message.
	maxDigests  = 1024
	maxReported = 8
	// maxMarks bounds the crashes and maxPeers the peers that are remembered per digest. A request
	// among ten in flight needs 15 crashes to be recognised.
	maxMarks = 16
	maxPeers = 8
)

// A mark is the evidence of one source: of one crash of the own target, or the sum that a peer reported.
type mark struct {
	from    ident.VM // empty for the own target
	weight  float64
	crashes int
	expires time.Time
}

type evidence struct {
	marks []mark
	clean int
	until time.Time // end of the quarantine
	// cleared is how long the reports of peers do not count.
	cleared time.Time
}

// A Table holds the blame of requests for crashes of the targets of one service.
type Table struct {
	digests map[ident.Digest]*evidence
	// recent are the completions at the own target.
	recent recent
	// expires is when nothing in the table counts any more.
	expires time.Time
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{digests: map[ident.Digest]*evidence{}} }

// Crashed blames the calls that were in flight when the own target crashed, given by their digests. A request that has
// completed here n times of late gets one in n+1 parts of its blame: popular requests are in flight at many crashes.
// It returns the first-hand evidence to send to peers, strongest first. What peers reported is
// not passed on, so that no crash counts twice.
func (t *Table) Crashed(inFlight []ident.Digest, now time.Time) []Blame {
	weights := map[ident.Digest]float64{}
	for _, d := range inFlight {
		weights[d] += 1 / float64(len(inFlight)) / float64(1+t.recent.of(d, now))
	}
	var reports []Blame
	for d, w := range weights {
		e := t.entry(d, w, now)
		if e == nil {
			continue
		}
		e.clean = 0
		e.add(mark{weight: w, crashes: 1, expires: now.Add(window)}, now)
		reports = append(reports, e.report(d, now))
	}
	slices.SortFunc(reports, func(a, b Blame) int {
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

// Merge takes the evidence of a peer. It replaces what the same peer reported before. A request that goes on completing
// here is no proof against itself: beyond cleanLimit, each completion takes a part of the peer's blame.
func (t *Table) Merge(from ident.VM, blames []Blame, now time.Time) {
	for _, b := range blames[:min(len(blames), maxReported)] {
		m := mark{from: from, weight: min(b.Weight, float64(b.Crashes)), crashes: b.Crashes, expires: now.Add(min(b.Expires, window))}
		// The comparison is false for a weight that is not a number.
		if from == "" || !(m.weight > 0) || !m.expires.After(now) {
			continue
		}
		m.weight /= float64(1 + max(0, t.recent.of(b.Digest, now)-cleanLimit))
		if e := t.entry(b.Digest, m.weight, now); e != nil && !e.cleared.After(now) {
			e.add(m, now)
		}
	}
}

// Completed notes that a call with the digest ended without a crash.
func (t *Table) Completed(d ident.Digest, now time.Time) {
	t.recent.add(d, now)
	e, ok := t.digests[d]
	if !ok || !e.cleared.IsZero() {
		return
	}
	if e.clean++; e.clean >= cleanLimit {
		*e = evidence{cleared: now.Add(window)}
		t.expires = now.Add(window)
	}
}

// Active reports whether the table has to be asked. Without it each call that arrives would pay for its digest.
func (t *Table) Active(now time.Time) bool {
	if !t.expires.After(now) {
		clear(t.digests)
	}
	return len(t.digests) > 0
}

// Quarantined reports whether a call with the digest must not run.
func (t *Table) Quarantined(d ident.Digest, now time.Time) bool {
	e, ok := t.digests[d]
	return ok && e.until.After(now)
}

// Len returns the number of digests with evidence.
func (t *Table) Len() int { return len(t.digests) }

// entry returns the evidence on a digest. In a full table a new digest displaces the
// weakest one, and gets no entry when none is weaker.
func (t *Table) entry(d ident.Digest, weight float64, now time.Time) *evidence {
	t.expires = now.Add(window)
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

func (e *evidence) add(m mark, now time.Time) {
	e.cleared = time.Time{}
	e.marks = slices.DeleteFunc(e.marks, func(o mark) bool {
		return !o.expires.After(now) || m.from != "" && o.from == m.from
	})
	limit := maxMarks
	if m.from != "" {
		limit = maxPeers
	}
	if e.count(m.from != "") >= limit {
		i := slices.IndexFunc(e.marks, func(o mark) bool { return (o.from != "") == (m.from != "") })
		e.marks = slices.Delete(e.marks, i, i+1)
	}
	e.marks = append(e.marks, m)
	weight, crashes := e.sum(now, func(mark) bool { return true })
	if weight >= blameLimit-rounding && crashes >= crashLimit && !e.until.After(now) {
		e.until = now.Add(e.hold(weight, crashes))
	}
}

// hold returns how long a quarantine lasts that rests on a weight. Crashes of one other target are no reason for one:
// that target may be at fault, and the request may complete here.
func (e *evidence) hold(weight float64, crashes int) time.Duration {
	from, most := e.strongest()
	switch {
	case weight-most >= secondShare*weight:
		return window
	case from != "":
		return 0
	}
	return min(window, firstHold<<(crashes-crashLimit))
}

// strongest returns the source of most of the weight, and its part.
func (e *evidence) strongest() (ident.VM, float64) {
	weights := map[ident.VM]float64{}
	for _, m := range e.marks {
		weights[m.from] += m.weight
	}
	var from ident.VM
	for v, w := range weights {
		if w > weights[from] {
			from = v
		}
	}
	return from, weights[from]
}

// rounding allows for sums of fractions such as 15 x 1/10, which floating point makes less than 1.5.
const rounding = 1e-9

// count returns the number of marks from peers, or of those from the own target.
func (e *evidence) count(peers bool) int {
	n := 0
	for _, m := range e.marks {
		if (m.from != "") == peers {
			n++
		}
	}
	return n
}

func (e *evidence) sum(now time.Time, of func(mark) bool) (weight float64, crashes int) {
	for _, m := range e.marks {
		if m.expires.After(now) && of(m) {
			weight += m.weight
			crashes += m.crashes
		}
	}
	return weight, crashes
}

// strength orders the evidence by what is lost with it. A quarantine is never the weakest.
func (e *evidence) strength(now time.Time) float64 {
	w, _ := e.sum(now, func(mark) bool { return true })
	if e.until.After(now) {
		return max(w, blameLimit)
	}
	return w
}

// report returns the first-hand evidence. It expires with its oldest crash, so that a peer never counts too much.
func (e *evidence) report(d ident.Digest, now time.Time) Blame {
	own := func(m mark) bool { return m.from == "" }
	b := Blame{Digest: d, Expires: window}
	b.Weight, b.Crashes = e.sum(now, own)
	for _, m := range e.marks {
		if own(m) && m.expires.After(now) {
			b.Expires = min(b.Expires, m.expires.Sub(now))
		}
	}
	return b
}
