package crash

import (
	"slices"
	"time"

	"jacinthcross/internal/base/ident"
)

const (
	// minSuspectCrashes is the number of crashes after which a request is a suspect. A target runs at most one call of a
	// suspect at a time, so that the next crash tells which of several requests that were in flight together causes
	// them, and the others complete.
	minSuspectCrashes = 2
	// minRepeatedCrashes is the number of crashes after which a request is quarantined, if one of them is confirmed. The
	// number does not depend on how many calls were in flight.
	minRepeatedCrashes = 3
	// firstRepeatQuarantine is the duration of the quarantine after minRepeatedCrashes crashes. Each further crash
	// multiplies it by quarantineGrowth, up to maxRepeatQuarantine. A request that crashes targets thus runs at most three
	// more times within a day (see NeedsTrial), and one that no longer crashes them is served again after ten minutes.
	firstRepeatQuarantine = 10 * time.Minute
	quarantineGrowth      = 5
	maxRepeatQuarantine   = 24 * time.Hour
	// minCrashInterval is the minimum time between two crashes of a target that count. A process takes longer to start;
	// something between the daemon and a target can close its connections again and again.
	minCrashInterval = 500 * time.Millisecond
	// tallyLifetime is how long a tally counts after its last crash. It exceeds maxRepeatQuarantine, so that the first
	// crash after a quarantine starts the next one.
	tallyLifetime = 25 * time.Hour
	// maxRecords limits the requests of a Registry, maxOrigins the tallies of one request, and maxTallies those of one
	// message to peers. A crash concerns at most as many requests as the target has slots.
	maxRecords = 1024
	maxOrigins = 32
	maxTallies = 64
)

type requestKey struct {
	service ident.Service
	digest  ident.Digest
}

// A Registry counts, for the requests of all services, the crashes of targets during which they were in flight, as
// observed by this daemon and by others. In contrast to the weight in a Table, the count of a request does not depend on
// the number of calls in flight beside it.
type Registry struct {
	origin  ident.Incarnation
	records map[requestKey]record
	// lastCrash is when the last crash of the local target was counted.
	lastCrash time.Time
	// suspects is the number of records that are suspects.
	suspects int
}

// NewRegistry returns an empty Registry of this daemon process.
func NewRegistry() *Registry {
	return &Registry{origin: ident.NewIncarnation(), records: map[requestKey]record{}}
}

// An InFlight is a request that was in flight during a crash.
type InFlight struct {
	Digest ident.Digest
	// Isolated is true if the request was a suspect when it was dispatched, so that the target ran no other suspect.
	Isolated bool
}

// RecordCrash counts a crash of the local target against the requests in flight, except those for which completesHere
// returns true: a request that has recently completed on this target does not crash every target that runs it. It
// returns the tallies to send to peers, those of suspects first.
func (r *Registry) RecordCrash(service ident.Service, inFlight []InFlight, completesHere func(ident.Service, ident.Digest) bool, now time.Time) []Tally {
	if now.Sub(r.lastCrash) < minCrashInterval {
		return nil
	}
	r.lastCrash = now
	r.prune(now)
	var counted, suspects, isolated []requestKey
	for _, q := range inFlight {
		k := requestKey{service, q.Digest}
		if completesHere(service, q.Digest) {
			continue
		}
		if !slices.Contains(counted, k) {
			counted = append(counted, k)
			if r.records[k].isSuspect(now) {
				suspects = append(suspects, k)
			}
		}
		if q.Isolated {
			isolated = append(isolated, k)
		}
	}
	for _, k := range counted {
		y := r.tally(k, r.origin, now)
		y.crashes++
		y.lastCrash = now
		if len(suspects) == 1 && slices.Contains(isolated, k) {
			y.confirmed = y.crashes
		}
	}
	r.countSuspects(now)
	return r.collect(counted, now)
}

// RecordCompletion clears a request that has completed. It returns the tallies to send to peers, which are none unless
// the request was a suspect.
func (r *Registry) RecordCompletion(service ident.Service, d ident.Digest, now time.Time) []Tally {
	k := requestKey{service, d}
	all, ok := r.records[k]
	if !ok {
		return nil
	}
	suspect := all.isSuspect(now)
	all.clear()
	if !suspect {
		return nil
	}
	r.countSuspects(now)
	return r.collect([]requestKey{k}, now)
}

// Merge adds the tallies of a peer. It clears suspects for which completesHere returns true: what crashed other targets
// was another request beside them, or the targets themselves. It returns the tallies to pass on: those of the requests
// that are or were suspects and about which the peer knew more, and those of requests that it does not know to be cleared.
func (r *Registry) Merge(tallies []Tally, completesHere func(ident.Service, ident.Digest) bool, now time.Time) []Tally {
	var changed []requestKey
	for _, y := range tallies[:min(len(tallies), maxTallies)] {
		if !y.valid() {
			continue
		}
		k := requestKey{y.Service, y.Digest}
		before, known := r.records[k].isSuspect(now), r.tally(k, y.Origin, now)
		peerLacksClear := known.cleared > y.Cleared
		learned := known.merge(y, now) && (before || r.records[k].isSuspect(now))
		if (learned || peerLacksClear) && !slices.Contains(changed, k) {
			changed = append(changed, k)
		}
	}
	for _, k := range changed {
		if completesHere(k.service, k.digest) {
			r.records[k].clear()
		}
	}
	r.countSuspects(now)
	return r.collect(changed, now)
}

