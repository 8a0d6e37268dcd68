package route

import (
	"math"
	"slices"
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/ident"
)

const (
	// reportDecay is the time constant with which the load estimate for a target converges to the mean of the
	// service.
	reportDecay = 50 * time.Millisecond
	// latencyWeight is the weight of a new sample in the smoothed latency of a target.
	latencyWeight = .1
	// latencyDecay is the time constant with which the latency of an unused target converges to the latency of the
	// service.
	latencyDecay = 10 * time.Second
	// stragglerFactor is the multiple of the median latency of the other targets above which a target is a straggler.
	stragglerFactor = 4
	// minStragglerTimeout is the least age at which a call in flight marks its target as a straggler. A younger call
	// may only be delayed by the scheduler.
	minStragglerTimeout = 10 * time.Millisecond
	// defaultStragglerTimeout applies while no latency of the service is known.
	defaultStragglerTimeout = time.Second
	// stragglerPenalty is added to the score of a straggler, in units of the service's latency.
	stragglerPenalty = 4
	// slowStartWindow is how long a new or restarted target takes to reach its full share of calls.
	slowStartWindow = 5 * time.Second
	// initialSlowStartShare is the fraction of its share that a target gets at the start of that window.
	initialSlowStartShare = .1
	// minLatencyWindow is the length of the two windows over which the minimum latency is taken.
	minLatencyWindow = 10 * time.Second
)

// A candidateState holds what the daemon knows of one candidate.
type candidateState struct {
	Candidate
	inFlight map[call.ID]pendingAttempt
	// sendOrder lists attempts in the order they were sent. Finished ones are removed from the front.
	sendOrder []call.ID
	load      call.Load
	// otherCalls is the estimated number of calls from other daemons at otherCallsAt, the time of the last load
	// report. otherCallsAt is zero if there is no estimate, which is also the case after ClearTransientState.
	otherCalls   float64
	lastReport   time.Time
	otherCallsAt time.Time
	slowPeriod   slowPeriod
	coldState
	lastProbe time.Time
	// probes counts the probes since the target last reported that it accepts calls.
	probes int
	// latency is the smoothed latency in seconds, minus the extra round-trip time to its data centre (see extraRTT).
	// It is 0 if unknown.
	latency   float64
	latencyAt time.Time
	// latencyRatio is the smoothed ratio of the target's latency to the usual one, for ProfileNear.
	latencyRatio float64
	// slowStartBeganAt is when the slow start of the target began, or zero if it has had none.
	slowStartBeganAt     time.Time
	draining             bool
	vmUnreachable        bool
	consecutiveFailures  int
	ejections            int
	ejectedUntil         time.Time
	lastEjectionDuration time.Duration
}

// A pendingAttempt is an attempt in flight. usualLatency is the usual latency of calls on its route, or 0.
type pendingAttempt struct {
	sentAt       time.Time
	usualLatency time.Duration
}

// A minLatency tracks the minimum latency of calls to a data centre over the current and the previous window.
type minLatency struct {
	current     time.Duration
	previous    time.Duration
	windowStart time.Time
}

func (m *minLatency) add(d time.Duration, now time.Time) {
	if now.Sub(m.windowStart) >= minLatencyWindow {
		m.previous, m.current, m.windowStart = m.current, d, now
		return
	}
	m.current = min(m.current, d)
}

func (m *minLatency) value() time.Duration {
	if m.previous == 0 {
		return m.current
	}
	return min(m.current, m.previous)
}

// recordLatency adds the latency of an answered attempt.
func (t *Table) recordLatency(s *candidateState, latency time.Duration, now time.Time) {
	lowest, ok := t.minLatencies[s.DataCentre]
	if !ok {
		lowest = &minLatency{current: latency, windowStart: now}
		t.minLatencies[s.DataCentre] = lowest
	}
	lowest.add(latency, now)
	adjustedLatency := max(0, latency-t.extraRTT(s.DataCentre)).Seconds()
	s.latency = smooth(s.latency, adjustedLatency, latencyWeight)
	s.latencyAt = now
}

