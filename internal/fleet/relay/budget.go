package relay

import "time"

// Limits on the control traffic of a daemon: the design limit of 5 KB/s, with a burst of one full-size snapshot.
const (
	controlBytesPerSecond = 5_000
	controlBurstBytes     = 1_000_000
)

// A Budget is a token bucket for control bytes. Small messages are charged to it but sent even without tokens. Notes,
// snapshots and, in response to a message from a peer, VM lists are sent or requested only while tokens are left.
type Budget struct {
	tokens     float64
	refilledAt time.Time
}

// NewBudget returns a full Budget.
func NewBudget(now time.Time) *Budget { return &Budget{tokens: controlBurstBytes, refilledAt: now} }

// Spend charges bytes to the budget. The balance may become negative, but not below -controlBurstBytes.
func (b *Budget) Spend(bytes int, now time.Time) {
	b.refill(now)
	b.tokens = max(b.tokens-float64(bytes), -controlBurstBytes)
}

// Available reports whether a note, a snapshot or a VM list may be sent or requested now.
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

// directReadInterval is the minimum time between two direct reads of the configuration service by one daemon (see the
// duty Direct). With 1,800 daemons this is at most 180 reads/s; the configuration service allows 2,000.
const directReadInterval = 10 * time.Second

// A ReadLimiter limits the rate of direct reads from the configuration service.
type ReadLimiter struct {
	hasRead    bool
	lastReadAt time.Time
}

// Wait returns the time until the next direct read is allowed.
func (l *ReadLimiter) Wait(now time.Time) time.Duration {
	if !l.hasRead {
		return 0
	}
	return max(0, directReadInterval-now.Sub(l.lastReadAt))
}

// Allow reports whether a direct read may start now, and records it if so.
func (l *ReadLimiter) Allow(now time.Time) bool {
	if l.Wait(now) > 0 {
		return false
	}
	l.hasRead, l.lastReadAt = true, now
	return true
}