// HasSuspects reports whether any request is a suspect. If not, callers can skip computing the digest of each call.
func (r *Registry) HasSuspects() bool { return r.suspects > 0 }

// IsSuspect reports whether a target may run a call of the request only while it runs no other call of a suspect.
func (r *Registry) IsSuspect(service ident.Service, d ident.Digest, now time.Time) bool {
	return r.HasSuspects() && r.records[requestKey{service, d}].isSuspect(now)
}

// IsQuarantined reports whether calls with the digest must be refused.
func (r *Registry) IsQuarantined(service ident.Service, d ident.Digest, now time.Time) bool {
	return r.HasSuspects() && r.Standing(service, d, now).Quarantine > 0
}

// A Standing is what a Registry knows of a request.
type Standing struct {
	Crashes   int
	Confirmed bool
	// Quarantine is how long calls of the request are still refused.
	Quarantine time.Duration
}

// Standing returns what is known of a request.
func (r *Registry) Standing(service ident.Service, d ident.Digest, now time.Time) Standing {
	crashes, confirmed, last := r.records[requestKey{service, d}].standing(now)
	s := Standing{Crashes: crashes, Confirmed: confirmed}
	if crashes >= minRepeatedCrashes && confirmed {
		s.Quarantine = max(0, last.Add(repeatQuarantine(crashes)).Sub(now))
	}
	return s
}

// repeatQuarantine returns the duration of the quarantine after the given number of crashes.
func repeatQuarantine(crashes int) time.Duration {
	d := firstRepeatQuarantine
	for n := minRepeatedCrashes; n < crashes && d < maxRepeatQuarantine; n++ {
		d *= quarantineGrowth
	}
	return min(d, maxRepeatQuarantine)
}

// Suspects returns the tallies of all suspects, for a peer that may not have received them.
func (r *Registry) Suspects(now time.Time) []Tally {
	var keys []requestKey
	if r.HasSuspects() {
		for k, all := range r.records {
			if all.isSuspect(now) {
				keys = append(keys, k)
			}
		}
	}
	return r.collect(keys, now)
}

// Len returns the number of requests in the registry.
func (r *Registry) Len() int { return len(r.records) }

// collect returns the tallies of the given requests, up to maxTallies. Suspects come first with the tallies of all
// origins; of other requests peers need only what was counted here.
func (r *Registry) collect(keys []requestKey, now time.Time) []Tally {
	var suspects, others []Tally
	for _, k := range keys {
		all := r.records[k]
		suspect := all.isSuspect(now)
		for origin, y := range all {
			t := Tally{k.service, k.digest, origin, y.crashes, y.confirmed, y.cleared, now.Sub(y.lastCrash)}
			switch {
			case suspect || y.cleared > 0:
				suspects = append(suspects, t)
			case origin == r.origin:
				others = append(others, t)
			}
		}
	}
	suspects = append(suspects, others...)
	return suspects[:min(len(suspects), maxTallies)]
}

// tally returns the tally of a request and origin, creating it if needed.
func (r *Registry) tally(k requestKey, origin ident.Incarnation, now time.Time) *tally {
	all, ok := r.records[k]
	if !ok {
		if len(r.records) >= maxRecords {
			r.evict(now)
		}
		all = record{}
		r.records[k] = all
	}
	y, ok := all[origin]
	if !ok {
		if len(all) >= maxOrigins {
			all.evict()
		}
		y = &tally{}
		all[origin] = y
	}
	return y
}

// evict removes the request with the fewest crashes, and of several such requests the one with the oldest crash.
func (r *Registry) evict(now time.Time) {
	var weakest requestKey
	fewest, oldest := -1, time.Time{}
	for k, all := range r.records {
		crashes, _, _ := all.standing(now)
		if last := all.lastCrash(); fewest < 0 || crashes < fewest || crashes == fewest && last.Before(oldest) {
			weakest, fewest, oldest = k, crashes, last
		}
	}
	delete(r.records, weakest)
}

// evict removes the tally with the oldest crash.
func (r record) evict() {
	var origin ident.Incarnation
	var oldest time.Time
	for o, y := range r {
		if oldest.IsZero() || y.lastCrash.Before(oldest) {
			origin, oldest = o, y.lastCrash
		}
	}
	delete(r, origin)
}

// prune removes the requests whose tallies have all expired.
func (r *Registry) prune(now time.Time) {
	for k, all := range r.records {
		if now.Sub(all.lastCrash()) >= tallyLifetime {
			delete(r.records, k)
		}
	}
}

func (r *Registry) countSuspects(now time.Time) {
	r.suspects = 0
	for _, all := range r.records {
		if all.isSuspect(now) {
			r.suspects++
		}
	}
}