// smooth returns the exponential moving average after a new value. An old average of 0 means that there is none yet.
func smooth(old, value, weight float64) float64 {
	if old == 0 {
		return value
	}
	return old + weight*(value-old)
}

// extraRTT returns how much longer the network round trip to a data centre is than to the nearest one. The
// fastest calls of a service take about as long on every target, so differences in the minimum latency are
// due to the network.
func (t *Table) extraRTT(d ident.DataCentre) time.Duration {
	lowest, ok := t.minLatencies[d]
	if !ok {
		return 0
	}
	nearest := lowest.value()
	for _, other := range t.minLatencies {
		nearest = min(nearest, other.value())
	}
	return lowest.value() - nearest
}

// A scorer holds the values that the scores of all candidates in one decision share.
type scorer struct {
	*Table
	now time.Time
	// meanOtherLoad is the mean number of calls from other daemons per slot.
	meanOtherLoad float64
	// latencies are the smoothed latencies of the targets, sorted. The latency of the service is their median,
	// so that a straggler does not raise it.
	latencies []float64
	// remotePenalty is what a target in another data centre costs, in seconds.
	remotePenalty float64
}

func (t *Table) newScorer(now time.Time) scorer {
	sc := scorer{Table: t, now: now, latencies: t.latencyBuffer[:0]}
	reports := 0
	for _, s := range t.states {
		if !s.otherCallsAt.IsZero() {
			sc.meanOtherLoad += s.otherCalls / s.concurrencyLimit()
			reports++
		}
		if s.latency > 0 {
			sc.latencies = append(sc.latencies, s.latency)
		}
	}
	slices.Sort(sc.latencies)
	t.latencyBuffer = sc.latencies
	if reports > 0 {
		sc.meanOtherLoad /= float64(reports)
	}
	return sc
}

// score returns the expected cost of sending the next call to a candidate, in seconds.
func (sc scorer) score(s *candidateState) float64 {
	limit := sc.effectiveLimit(s)
	if sc.profile == ProfileNear {
		return sc.nearScore(s, limit)
	}
	otherCalls := sc.meanOtherLoad * limit
	otherCalls += (s.otherCalls - otherCalls) * sc.reportWeight(s)
	utilization := (float64(len(s.inFlight)) + otherCalls + 1) / limit
	score := utilization/s.slowStartShare(sc.now)*sc.targetLatency(s) + sc.extraRTT(s.DataCentre).Seconds()
	if sc.isStraggler(s) {
		score += stragglerPenalty * sc.serviceLatency()
	}
	return score
}

// reportWeight returns the weight of the last load report of a target in the estimate of its load, from 1 for one that has
// just arrived to 0 for none.
func (sc scorer) reportWeight(s *candidateState) float64 {
	if s.otherCallsAt.IsZero() {
		return 0
	}
	return math.Exp(-sc.now.Sub(s.otherCallsAt).Seconds() / reportDecay.Seconds())
}

// serviceLatency returns the latency of the service, or 1 ms while it is unknown.
func (sc scorer) serviceLatency() float64 {
	if len(sc.latencies) == 0 {
		return time.Millisecond.Seconds()
	}
	return sc.latencies[(len(sc.latencies)-1)/2]
}

func (sc scorer) targetLatency(s *candidateState) float64 {
	if s.latency == 0 {
		return sc.serviceLatency()
	}
	return sc.serviceLatency() + (s.latency-sc.serviceLatency())*math.Exp(-sc.now.Sub(s.latencyAt).Seconds()/latencyDecay.Seconds())
}

// isStraggler reports whether a target is up but much slower than the others. It checks the age of the target's
// oldest call in flight, which shows the slowness even before that call is answered, and the target's latency
// relative to the other targets.
func (sc scorer) isStraggler(s *candidateState) bool {
	if at, ok := s.oldestSentAt(); ok && sc.now.Sub(at) > sc.stragglerTimeout(s) {
		return true
	}
	return s.latency > 0 && len(sc.latencies) > 2 && sc.targetLatency(s) > stragglerFactor*sc.otherTargetsLatency(s)
}

