package retry

import (
	"slices"
	"time"
)

const (
	// latencyWindowSize is the number of answers that the p95 covers. A busy service has as many within a second.
	latencyWindowSize = 256
	// minLatencies is the minimum number of answers for a p95. With fewer, it would depend on the slowest one
	// or two.
	minLatencies = 64
	// answersPerUpdate is the number of answers after which the p95 is recomputed.
	answersPerUpdate = 16
)

// A LatencyWindow tracks the p95 latency of the most recent answers of one service.
type LatencyWindow struct {
	samples []time.Duration
	next    int
	count   int
	p95     time.Duration
}

// Add records the latency of an answer.
func (l *LatencyWindow) Add(d time.Duration) {
	if len(l.samples) < latencyWindowSize {
		l.samples = append(l.samples, d)
	} else {
		l.samples[l.next] = d
		l.next = (l.next + 1) % latencyWindowSize
	}
	if l.count++; l.count%answersPerUpdate == 0 && len(l.samples) >= minLatencies {
		sorted := slices.Sorted(slices.Values(l.samples))
		l.p95 = sorted[len(sorted)*95/100]
	}
}

// P95 returns the p95 latency, or false if there are too few answers.
func (l *LatencyWindow) P95() (time.Duration, bool) { return l.p95, l.p95 > 0 }
