package place

import (
	"hash/maphash"
	"math/rand/v2"
	"time"

	"jacinthcross/internal/base/call"
)

// maxReturns bounds the callers that are remembered. A daemon refuses some tens of calls a second at the most,
// whose callers come back within seconds.
const maxReturns = 4096

// Returns remember the callers that were refused, so that they are recognised when they come back: a caller sends the
// same request through the same daemon, and its aim counts from its first send.
type Returns struct {
	seed  maphash.Seed
	first map[uint64]seen
}

type seen struct{ first, until time.Time }

// NewReturns returns an empty memory.
func NewReturns() *Returns { return &Returns{seed: maphash.MakeSeed(), first: map[uint64]seen{}} }

// First returns when the caller of a request first sent it, if it was refused since.
func (r *Returns) First(q *call.Request, now time.Time) (time.Time, bool) {
	if len(r.first) == 0 {
		return time.Time{}, false
	}
	s, ok := r.first[r.key(q)]
	return s.first, ok && s.until.After(now)
}

// Refused notes that a request was not served which its caller first sent at a time and may send again until another.
func (r *Returns) Refused(q *call.Request, first, until, now time.Time) {
	if !until.After(now) {
		return
	}
	if len(r.first) >= maxReturns {
		for k, s := range r.first {
			if !s.until.After(now) {
				delete(r.first, k)
			}
		}
	}
	if len(r.first) < maxReturns {
		r.first[r.key(q)] = seen{first, until}
	}
}

func (r *Returns) key(q *call.Request) uint64 {
	var h maphash.Hash
	h.SetSeed(r.seed)
	// The writes of a maphash never fail.
	_, _ = h.WriteString(q.Method)
	_ = h.WriteByte(0)
	_, _ = h.WriteString(string(q.Route))
	_ = h.WriteByte(0)
	_, _ = h.WriteString(q.URI)
	_ = h.WriteByte(0)
	_, _ = h.Write(q.Body)
	return h.Sum64()
}

const (
	// returnShare is the part of the time that a caller has left for which it waits at the most before it comes back.
	returnShare = 1. / 3
	// returnSpread is the part of a delay that is random, so that callers do not come back together.
	returnSpread = 0.3
)

// RetryAfter returns what a refused caller is told, which has some time left, when there may be room after another.
func RetryAfter(room, left time.Duration, random *rand.Rand) time.Duration {
	after := min(room, time.Duration(returnShare*float64(left)))
	return time.Duration(float64(after) * (1 - returnSpread*random.Float64()))
}
