package route

import (
	"math"
	"slices"
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/ident"
)

const (
	// reportDecay is the time constant with which the estimate of others' load moves to the service mean.
	reportDecay = 50 * time.Millisecond
	// latencyWeight is the weight of a new latency in the smoothed one of a target.
	latencyWeight = .1
	// latencyDecay is the time constant with which the latency of an unused target moves to that of the service.
	latencyDecay = 10 * time.Second
	// stragglerFactor is how many times slower than its siblings a straggler is.
	stragglerFactor = 4
	// stragglerAge is the least age of a call that makes a straggler. Below it, scheduling noise would.
	stragglerAge = 10 * time.Millisecond
	// unknownLimit replaces the age limit as long as no latency of the service is known.
	unknownLimit = time.Second
	// stragglerPenalty is added to the score of a straggler, in units of the service's latency.
	stragglerPenalty = 4
	// slowStart is how long the share of a new or restarted target ramps up.
	slowStart = 5 * time.Second
	// slowStartShare is the share at the beginning of the ramp.
	slowStartShare = .1
	// floorWindow is how long a shortest round trip counts.
	floorWindow = 10 * time.Second
)

// A state is what is known of one candidate.
type state struct {
	Candidate
	inFlight map[call.ID]flight
	// sent holds the attempts in the order of sending; those that have ended are removed from its front.
	sent []call.ID
	load call.Load
	// others is the estimate of the calls of other daemons at the time of the last report.
	others   float64
	heard    time.Time
	reported time.Time
	speed    speed
	probed   time.Time
	// probes counts the probes since the target was last known to take work.
	probes int
	// latency is smoothed, in seconds and without network distance, 0 when unknown.
	latency float64
	served  time.Time
	// pace is how many times longer than usual the target takes, smoothed, for the profile Near.
	pace float64
	// since is when the target joined or restarted, zero when it did before the table was made.
	since     time.Time
	draining  bool
	down      bool
	failures  int
	ejections int
	until     time.Time
	readmit   time.Duration
}

// A flight is an attempt that is under way: when it was sent and how long calls of its route usually take, or 0.
type flight struct {
	at    time.Time
	usual time.Duration
}

// A floor is the shortest round trip to a data centre in the current and the previous window.
type floor struct {
	current  time.Duration
	previous time.Duration
	since    time.Time
}

func (f *floor) add(d time.Duration, now time.Time) {
	if now.Sub(f.since) >= floorWindow {
		f.previous, f.current, f.since = f.current, d, now
		return
	}
	f.current = min(f.current, d)
}

func (f *floor) value() time.Duration {
	if f.previous == 0 {
		return f.current
	}
	return min(f.current, f.previous)
}

// learn takes the latency of an answered attempt.
func (t *Table) learn(s *state, latency time.Duration, now time.Time) {
	f, ok := t.floors[s.DataCentre]
	if !ok {
		f = &floor{current: latency, since: now}
		t.floors[s.DataCentre] = f
	}
	f.add(latency, now)
	run := max(0, latency-t.distance(s.DataCentre)).Seconds()
	s.latency = smooth(s.latency, run, latencyWeight)
	s.served = now
}

func smooth(old, value, weight float64) float64 {
	if old == 0 {
		return value
	}
	return old + weight*(value-old)
}

// distance returns the network round trip to a data centre beyond that to the nearest one. The fastest
// calls of a service take about as long on every target, so the rest of their round trips is distance.
func (t *Table) distance(d ident.DataCentre) time.Duration {
	f, ok := t.floors[d]
	if !ok {
		return 0
	}
	nearest := f.value()
	for _, other := range t.floors {
		nearest = min(nearest, other.value())
	}
	return f.value() - nearest
}

// A view is what all scores of one decision share.
type view struct {
	*Table
	now time.Time
	// load is the mean of others' calls per slot.
	load float64
	// latencies are the smoothed latencies of the targets, in order. Their median is the latency of
	// the service, which a straggler must not raise.
	latencies []float64
}

func (t *Table) view(now time.Time) view {
	v := view{Table: t, now: now, latencies: t.scratch[:0]}
	n := 0
	for _, s := range t.states {
		if !s.reported.IsZero() {
			v.load += s.others / s.limit()
			n++
		}
		if s.latency > 0 {
			v.latencies = append(v.latencies, s.latency)
		}
	}
	slices.Sort(v.latencies)
	t.scratch = v.latencies
	if n > 0 {
		v.load /= float64(n)
	}
	return v
}

