package route

import "time"

const (
	// failuresToEject is the number of consecutive failures after which a target is ejected.
	failuresToEject = 5
	// baseEjectionTime is the duration of the first ejection. The duration doubles with each further ejection, up to
	// maxEjectionTime.
	baseEjectionTime = time.Second
	maxEjectionTime  = 30 * time.Second
	// ejectionJitter is the largest random extension of an ejection, as a fraction of its duration. It keeps daemons
	// from returning to a target all at once.
	ejectionJitter = .25
)

// recordFailure counts a failure and ejects the target after failuresToEject in a row, unless too many are
// ejected already.
func (t *Table) recordFailure(s *candidateState, now time.Time) {
	s.consecutiveFailures++
	if s.consecutiveFailures < failuresToEject || s.isEjected(now) || t.ejectedCount(now) >= t.maxEjections() {
		return
	}
	duration := min(maxEjectionTime, baseEjectionTime<<min(s.ejections, 10))
	duration += time.Duration(ejectionJitter * t.random.Float64() * float64(duration))
	s.ejections++
	s.ejectedUntil, s.lastEjectionDuration = now.Add(duration), duration
	// One more failure after readmission ejects the target again.
	s.consecutiveFailures = failuresToEject - 1
}

func (t *Table) ejectedCount(now time.Time) int {
	count := 0
	for _, s := range t.states {
		if s.isEjected(now) {
			count++
		}
	}
	return count
}

// limitEjections readmits targets while more than maxEjections are ejected, starting with the target whose ejection
// ends soonest. It is called when the candidates have changed.
func (t *Table) limitEjections(now time.Time) {
	for t.ejectedCount(now) > t.maxEjections() {
		var next *candidateState
		for _, s := range t.states {
			if s.isEjected(now) && (next == nil || s.ejectedUntil.Before(next.ejectedUntil)) {
				next = s
			}
		}
		next.ejectedUntil = now
	}
}

// maxEjections returns how many candidates may be ejected at once.
func (t *Table) maxEjections() int {
	candidates := len(t.states)
	if candidates == 2 {
		return 1
	}
	return candidates / 3
}

func (s *candidateState) isEjected(now time.Time) bool { return now.Before(s.ejectedUntil) }

// recordSuccess marks the VM of the target as reachable and resets the count of consecutive failures. If more time has
// passed since the end of the last ejection than that ejection lasted, it also resets the count of ejections, so that
// the next ejection is short again.
func (s *candidateState) recordSuccess(now time.Time) {
	s.consecutiveFailures = 0
	s.vmUnreachable = false
	if now.Sub(s.ejectedUntil) > s.lastEjectionDuration {
		s.ejections = 0
	}
}
