package admit

import (
	"slices"
	"time"
)

const (
	// measurementTTL is how long a measurement of the target's slowness is valid. Slow periods of a VM last about 100
	// ms and make up about a third of the time, so in about one of 50 cases a slow period begins while a measurement is
	// valid.
	measurementTTL = 5 * time.Millisecond
	// measureInterval is the time between measurements while calls are held because the target is slow.
	measureInterval = 10 * time.Millisecond
	// measureTimeout is how long calls wait for a measurement before they are dispatched without one.
	measureTimeout = 30 * time.Millisecond
	// measureRate and measureBurst limit the measurements per second. The platform allows 60 per second and target.
	measureRate  = 45
	measureBurst = 30
	// slowThreshold is how many times slower than its baseline a target must be to count as slow. A target whose
	// baseline is at least this counts as persistently slow.
	slowThreshold = 1.5
	// baselineWindow is the period over which the baseline is the lowest slowness. minBaselineSpan is the time that
	// the measurements in the window must span before the baseline may rise. On a target that is slow for a third of
	// the time, one in 200 uninterrupted series of slow periods lasts that long, and the target is mistaken for a
	// persistently slow one.
	baselineWindow  = 1200 * time.Millisecond
	minBaselineSpan = 800 * time.Millisecond
	// maxColdBaseline limits the baseline of a target that has just started until it has been measured for
	// minBaselineSpan. On the platform, targets run at half their speed then, which is a slowness of 2.
	maxColdBaseline = 3
	// redirectCost is the extra time to start a call at another target: the round trip between daemons on slow
	// VMs.
	redirectCost = 20 * time.Millisecond
	// minRedirectSpeedup is how many times faster another target must be for calls to avoid a persistently slow
	// one. A target at half its speed is still used, since the others may not have slots for its calls.
	minRedirectSpeedup = 2.5
	// defaultServiceTime is the assumed service time for a route of which no call has ended yet.
	defaultServiceTime = 100 * time.Millisecond
	// initialSlowPeriod is the expected length of a slow period before one has been observed.
	initialSlowPeriod = 100 * time.Millisecond
	// If the average length of slow periods is at least longSlowPeriod, that average is reported to other daemons. If
	// it is shorter, shortSlowPeriod is reported, since calls wait at the target until a short period ends. Reporting
	// periods of 50 to 100 ms at their average length sent calls to more distant and fuller targets. In a benchmark
	// of a day of calls, where an answer after its soft deadline counts for less, this lowered the total value of the
	// answers by 1%.
	longSlowPeriod  = 200 * time.Millisecond
	shortSlowPeriod = 75 * time.Millisecond
	// slowPeriodSmoothing is the weight of a new slow period in the average length.
	slowPeriodSmoothing = 0.2
)

// A measurement is a slowness reported by the target at some time.
type measurement struct {
	at       time.Time
	slowness float64
}

// A slownessTracker tracks how slow the target's VM is, as reported by the target. Other workloads on the host
// make it slow for short periods, and a call that starts in one takes several times as long.
type slownessTracker struct {
	// enabled means that measurements are asked for. It is cleared when the target reports no slowness, and set
	// again when it reports one.
	enabled    bool
	slowness   float64
	measuredAt time.Time
	// requestedAt is when the last measurement was requested, or zero if it has arrived.
	requestedAt time.Time
	// tokens and refilledAt are the token bucket that keeps measurements within measureRate.
	tokens     float64
	refilledAt time.Time
	// baseline is the lowest recent slowness of the target. It is at least slowThreshold for a persistently slow
	// target, such as one that has just started. measurements holds the measurements of the last baselineWindow.
	baseline     float64
	measurements []measurement
	// persistentlySlowSince is when the baseline reached slowThreshold, or zero if it is below.
	persistentlySlowSince time.Time
	coldUntil             time.Time
	// slowPeriodStart is when the current slow period began, or zero outside of one. usualSlowPeriod is the
	// average length of slow periods.
	slowPeriodStart time.Time
	usualSlowPeriod time.Duration
}

