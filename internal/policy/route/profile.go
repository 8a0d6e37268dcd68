package route

import "time"

// A Profile says whether tail latency or the cost of measuring has more weight.
type Profile string

// The profiles.
const (
	// Tail samples three candidates and allows one probe per 20 calls.
	Tail Profile = "Tail"
	// Cost samples two candidates and allows one probe per 100 calls.
	Cost Profile = "Cost"
	// Near compares all candidates and keeps calls in the own data centre while its targets have room.
	Near Profile = "Near"
)

func (p Profile) samples() int {
	switch p {
	case Cost:
		return 2
	case Near:
		return candidateCap
	case Tail:
	}
	return 3
}

func (p Profile) probesPerCall() float64 {
	switch p {
	case Cost:
		return 1. / 100
	case Near, Tail:
	}
	return 1. / 20
}

// probeRate is the bytes per second that probes may use. The daemon has 5 KB/s for all control messages.
func (p Profile) probeRate() float64 {
	if p == Cost {
		return 512
	}
	return 2048
}

const (
	// probeBytes is the largest size of a probe with its answer, stream frames and packet headers.
	probeBytes = 512
	// probeAge is how long a candidate may be silent while calls flow before it is probed.
	probeAge = 250 * time.Millisecond
	// maxProbeDoublings bounds how often that time doubles while a candidate does not answer: 8 s.
	maxProbeDoublings = 5
	// maxProbeTokens bounds the probes that a long time without probes allows at once.
	maxProbeTokens = 4
)

// A Budget is the token bucket of the probes of a daemon. It starts empty, so that neither a start
// nor a partition allows more probes than the calls and the time before have earned.
type Budget struct {
	profile Profile
	tokens  float64
	bytes   float64
	last    time.Time
}

// NewBudget returns an empty Budget.
func NewBudget(p Profile) *Budget { return &Budget{profile: p} }

// Called counts a call, which earns a part of a probe.
func (b *Budget) Called(now time.Time) {
	b.advance(now)
	b.tokens = min(maxProbeTokens, b.tokens+b.profile.probesPerCall())
}

// Take reports whether a probe may be sent now, and pays for it.
func (b *Budget) Take(now time.Time) bool {
	b.advance(now)
	if b.tokens < 1 || b.bytes < probeBytes {
		return false
	}
	b.tokens--
	b.bytes -= probeBytes
	return true
}

func (b *Budget) advance(now time.Time) {
	if b.last.IsZero() {
		b.last = now
	}
	if !now.After(b.last) {
		return
	}
	b.bytes = min(b.profile.probeRate(), b.bytes+b.profile.probeRate()*now.Sub(b.last).Seconds())
	b.last = now
}
