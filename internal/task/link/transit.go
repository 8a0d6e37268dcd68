package link

import (
	"math"
	"sync/atomic"
	"time"
)

// A TransitClock measures by how much longer messages of one connection were under way than the fastest one. The clocks of
// two VMs differ by an unknown amount, so the time that the fastest message took is not known. Messages that waited behind
// large bodies on a slow link take up to seconds longer.
type TransitClock struct {
	// fastest is the lowest difference between the receiver's and the sender's clock so far, in nanoseconds.
	fastest atomic.Int64
}

// NewTransitClock returns the clock of a new connection.
func NewTransitClock() *TransitClock {
	c := &TransitClock{}
	c.fastest.Store(math.MaxInt64)
	return c
}

// Delay returns by how much longer a message was under way than the fastest one. sent and received are times since the
// start of the sender's and of the receiver's VM. The result is 0 if sent is 0, which means that it is unknown.
func (c *TransitClock) Delay(sent, received time.Duration) time.Duration {
	if sent == 0 || received == 0 {
		return 0
	}
	difference := int64(received - sent)
	for {
		fastest := c.fastest.Load()
		if difference >= fastest {
			return time.Duration(difference - fastest)
		}
		if c.fastest.CompareAndSwap(fastest, difference) {
			return 0
		}
	}
}
