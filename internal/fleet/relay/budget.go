package relay

import "time"

// Limits on the control traffic of a daemon: the design target of 5 KB/s, with a burst of one full-size snapshot.
const (
	controlBytesPerSecond = 5_000
	controlBurstBytes     = 1_000_000
)

// A Budget is a token bucket for control bytes. Small messages are always sent and are charged to it;
// notes and snapshots are sent or requested only while tokens are left.
type Budget struct {
	tokens     float64
	refilledAt time.Time
}

// NewBudget returns a full Budget.
func NewBudget(now time.Time) *Budget { return &Budget{tokens: controlBurstBytes, refilledAt: now} }

// Spend charges bytes to the budget. The balance may become negative, down to minus one burst.
func (b *Budget) Spend(bytes int, now time.Time) {
	b.refill(now)
	b.tokens = max(b.tokens-float64(bytes), -controlBurstBytes)
}

// Available reports whether a note or a snapshot may be sent or requested now.
func (b *Budget) Available(now time.Time) bool {
	b.refill(now)
	return b.tokens > 0
}

func (b *Budget) refill(now time.Time) {
	if now.After(b.refilledAt) {
		b.tokens = min(controlBurstBytes, b.tokens+controlBytesPerSecond*now.Sub(b.refilledAt).Seconds())
		b.refilledAt = now
	}
}

// directReadInterval is the minimum time between two direct reads by one daemon. With 1,800 daemons this
// is at most 180 reads/s; the configuration service allows 2,000.
const directReadInterval = 10 * time.Second

// A ReadLimiter limits the rate of direct reads from the configuration service.
type ReadLimiter struct {
	used bool
	last time.Time
}

// Wait returns the time until the next direct read is allowed.
func (g *ReadLimiter) Wait(now time.Time) time.Duration {
	if !g.used {
		return 0
	}
	return max(0, directReadInterval-now.Sub(g.last))
}

// Allow reports whether a direct read may start now, and records it if so.
func (g *ReadLimiter) Allow(now time.Time) bool {
	if g.Wait(now) > 0 {
		return false
	}
	g.used, g.last = true, now
	return true
}