// score is the expected cost of sending the next call to a candidate, in seconds.
func (v view) score(s *state) float64 {
	limit := s.limit()
	others := v.load * limit
	if !s.reported.IsZero() {
		others += (s.others - others) * math.Exp(-v.now.Sub(s.reported).Seconds()/reportDecay.Seconds())
	}
	busy := (float64(len(s.inFlight)) + others + 1) / limit
	if v.profile == Near {
		return v.near(s, busy)
	}
	score := busy/s.share(v.now)*v.latencyOf(s) + v.distance(s.DataCentre).Seconds()
	if v.straggles(s) {
		score += stragglerPenalty * v.unit()
	}
	return score
}

// unit is the latency of the service, or a small one as long as it is unknown.
func (v view) unit() float64 {
	if len(v.latencies) == 0 {
		return time.Millisecond.Seconds()
	}
	return v.latencies[(len(v.latencies)-1)/2]
}

func (v view) latencyOf(s *state) float64 {
	if s.latency == 0 {
		return v.unit()
	}
	return v.unit() + (s.latency-v.unit())*math.Exp(-v.now.Sub(s.served).Seconds()/latencyDecay.Seconds())
}

// straggles reports whether a target is slow but not dead: by its oldest call, before any
// of its answers shows it, or by its latency against that of its siblings.
func (v view) straggles(s *state) bool {
	if at, ok := s.oldest(); ok && v.now.Sub(at) > v.limit(s) {
		return true
	}
	return s.latency > 0 && len(v.latencies) > 2 && v.latencyOf(s) > stragglerFactor*v.siblings(s)
}

// limit is the age of a call in flight beyond which its target is a straggler.
func (v view) limit(s *state) time.Duration {
	if len(v.latencies) == 0 {
		return unknownLimit
	}
	return max(stragglerAge, time.Duration(stragglerFactor*v.unit()*float64(time.Second))) + v.distance(s.DataCentre)
}

// patience is how long a target may take before its silence counts as a failure.
func (t *Table) patience(s *state, now time.Time) time.Duration { return t.view(now).limit(s) }

// waited takes the age of an attempt without an answer: the latency would have been longer.
func (t *Table) waited(s *state, age time.Duration, now time.Time) {
	if run := (age - t.distance(s.DataCentre)).Seconds(); run > s.latency && s.latency > 0 {
		s.latency = smooth(s.latency, run, latencyWeight)
		s.served = now
	}
}

// siblings returns the median latency of the other targets of the service.
func (v view) siblings(s *state) float64 {
	middle := (len(v.latencies) - 1) / 2
	if s.latency <= v.latencies[middle] {
		middle++
	}
	return v.latencies[middle]
}

func (s *state) limit() float64 {
	switch {
	case s.load.Limit > 0:
		return float64(s.load.Limit)
	case s.Slots > 0:
		return float64(s.Slots)
	}
	return 1
}

// share returns how much of its full share a target gets.
func (s *state) share(now time.Time) float64 {
	if s.since.IsZero() {
		return 1
	}
	return min(1, slowStartShare+(1-slowStartShare)*now.Sub(s.since).Seconds()/slowStart.Seconds())
}

// report takes a load report. A new incarnation is a restarted daemon and a target that was down is a
// restarted one: both may be cold.
func (s *state) report(load call.Load, now time.Time) {
	if load.Incarnation.IsZero() {
		return
	}
	if load.Incarnation != s.load.Incarnation {
		if !s.load.Incarnation.IsZero() {
			s.since = now
		}
		s.draining = false
	}
	if s.load.Down && !load.Down {
		s.since = now
	}
	s.draining = s.draining || load.Draining
	s.down = false
	s.load, s.heard, s.reported = load, now, now
	if load.Slowness > 0 {
		s.speed = speed{float64(load.Slowness), load.SlowFor, now}
	}
	if !s.draining && !load.Down {
		s.probes = 0
	}
	s.others = max(0, float64(load.InFlight+load.Queued-len(s.inFlight)))
}

// isDown reports whether the VM of the target is down, or the target by its last report.
func (s *state) isDown() bool { return s.down || s.load.Down }

func (s *state) contact() time.Time {
	if s.probed.After(s.heard) {
		return s.probed
	}
	return s.heard
}

// oldest returns when the oldest attempt in flight was sent.
func (s *state) oldest() (time.Time, bool) {
	if len(s.sent) == 0 {
		return time.Time{}, false
	}
	return s.inFlight[s.sent[0]].at, true
}

func (s *state) trim() {
	for len(s.sent) > 0 {
		if _, ok := s.inFlight[s.sent[0]]; ok {
			return
		}
		s.sent = s.sent[1:]
	}
}
