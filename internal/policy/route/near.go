package route

import (
	"math"
	"time"

	"jacinthcross/internal/base/ident"
)

const (
	// utilizationPenalty is added in proportion to the utilization of a target, up to this value at full
	// utilization, in units of the service's latency.
	utilizationPenalty = .1
	// remotePenalty is added to the score of targets in other data centres. Waiting this long for a target in
	// the local data centre costs the caller little and saves traffic between data centres.
	remotePenalty = 60 * time.Millisecond
	// slowThreshold is the slowness at or above which a target counts as slow.
	slowThreshold = 1.5
	// latencyRatioWeight is the weight of a new answer in the smoothed latency ratio of a target.
	// maxLatencyRatio caps the ratio of one answer, because an answer that waited for its caller says little
	// about the target.
	latencyRatioWeight = .05
	maxLatencyRatio    = 4
	// overdueFactor is the multiple of the usual latency after which a call in flight marks its target as a
	// straggler.
	overdueFactor = 4
)

// nearScore returns the score of a candidate under the Near profile, in seconds. It adds up the expected wait
// for a slot, the remaining slow period, the latency ratio and the distance. Calls of one service differ in
// length, so the latency ratio and the age of calls are relative to the usual latency of the same route.
func (v view) nearScore(s *candidateState, utilization float64) float64 {
	unit := v.serviceLatency()
	score := utilizationPenalty*min(1, utilization)*unit + unit*max(0, utilization-1)
	score += max(0, min(s.slow.remaining(v.now).Seconds(), (s.slow.slowness-1)*unit))
	if s.latencyRatio > 1 {
		score += (s.latencyRatio - 1) * unit
	}
	if s.DataCentre != v.dataCentre {
		score += remotePenalty.Seconds()
	}
	if s.hasOverdueCall(v.now) {
		score += stragglerPenalty * unit
	}
	return score
}

// A slowPeriod is the slowness that a target last reported, and how long it expected to stay that slow.
type slowPeriod struct {
	slowness   float64
	slowFor    time.Duration
	reportedAt time.Time
}

// remaining returns how much longer the target is expected to be slow. The value decays exponentially with the
// reported duration as time constant, since slow periods last from a tenth of a second to many seconds.
func (s slowPeriod) remaining(now time.Time) time.Duration {
	if s.slowness < slowThreshold || s.slowFor <= 0 {
		return 0
	}
	announced := float64(s.slowFor)
	return time.Duration(announced * math.Exp(-float64(now.Sub(s.reportedAt))/announced))
}

// minSlowPeriod is the remaining slow period at or above which a call avoids a target for its slowness.
// Shorter periods can be waited out at the target.
const minSlowPeriod = 100 * time.Millisecond

// LowestSlownessExcept returns the lowest slowness among the other available targets, or 0 if there are none. A target
// without a recent slowness report counts as fast: if it is slow, it returns the call and reports its
// slowness.
func (t *Table) LowestSlownessExcept(target ident.Target, now time.Time) float64 {
	lowest := 0.
	for _, s := range t.states {
		if s.Target == target || s.draining || s.isDown() || s.isEjected(now) {
			continue
		}
		slowness := 1.
		if s.slow.remaining(now) >= minSlowPeriod {
			slowness = s.slow.slowness
		}
		if lowest == 0 || slowness < lowest {
			lowest = slowness
		}
	}
	return lowest
}

// hasOverdueCall reports whether a call in flight takes much longer than calls of its route usually do.
func (s *candidateState) hasOverdueCall(now time.Time) bool {
	for _, a := range s.inFlight {
		if a.usualLatency > 0 && now.Sub(a.sentAt) > max(minStragglerTimeout, overdueFactor*a.usualLatency) {
			return true
		}
	}
	return false
}

// recordLatencyRatio updates the smoothed ratio of the target's latency to the usual latency of the route.
func (s *candidateState) recordLatencyRatio(latency, usualLatency time.Duration) {
	if usualLatency > 0 {
		s.latencyRatio = smooth(s.latencyRatio, min(maxLatencyRatio, latency.Seconds()/usualLatency.Seconds()), latencyRatioWeight)
	}
}
