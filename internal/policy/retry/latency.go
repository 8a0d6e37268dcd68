package retry

import (
	"slices"
	"time"
)

const (
	// latenciesKept is the window of the p95. It holds a second or less of the calls of a busy service.
	latenciesKept = 256
	// latenciesNeeded is how many answers a p95 needs; with fewer it would be the slowest but one or two.
	latenciesNeeded = 64
	// latenciesPerUpdate is after how many answers the p95 is computed again.
	latenciesPerUpdate = 16
)

// A Latency keeps the p95 of the latest answers of one service.
type Latency struct {
	kept  []time.Duration
	next  int
	added int
	p95   time.Duration
}

// Add takes the latency of an answer.
func (l *Latency) Add(d time.Duration) {
	if len(l.kept) < latenciesKept {
		l.kept = append(l.kept, d)
	} else {
		l.kept[l.next] = d
		l.next = (l.next + 1) % latenciesKept
	}
	if l.added++; l.added%latenciesPerUpdate == 0 && len(l.kept) >= latenciesNeeded {
		sorted := slices.Sorted(slices.Values(l.kept))
		l.p95 = sorted[len(sorted)*95/100]
	}
}

// P95 returns the p95, or false when there are too few answers.
func (l *Latency) P95() (time.Duration, bool) { return l.p95, l.p95 > 0 }
