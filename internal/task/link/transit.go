package link

import (
	"sync"
	"time"
)

// transitPeriod is how long the fastest message counts at least. The clocks of two VMs drift apart, by some tens of
// microseconds a second, and may step.
const transitPeriod = 30 * time.Second

// A TransitClock measures by how much longer messages of one connection were under way than the fastest one of the last
// minute. The clocks of two VMs differ by an unknown amount, so the time that the fastest message took is not known.
// Messages that waited behind large bodies on a slow link take up to seconds longer. It is safe for concurrent use.
type TransitClock struct {
	mutex sync.Mutex
	// fastest and previous are the lowest differences between the receiver's and the sender's clock in this period and in
	// the one before.
	fastest, previous time.Duration
	// since is when this period began, or 0 before the first message.
	since time.Duration
}

// NewTransitClock returns the clock of a new connection.
func NewTransitClock() *TransitClock { return &TransitClock{} }

// Delay returns by how much longer a message was under way than the fastest one. sent and received are times since the
// start of the sender's and of the receiver's VM. The result is 0 if sent is 0, which means that it is unknown.
func (c *TransitClock) Delay(sent, received time.Duration) time.Duration {
	if sent == 0 || received == 0 {
		return 0
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	difference := received - sent
	switch elapsed := received - c.since; {
	case c.since == 0, elapsed >= 2*transitPeriod:
		c.fastest, c.previous, c.since = difference, difference, received
	case elapsed >= transitPeriod:
		c.fastest, c.previous, c.since = difference, c.fastest, received
	}
	c.fastest = min(c.fastest, difference)
	return difference - min(c.fastest, c.previous)
}