func newSlownessTracker() slownessTracker {
	return slownessTracker{slowness: 1, baseline: 1, tokens: measureBurst, usualSlowPeriod: initialSlowPeriod}
}

// WithSlownessMeasurement makes the gate ask for the slowness of the target from the first call on.
func WithSlownessMeasurement() Option { return func(g *Gate) { g.tracker.enabled = true } }

// RecordSlowness records the slowness reported by the target: the factor by which work takes longer than usual, or 0
// if the target reports none.
func (g *Gate) RecordSlowness(slowness float64, now time.Time) {
	s := &g.tracker
	s.requestedAt = time.Time{}
	if slowness <= 0 {
		s.enabled = false
		return
	}
	s.enabled, s.slowness, s.measuredAt = true, slowness, now
	s.updateBaseline(now)
	switch slow := s.slow(); {
	case slow && s.slowPeriodStart.IsZero():
		s.slowPeriodStart = now
	case !slow && !s.slowPeriodStart.IsZero():
		s.usualSlowPeriod += time.Duration(slowPeriodSmoothing * float64(now.Sub(s.slowPeriodStart)-s.usualSlowPeriod))
		s.slowPeriodStart = time.Time{}
	}
}

// SetColdUntil sets the time until which a target that has just started is expected to be slow.
func (g *Gate) SetColdUntil(until time.Time) { g.tracker.coldUntil = until }

// slow reports whether the target is slow relative to its baseline.
func (s *slownessTracker) slow() bool { return s.slowness >= slowThreshold*s.baseline }

// updateBaseline updates the baseline with the last measurement.
func (s *slownessTracker) updateBaseline(now time.Time) {
	s.measurements = append(s.measurements, measurement{now, s.slowness})
	expired := 0
	for now.Sub(s.measurements[expired].at) > baselineWindow {
		expired++
	}
	s.measurements = slices.Delete(s.measurements, 0, expired)
	lowest := s.slowness
	for _, r := range s.measurements {
		lowest = min(lowest, r.slowness)
	}
	switch {
	case lowest < s.baseline, now.Sub(s.measurements[0].at) >= minBaselineSpan:
		s.baseline = lowest
	case now.Before(s.coldUntil):
		s.baseline = min(lowest, maxColdBaseline)
	}
	s.baseline = max(1, s.baseline)
	switch slow := s.baseline >= slowThreshold; {
	case slow && s.persistentlySlowSince.IsZero():
		s.persistentlySlowSince = now
	case !slow:
		s.persistentlySlowSince = time.Time{}
	}
}

// ExpectedSlowDuration returns how long the target is expected to stay slow, counted from its last measurement. A
// persistently slow target is expected to stay slow for as long as it has been slow so far, and for at least
// minBaselineSpan. The result is 0 for a target that is not slow, or that is as slow as its baseline during a cold
// start (see SetColdUntil).
func (g *Gate) ExpectedSlowDuration(now time.Time) time.Duration {
	s := &g.tracker
	switch {
	case !s.enabled || s.slowness < slowThreshold:
		return 0
	case s.slow() && s.usualSlowPeriod < longSlowPeriod:
		return shortSlowPeriod
	case s.slow():
		return s.usualSlowPeriod
	case now.Before(s.coldUntil):
		return 0
	}
	return max(minBaselineSpan, now.Sub(s.persistentlySlowSince))
}

// fasterElsewhere reports whether this target is persistently slow and another target may be so much faster that the
// call ends earlier there, even with the time for the redirection. A target that has just started does not count as
// slow: targets that were started together need each other's slots.
func (s *slownessTracker) fasterElsewhere(q *queuedCall, now time.Time) bool {
	elsewhere := max(1, q.MinOtherSlowness)
	if !s.enabled || q.MinOtherSlowness <= 0 || s.baseline < minRedirectSpeedup*elsewhere || now.Before(s.coldUntil) {
		return false
	}
	serviceTime := q.serviceTime
	if serviceTime == 0 {
		serviceTime = time.Duration(s.baseline * float64(defaultServiceTime))
	}
	return time.Duration(float64(serviceTime)*(1-elsewhere/s.baseline)) > redirectCost
}

