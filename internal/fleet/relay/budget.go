package relay

import "time"

// Bounds of the control bytes of a daemon: the design's 5 KB/s, with a burst of one snapshot.
const (
	controlRate  = 5_000
	controlBurst = 1_000_000
)

// A Budget is a token bucket of control bytes. Small messages are always sent and counted;
// notes and snapshots wait until the Budget is not used up.
type Budget struct {
	tokens float64
	at     time.Time
}

// NewBudget returns a full Budget.
func NewBudget(now time.Time) *Budget { return &Budget{tokens: controlBurst, at: now} }

// Use counts bytes.
func (b *Budget) Use(bytes int, now time.Time) {
	b.refill(now)
	b.tokens = max(b.tokens-float64(bytes), -controlBurst)
}

// Left reports whether a note or a snapshot may be sent or asked for.
func (b *Budget) Left(now time.Time) bool {
	b.refill(now)
	return b.tokens > 0
}

func (b *Budget) refill(now time.Time) {
	if now.After(b.at) {
		b.tokens = min(controlBurst, b.tokens+controlRate*now.Sub(b.at).Seconds())
		b.at = now
	}
}

// directInterval is the shortest time between two direct reads of a daemon: 180 reads/s
// for 1,800 daemons, where the configuration service allows 2,000.
const directInterval = 10 * time.Second

// A Gate limits the direct reads of the configuration service.
type Gate struct {
	used bool
	last time.Time
}

// Wait returns how long a direct read has to wait.
func (g *Gate) Wait(now time.Time) time.Duration {
	if !g.used {
		return 0
	}
	return max(0, directInterval-now.Sub(g.last))
}

// Allow reports whether a direct read may begin now, and counts it.
func (g *Gate) Allow(now time.Time) bool {
	if g.Wait(now) > 0 {
		return false
	}
	g.used, g.last = true, now
	return true
}