// stragglerTimeout returns the age of a call in flight above which its target is a straggler.
func (sc scorer) stragglerTimeout(s *candidateState) time.Duration {
	if len(sc.latencies) == 0 {
		return defaultStragglerTimeout
	}
	return max(minStragglerTimeout, time.Duration(stragglerFactor*sc.serviceLatency()*float64(time.Second))) + sc.extraRTT(s.DataCentre)
}

// failureTimeout returns the time without an answer after which an attempt counts as a failure.
func (t *Table) failureTimeout(s *candidateState, now time.Time) time.Duration {
	return t.newScorer(now).stragglerTimeout(s)
}

// recordUnanswered moves the smoothed latency towards the age of an attempt without an answer, if that age is
// greater. The answer would have taken at least that long.
func (t *Table) recordUnanswered(s *candidateState, age time.Duration, now time.Time) {
	if adjustedAge := (age - t.extraRTT(s.DataCentre)).Seconds(); adjustedAge > s.latency && s.latency > 0 {
		s.latency = smooth(s.latency, adjustedAge, latencyWeight)
		s.latencyAt = now
	}
}

// otherTargetsLatency returns the median latency of the other targets of the service. At least two latencies must be
// known.
func (sc scorer) otherTargetsLatency(s *candidateState) float64 {
	middle := (len(sc.latencies) - 1) / 2
	if s.latency <= sc.latencies[middle] {
		middle++
	}
	return sc.latencies[middle]
}

func (s *candidateState) concurrencyLimit() float64 {
	switch {
	case s.load.Limit > 0:
		return float64(s.load.Limit)
	case s.Slots > 0:
		return float64(s.Slots)
	}
	return 1
}

// slowStartShare returns the fraction of its full share of calls that a target gets now.
func (s *candidateState) slowStartShare(now time.Time) float64 {
	if s.slowStartBeganAt.IsZero() {
		return 1
	}
	return min(1, initialSlowStartShare+(1-initialSlowStartShare)*now.Sub(s.slowStartBeganAt).Seconds()/slowStartWindow.Seconds())
}

// applyReport applies a load report. A new incarnation means that the daemon has restarted. A target that was
// down and is up again has probably restarted, too. In both cases the target may be cold and goes through slow start.
func (s *candidateState) applyReport(load call.Load, now time.Time) {
	if load.Incarnation.IsZero() {
		return
	}
	if load.Incarnation != s.load.Incarnation {
		if !s.load.Incarnation.IsZero() {
			s.slowStartBeganAt = now
		}
		s.draining = false
	}
	if s.load.Down && !load.Down {
		s.slowStartBeganAt = now
	}
	s.draining = s.draining || load.Draining
	s.vmUnreachable = false
	s.load, s.lastReport, s.otherCallsAt = load, now, now
	if load.Slowness > 0 {
		s.slowPeriod = slowPeriod{float64(load.Slowness), load.ExpectedSlowDuration, now}
	}
	if !s.draining && !load.Down {
		s.probes = 0
	}
	s.applyColdTime(load.UntilWarm, now)
	s.otherCalls = max(0, float64(load.InFlight+load.Queued-len(s.inFlight)))
}

// isDown reports whether the VM of the target is unreachable or the target was down in its last report.
func (s *candidateState) isDown() bool { return s.vmUnreachable || s.load.Down }

func (s *candidateState) lastContact() time.Time {
	if s.lastProbe.After(s.lastReport) {
		return s.lastProbe
	}
	return s.lastReport
}

// oldestSentAt returns when the oldest attempt in flight was sent.
func (s *candidateState) oldestSentAt() (time.Time, bool) {
	if len(s.sendOrder) == 0 {
		return time.Time{}, false
	}
	return s.inFlight[s.sendOrder[0]].sentAt, true
}

func (s *candidateState) trimSendOrder() {
	for len(s.sendOrder) > 0 {
		if _, ok := s.inFlight[s.sendOrder[0]]; ok {
			return
		}
		s.sendOrder = s.sendOrder[1:]
	}
}
