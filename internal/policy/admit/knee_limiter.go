package admit

import "time"

const (
	// kneeShare is the fraction of the slots up to which a target runs at full speed on the platform.
	kneeShare = 0.8
	// kneeRatio is how many times slower calls must run above kneeShare for the limit to be lowered. At 1.25 the
	// throughput is the same with all slots as with four fifths of them.
	kneeRatio = 1.25
	// minKneeSamples is the number of runs needed both below and above kneeShare before the two are compared.
	minKneeSamples = 12
	// kneeSmoothing is the weight of a new run in a moving average. The first 1/kneeSmoothing runs have equal weight.
	kneeSmoothing = 0.05
)

// A kneeLimiter allows all declared slots, unless the latency curve of the target has a knee: it slows down when
// more than kneeShare of the slots are in use.
type kneeLimiter struct {
	slots int
	// belowAverage and aboveAverage are mean relative durations. belowAverage covers the calls that ran with at most
	// reducedLimit calls in flight, and aboveAverage those that ran with more. The relative duration of a run is its
	// duration divided by the mean of its route.
	belowAverage, aboveAverage movingAverage
	meanServiceTime            float64 // moving average, in nanoseconds
}

type movingAverage struct {
	value float64
	count int
}

func (m *movingAverage) add(v float64) {
	m.count++
	m.value += max(kneeSmoothing, 1/float64(m.count)) * (v - m.value)
}

func newKneeLimiter(slots int) *kneeLimiter { return &kneeLimiter{slots: max(slots, 1)} }

func (k *kneeLimiter) reducedLimit() int { return max(1, int(kneeShare*float64(k.slots))) }

// addSample records the service time and the relative duration of a run during which at most inFlight calls were in
// flight.
func (k *kneeLimiter) addSample(serviceTime time.Duration, relativeDuration float64, inFlight int) {
	if k.meanServiceTime == 0 {
		k.meanServiceTime = float64(serviceTime)
	}
	k.meanServiceTime += recentSmoothing * (float64(serviceTime) - k.meanServiceTime)
	if inFlight > k.reducedLimit() {
		k.aboveAverage.add(relativeDuration)
	} else {
		k.belowAverage.add(relativeDuration)
	}
}

// current returns reducedLimit once calls have been found to run more than kneeRatio times slower above it, and all
// slots otherwise.
func (k *kneeLimiter) current() int {
	if k.belowAverage.count >= minKneeSamples && k.aboveAverage.count >= minKneeSamples && k.aboveAverage.value > kneeRatio*k.belowAverage.value {
		return k.reducedLimit()
	}
	return k.slots
}
