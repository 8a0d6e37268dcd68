package route

import (
	"math"
	"time"
)

const (
	// crowding is what a full target adds to the score of a call that finds a free slot, in units of the service's latency.
	crowding = .1
	// remoteCost is what another data centre adds to the score. A call that waits this long for a target of the own
	// data centre costs its caller little, and saves the bytes between data centres.
	remoteCost = 60 * time.Millisecond
	// slowFrom is the slowness from which a target counts as slow, and slowDecay the time constant with which a
	// report of it loses its value: spells last about a tenth of a second.
	slowFrom  = 1.5
	slowDecay = 75 * time.Millisecond
	// paceSmoothing weighs a new answer in the pace of a target, and maxPace bounds the answer: one that waited for
	// its caller says little of the target.
	paceSmoothing = .05
	maxPace       = 4
	// overdue is how many times longer than usual a call may take before its target counts as a straggler.
	overdue = 4
)

// near scores a candidate for the profile Near, in seconds: the wait for a slot, the rest of a slow spell, the
// pace, and the distance. The calls of a service differ in length, so that pace and age are judged against what
// calls of the same route usually take.
func (v view) near(s *state, busy float64) float64 {
	unit := v.unit()
	score := crowding*min(1, busy)*unit + unit*max(0, busy-1)
	if s.load.Slowness >= slowFrom {
		score += slowDecay.Seconds() * math.Exp(-v.now.Sub(s.reported).Seconds()/slowDecay.Seconds())
	}
	if s.pace > 1 {
		score += (s.pace - 1) * unit
	}
	if s.DataCentre != v.dataCentre {
		score += remoteCost.Seconds()
	}
	if s.overdue(v.now) {
		score += stragglerPenalty * unit
	}
	return score
}

// overdue reports whether a call in flight takes much longer than calls of its route usually do.
func (s *state) overdue(now time.Time) bool {
	for _, f := range s.inFlight {
		if f.usual > 0 && now.Sub(f.at) > max(stragglerAge, overdue*f.usual) {
			return true
		}
	}
	return false
}

// keepPace takes how many times longer than usual an answer took.
func (s *state) keepPace(took, usual time.Duration) {
	if usual > 0 {
		s.pace = smooth(s.pace, min(maxPace, took.Seconds()/usual.Seconds()), paceSmoothing)
	}
}
