package relay

import (
	"time"

	"jacinthcross/internal/base/ident"
)

const (
	// confirmPeers is the number of peers whose heads a new daemon compares with its own.
	confirmPeers = 2
	// confirmTimeout is when a new daemon serves keyed calls though too few peers answered.
	// A daemon has to serve within 2 s of its start.
	confirmTimeout = 1500 * time.Millisecond
)

// A Confirmation tells whether a daemon has compared its head with its peers.
type Confirmation struct {
	started  time.Time
	timeout  time.Duration
	answered map[ident.VM]bool
	done     bool
}

// NewConfirmation returns the Confirmation of a daemon that starts now with empty memory.
func NewConfirmation(now time.Time) *Confirmation {
	return &Confirmation{started: now, timeout: confirmTimeout, answered: map[ident.VM]bool{}}
}

// NewComparison returns a Confirmation that gives up after timeout.
func NewComparison(now time.Time, timeout time.Duration) *Confirmation {
	return &Confirmation{started: now, timeout: timeout, answered: map[ident.VM]bool{}}
}

// Answered counts a peer that told its head in answer to a request, when the own head is not behind it.
// Another head of the own serial does not count: which of the two notes wins is known only after a pull,
// and the other one may withdraw the own target (spec/broken/confirm-serial.pml).
// An answer to a request from before the start does not count, since it may be older than what is to be confirmed.
func (c *Confirmation) Answered(vm ident.VM, peer, own ident.Head, sent time.Time) {
	if (own == peer || own.Serial > peer.Serial) && !sent.Before(c.started) {
		c.answered[vm] = true
	}
}

// Done reports whether enough peers of those that exist have answered, or the time is over. It stays true.
func (c *Confirmation) Done(peers int, now time.Time) bool {
	if !c.done {
		c.done = c.Agreed(peers) || now.Sub(c.started) >= c.timeout
	}
	return c.done
}

// Agreed reports whether enough peers answered, whatever the time.
func (c *Confirmation) Agreed(peers int) bool { return len(c.answered) >= min(confirmPeers, peers) }
