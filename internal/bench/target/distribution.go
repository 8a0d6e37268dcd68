package target

import (
	"math"
	"math/rand/v2"
	"time"
)

// A Distribution of service times is Fixed, Exponential or LogNormal.
type Distribution interface{ distribution() }

// A Fixed distribution always yields Time.
type Fixed struct{ Time time.Duration }

// An Exponential distribution has the given mean.
type Exponential struct{ Mean time.Duration }

// A LogNormal distribution has the given median. Sigma is the standard deviation of the logarithm.
type LogNormal struct {
	Median time.Duration
	Sigma  float64
}

func (Fixed) distribution()       {}
func (Exponential) distribution() {}
func (LogNormal) distribution()   {}

// Sample draws a service time.
func Sample(d Distribution, r *rand.Rand) time.Duration {
	switch d := d.(type) {
	case Fixed:
		return d.Time
	case Exponential:
		return time.Duration(r.ExpFloat64() * float64(d.Mean))
	case LogNormal:
		return time.Duration(float64(d.Median) * math.Exp(d.Sigma*r.NormFloat64()))
	}
	return 0
}

// A Noise is a noisy neighbour, which multiplies the service times of the target by Factor in some periods.
type Noise struct {
	Period time.Duration
	// Share is the share of periods that are slow.
	Share  float64
	Factor float64
}

// factor returns the slowdown at a time since the start. It depends only on the seed and the number of the period.
func (n Noise) factor(seed uint64, since time.Duration) float64 {
	if n.Period <= 0 {
		return 1
	}
	if rand.New(rand.NewPCG(seed, uint64(since/n.Period))).Float64() < n.Share {
		return n.Factor
	}
	return 1
}

// A ColdStart multiplies the service times of a target by Factor for Duration after its start.
type ColdStart struct {
	Duration time.Duration
	Factor   float64
}

func (c ColdStart) factor(since time.Duration) float64 {
	if since < c.Duration {
		return c.Factor
	}
	return 1
}
