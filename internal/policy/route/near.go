package route

import (
	"math"
	"time"

	"jacinthcross/internal/base/ident"
)

const (
	// crowding is what a full target adds to the score of a call that finds a free slot, in units of the service's latency.
	crowding = .1
	// remoteCost is what another data centre adds to the score. A call that waits this long for a target of the own
	// data centre costs its caller little, and saves the bytes between data centres.
	remoteCost = 60 * time.Millisecond
	// slowFrom is the slowness from which a target counts as slow.
	slowFrom = 1.5
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
	score += max(0, min(s.speed.slowRest(v.now).Seconds(), (s.speed.slowness-1)*unit))
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

// A speed is how slow a target has last said to be, and for how long it expected to stay so.
type speed struct {
	slowness float64
	slowFor  time.Duration
	at       time.Time
}

// slowRest returns for how long the target is still expected to be slow. What it said loses its value with the time
// that it named: spells last from a tenth of a second to many.
func (s speed) slowRest(now time.Time) time.Duration {
	if s.slowness < slowFrom || s.slowFor <= 0 {
		return 0
	}
	rest := float64(s.slowFor)
	return time.Duration(rest * math.Exp(-float64(now.Sub(s.at))/rest))
}

// restFrom is the rest of a slow spell from which a call is not sent to a target for its speed. A shorter one can be
// waited out there.
const restFrom = 100 * time.Millisecond

// Elsewhere returns the lowest slowness that a target other than one may have for some time, or 0 when there is no
// other. One that has not told its speed lately is taken to be fast: a call that it gives back tells.
func (t *Table) Elsewhere(target ident.Target, now time.Time) float64 {
	lowest := 0.
	for _, s := range t.states {
		if s.Target == target || s.draining || s.isDown() || s.ejected(now) {
			continue
		}
		slowness := 1.
		if s.speed.slowRest(now) >= restFrom {
			slowness = s.speed.slowness
		}
		if lowest == 0 || slowness < lowest {
			lowest = slowness
		}
	}
	return lowest
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
