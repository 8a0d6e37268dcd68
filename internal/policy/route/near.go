package route

import (
	"math"
	"time"

	"jacinthcross/internal/base/ident"
)

const (
	// utilizationPenalty is the penalty of a fully utilized target, as a multiple of the service's latency. At
	// lower utilization it is proportionally smaller.
	utilizationPenalty = .1
	// maxRemotePenalty is the largest penalty that is added to the score of targets in other data centres, and that of
	// calls of unknown size. Waiting this long for a target in the local data centre costs the caller little and saves traffic between data
	// centres.
	maxRemotePenalty = 60 * time.Millisecond
	// The penalty is baseRemotePenalty, for the round trip and about 1 KB of headers and messages between daemons, and
	// remotePenaltyPerByte for each byte of the bodies that calls of the route usually move: the traffic between data
	// centres is paid by the byte.
	baseRemotePenalty    = 20 * time.Millisecond
	remotePenaltyPerByte = 8 * time.Microsecond
	// slowThreshold is the slowness at or above which a target counts as slow.
	slowThreshold = 1.5
	// latencyRatioWeight is the weight of a new answer in the smoothed latency ratio of a target. maxLatencyRatio
	// caps the ratio of one answer, because a single very late answer says little about the target, which may not
	// have caused the delay.
	latencyRatioWeight = .05
	maxLatencyRatio    = 4
	// overdueFactor is the multiple of the usual latency after which a call in flight is overdue and adds
	// stragglerPenalty to the score of its target.
	overdueFactor = 4
)

// nearScore returns the score of a candidate under ProfileNear, in seconds. It adds up a penalty for utilization and
// the expected wait for a slot, the extra time due to a slow period, the excess of the latency ratio, the penalty for
// another data centre and the penalty for an overdue call. Calls to one service differ in length, so the latency
// ratio and the age of calls are relative to the usual latency of the same route.
//
// The wait follows from the calls in flight while the last report is fresh, and from the usual load of the data centre
// once it is old.
func (sc scorer) nearScore(s *candidateState, limit float64) float64 {
	serviceLatency := sc.serviceLatency()
	fresh, usual := sc.reportWeight(s), sc.centreUtilization(s.DataCentre)
	otherCalls := fresh*s.otherCalls + (1-fresh)*usual*limit
	utilization := (float64(len(s.inFlight)) + otherCalls + 1) / limit
	score := utilizationPenalty*min(1, utilization)*serviceLatency + serviceLatency*max(0, utilization-1)
	score += (1 - fresh) * queueWait(usual, limit) * serviceLatency
	score += max(0, min(s.slowPeriod.remaining(sc.now).Seconds(), (s.slowPeriod.slowness-1)*serviceLatency))
	if s.latencyRatio > 1 {
		score += (s.latencyRatio - 1) * serviceLatency
	}
	if s.DataCentre != sc.dataCentre {
		score += sc.remotePenalty
	}
	if s.isCold(sc.now) {
		score += coldPenalty.Seconds()
	}
	if s.hasOverdueCall(sc.now) {
		score += stragglerPenalty * serviceLatency
	}
	return score
}

// remotePenalty returns the penalty of a target in another data centre for calls of a size, in seconds.
func remotePenalty(size int) float64 {
	if size == UnknownSize {
		return maxRemotePenalty.Seconds()
	}
	return min(maxRemotePenalty, baseRemotePenalty+time.Duration(size)*remotePenaltyPerByte).Seconds()
}

// A slowPeriod is the last reported slowness of a target, and how long its daemon expected that slowness to last.
type slowPeriod struct {
	slowness         float64
	expectedDuration time.Duration
	reportedAt       time.Time
}

// remaining returns how much longer the target is expected to be slow. The value decays exponentially with
// expectedDuration as time constant, since slow periods last from a tenth of a second to many seconds.
func (s slowPeriod) remaining(now time.Time) time.Duration {
	if s.slowness < slowThreshold || s.expectedDuration <= 0 {
		return 0
	}
	timeConstant := float64(s.expectedDuration)
	return time.Duration(timeConstant * math.Exp(-float64(now.Sub(s.reportedAt))/timeConstant))
}

// minRemainingSlowTime is how much longer a slow period must be expected to last for LowestSlownessExcept to count the
// target as slow. Calls can wait at the target for the end of a shorter period.
const minRemainingSlowTime = 100 * time.Millisecond

// LowestSlownessExcept returns the lowest slowness among the other available targets, or 0 if there are none. A
// target without a recent slowness report counts as 1: if the target is slow, its daemon refuses the call, which is
// then redirected, and reports the slowness.
func (t *Table) LowestSlownessExcept(target ident.Target, now time.Time) float64 {
	lowest := 0.
	for _, s := range t.states {
		if s.Target == target || s.draining || s.isDown() || s.isEjected(now) {
			continue
		}
		slowness := 1.
		if s.slowPeriod.remaining(now) >= minRemainingSlowTime {
			slowness = s.slowPeriod.slowness
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
