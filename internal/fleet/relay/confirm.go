package relay

import (
	"time"

	"jacinthcross/internal/base/ident"
)

const (
	// confirmPeers is the number of peers that must confirm the head of a starting daemon.
	confirmPeers = 2
	// confirmTimeout is the time after which a starting daemon serves calls with idempotency keys even if too few peers
	// answered. A daemon has to serve within 2 s of its start.
	confirmTimeout = 1500 * time.Millisecond
)

// A Confirmation tracks whether enough peers have confirmed that the head of this daemon is not outdated.
type Confirmation struct {
	started  time.Time
	timeout  time.Duration
	answered map[ident.VM]bool
	done     bool
}

// NewConfirmation returns the Confirmation for a daemon that starts now without any state.
func NewConfirmation(now time.Time) *Confirmation {
	return &Confirmation{started: now, timeout: confirmTimeout, answered: map[ident.VM]bool{}}
}

// NewConfirmationWithTimeout returns a Confirmation that counts as done after timeout.
func NewConfirmationWithTimeout(now time.Time, timeout time.Duration) *Confirmation {
	return &Confirmation{started: now, timeout: timeout, answered: map[ident.VM]bool{}}
}

// AddAnswer records the head that a peer sent in response to a request. The peer confirms the head of this daemon only
// if that head is not behind the head of the peer. A different head with the same serial does not count: which of the
// two notes wins is known only after a pull, and the other note may withdraw this daemon's target
// (spec/broken/confirm-serial.pml models the failure without this rule). A response to a request sent before the start
// does not count either, because it may predate the state to confirm.
func (c *Confirmation) AddAnswer(vm ident.VM, peerHead, ownHead ident.Head, sent time.Time) {
	if (ownHead == peerHead || ownHead.Serial > peerHead.Serial) && !sent.Before(c.started) {
		c.answered[vm] = true
	}
}

// Done reports whether enough peers have confirmed the head or the timeout has passed. Once true, it stays true.
// peerCount is the number of peers that can confirm it.
func (c *Confirmation) Done(peerCount int, now time.Time) bool {
	if !c.done {
		c.done = c.Confirmed(peerCount) || now.Sub(c.started) >= c.timeout
	}
	return c.done
}

// Confirmed reports whether enough peers have confirmed the head, regardless of the timeout.
func (c *Confirmation) Confirmed(peerCount int) bool {
	return len(c.answered) >= min(confirmPeers, peerCount)
}
