package dialer

import (
	"math/rand/v2"
	"time"
)

// The delay between dials of a failing peer doubles from minBackoff to maxBackoff. maxBackoff is below 2 s, because a
// daemon has to serve within 2 s of its start. A connection that ends within stableTime counts as a failure, but
// causes no delay if it is the first failure in a row.
const (
	minBackoff = 100 * time.Millisecond
	maxBackoff = time.Second
	stableTime = time.Second
)

// A backoff delays the dials of peers that have failed. It is owned by the task and not safe for concurrent use.
type backoff struct {
	peers map[linkKey]failure
	// random returns a factor in [0, 1) for the jitter.
	random func() float64
}

type failure struct {
	count int
	until time.Time
}

func newBackoff() *backoff {
	return &backoff{peers: map[linkKey]failure{}, random: rand.Float64}
}

// wait returns the time until the peer may be dialled.
func (b *backoff) wait(peer linkKey, now time.Time) time.Duration {
	return max(0, b.peers[peer].until.Sub(now))
}

// recordFailure records that a dial failed or, when opened is true, that a connection was short-lived.
func (b *backoff) recordFailure(peer linkKey, opened bool, now time.Time) {
	f := b.peers[peer]
	f.count++
	if opened && f.count == 1 {
		f.until = now
	} else {
		delay := min(maxBackoff, minBackoff<<min(f.count-1, 10))
		f.until = now.Add(delay/2 + time.Duration(b.random()*float64(delay/2)))
	}
	b.peers[peer] = f
	b.prune(now)
}

// recordSuccess records that a connection was stable.
func (b *backoff) recordSuccess(peer linkKey) { delete(b.peers, peer) }

// prune drops peers whose delay ended long ago, so that the size of the map is bounded by the peers in use.
func (b *backoff) prune(now time.Time) {
	for peer, f := range b.peers {
		if now.Sub(f.until) > 60*maxBackoff {
			delete(b.peers, peer)
		}
	}
}
