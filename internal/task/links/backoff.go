package links

import (
	"math/rand/v2"
	"net/netip"
	"time"
)

// Delays between dials of a peer that fails: they double from backoffFirst to backoffMax, which is
// below the 2 s after its start within which a daemon has to serve.
// A connection that ended before stableAfter counts as a failure from the second time on.
const (
	backoffFirst = 100 * time.Millisecond
	backoffMax   = time.Second
	stableAfter  = time.Second
)

// A backoff holds the dials of peers that failed. It is a value of the task and not safe for concurrent use.
type backoff struct {
	peers map[netip.AddrPort]failure
	// random returns a factor in [0, 1) for the jitter.
	random func() float64
}

type failure struct {
	count int
	until time.Time
}

func newBackoff() *backoff {
	return &backoff{peers: map[netip.AddrPort]failure{}, random: rand.Float64}
}

// wait returns how long the peer must not be dialled.
func (b *backoff) wait(peer netip.AddrPort, now time.Time) time.Duration {
	return max(0, b.peers[peer].until.Sub(now))
}

// failed notes that a dial failed or that a connection was short-lived.
func (b *backoff) failed(peer netip.AddrPort, opened bool, now time.Time) {
	f := b.peers[peer]
	f.count++
	if opened && f.count == 1 {
		f.until = now
	} else {
		delay := min(backoffMax, backoffFirst<<min(f.count-1, 10))
		f.until = now.Add(delay/2 + time.Duration(b.random()*float64(delay/2)))
	}
	b.peers[peer] = f
	b.forget(now)
}

// worked notes that a connection was kept.
func (b *backoff) worked(peer netip.AddrPort) { delete(b.peers, peer) }

// forget drops peers that were not dialled for a long time, so that the map is bounded by the peers in use.
func (b *backoff) forget(now time.Time) {
	for peer, f := range b.peers {
		if now.Sub(f.until) > 60*backoffMax {
			delete(b.peers, peer)
		}
	}
}
