package route

import "time"

// A Profile selects the trade-off between tail latency and the cost of probes and of traffic between data
// centres.
type Profile string

const (
	// ProfileTail compares three random candidates per call and allows one probe per 20 calls.
	ProfileTail Profile = "Tail"
	// ProfileCost compares two random candidates per call and allows one probe per 100 calls.
	ProfileCost Profile = "Cost"
	// ProfileNear compares all candidates and keeps calls in the local data centre while its targets have free slots.
	ProfileNear Profile = "Near"
)

func (p Profile) sampleSize() int {
	switch p {
	case ProfileCost:
		return 2
	case ProfileNear:
		return maxCandidates
	case ProfileTail:
	}
	return 3
}

func (p Profile) probesPerCall() float64 {
	switch p {
	case ProfileCost:
		return 1. / 100
	case ProfileNear, ProfileTail:
	}
	return 1. / 20
}

// probeBytesPerSecond returns the bandwidth that probes may use. The limit for all control messages of a
// daemon is 5 KB/s.
func (p Profile) probeBytesPerSecond() float64 {
	if p == ProfileCost {
		return 512
	}
	return 2048
}

const (
	// maxProbeBytes is the largest size of a probe and its answer, including stream frames and packet headers.
	maxProbeBytes = 512
	// probeInterval is the time since the last load report or probe of a candidate before NextProbe may choose it. It
	// doubles with each probe until a report shows that the target accepts calls.
	probeInterval = 250 * time.Millisecond
	// maxProbeDoublings bounds the exponential backoff of probes to a candidate that does not report that it accepts
	// calls, to 8 s.
	maxProbeDoublings = 5
	// maxProbeTokens bounds the burst of probes after a long time without probes.
	maxProbeTokens = 4
)

// A ProbeBudget is the token bucket for the probes of a daemon. It starts empty, so that neither a restart nor a
// partition allows more probes than have accrued from calls and elapsed time.
type ProbeBudget struct {
	profile    Profile
	tokens     float64
	bytes      float64
	lastRefill time.Time
}

// NewProbeBudget returns an empty ProbeBudget.
func NewProbeBudget(p Profile) *ProbeBudget { return &ProbeBudget{profile: p} }

// RecordCall counts a call, which earns a fraction of a probe.
func (b *ProbeBudget) RecordCall(now time.Time) {
	b.refill(now)
	b.tokens = min(maxProbeTokens, b.tokens+b.profile.probesPerCall())
}

// Take reports whether a probe may be sent now. If so, it deducts the probe from the budget.
func (b *ProbeBudget) Take(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 || b.bytes < maxProbeBytes {
		return false
	}
	b.tokens--
	b.bytes -= maxProbeBytes
	return true
}

func (b *ProbeBudget) refill(now time.Time) {
	if b.lastRefill.IsZero() {
		b.lastRefill = now
	}
	if !now.After(b.lastRefill) {
		return
	}
	b.bytes = min(b.profile.probeBytesPerSecond(), b.bytes+b.profile.probeBytesPerSecond()*now.Sub(b.lastRefill).Seconds())
	b.lastRefill = now
}