// Slowness returns the last reported slowness and when it was reported.
func (g *Gate) Slowness() (float64, time.Time) { return g.tracker.slowness, g.tracker.measuredAt }

// measurementUpToDate reports whether a call can start without a new measurement: the last measurement is still
// valid, or the target reports no slowness.
func (s *slownessTracker) measurementUpToDate(now time.Time) bool {
	return !s.enabled || now.Sub(s.measuredAt) <= measurementTTL
}

// measurementPending reports whether a measurement was requested and has neither arrived nor timed out.
func (s *slownessTracker) measurementPending(now time.Time) bool {
	return !s.requestedAt.IsZero() && now.Sub(s.requestedAt) < measureTimeout
}

// tryRequestMeasurement reports whether a measurement may be requested now, and if so counts it as requested.
func (s *slownessTracker) tryRequestMeasurement(now time.Time) bool {
	if s.measurementPending(now) {
		return false
	}
	if !s.refilledAt.IsZero() {
		s.tokens = min(measureBurst, s.tokens+measureRate*now.Sub(s.refilledAt).Seconds())
	}
	s.refilledAt = now
	if s.tokens < 1 {
		return false
	}
	s.tokens--
	s.requestedAt = now
	return true
}

// nextCheck returns when the gate must check again whether calls that wait for a measurement or for the end of a slow
// period may start.
func (s *slownessTracker) nextCheck(now time.Time) time.Time {
	if s.measurementPending(now) {
		return s.requestedAt.Add(measureTimeout)
	}
	return now.Add(measureInterval)
}

// slowPeriodEstimate returns how long a call may have to wait for the end of the current slow period, as assumed by
// decideStart. This is the usual length of slow periods or, once the period has lasted more than three times as long,
// the time elapsed so far: such a period has another cause, such as a cold start, and may go on for as long again.
// ExpectedSlowDuration, in contrast, is the estimate that is reported to other daemons.
func (s *slownessTracker) slowPeriodEstimate(now time.Time) time.Duration {
	elapsed := now.Sub(s.slowPeriodStart)
	if elapsed > 3*s.usualSlowPeriod {
		return elapsed
	}
	return s.usualSlowPeriod
}

// A startDecision says when a call may start.
type startDecision string

const (
	startNow startDecision = "Now"
	// startAfterMeasurement means that the call may start once the target's slowness has been measured.
	startAfterMeasurement startDecision = "Measured"
	// startLater means not now: the call waits for the end of the slow period, or until it is redirected.
	startLater startDecision = "Later"
)

// decideStart returns when a call may start, given that a slot is free. In a slow period a call is held if it would
// end earlier by starting after the period, or at another target.
func (g *Gate) decideStart(q *queuedCall, now time.Time) startDecision {
	s := &g.tracker
	switch {
	case !s.enabled || q.Route == "":
		return startNow
	case !s.measurementUpToDate(now):
		if s.requestedAt.IsZero() || now.Sub(s.requestedAt) < measureTimeout {
			return startAfterMeasurement
		}
		return startNow
	case q.redirectable() && s.fasterElsewhere(q, now):
		return startLater
	case !s.slow():
		return startNow
	}
	serviceTime := q.serviceTime
	if serviceTime == 0 {
		serviceTime = defaultServiceTime
	}
	extraTime := time.Duration(float64(serviceTime) * (s.slowness/s.baseline - 1))
	if q.redirectable() && extraTime > redirectCost || extraTime > s.slowPeriodEstimate(now) {
		return startLater
	}
	return startNow
}
