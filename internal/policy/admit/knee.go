package admit

import "time"

const (
	// kneeShare is the part of the slots up to which a target runs at its full speed, on the users' platform.
	kneeShare = 0.8
	// kneeRatio is how much slower calls must run above that part for it to be worth keeping free. At 1.25 as
	// many calls end per second with all slots as with four fifths of them.
	kneeRatio = 1.25
	// kneeSamples is how many runs on each side are needed for a verdict.
	kneeSamples   = 12
	kneeSmoothing = 0.05
)

// A knee is a limiter that trusts the number of slots, up to the point above which the target slows down.
type knee struct {
	slots int
	// below and above are the mean stretch of the calls that ran with few and with many others.
	below, above mean
	work         float64
}

type mean struct {
	value float64
	n     int
}

func (m *mean) add(v float64) {
	m.n++
	m.value += max(kneeSmoothing, 1/float64(m.n)) * (v - m.value)
}

func newKnee(slots int) *knee { return &knee{slots: max(slots, 1)} }

func (k *knee) lower() int { return max(1, int(kneeShare*float64(k.slots))) }

// sample takes the work and the stretch of a run that had at most n calls in flight.
func (k *knee) sample(work time.Duration, stretch float64, n int) {
	if k.work == 0 {
		k.work = float64(work)
	}
	k.work += recentSmoothing * (float64(work) - k.work)
	if n > k.lower() {
		k.above.add(stretch)
	} else {
		k.below.add(stretch)
	}
}

func (k *knee) current() int {
	if k.below.n >= kneeSamples && k.above.n >= kneeSamples && k.above.value > kneeRatio*k.below.value {
		return k.lower()
	}
	return k.slots
}
