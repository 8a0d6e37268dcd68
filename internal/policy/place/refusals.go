package place

import (
	"hash/maphash"
	"math/rand/v2"
	"time"

	"jacinthcross/internal/base/call"
)

// maxRefusals limits the refused requests that are remembered. A daemon refuses at most some tens of calls a
// second, and their callers retry within seconds.
const maxRefusals = 4096

// RefusedRequests remembers refused requests to recognize their retries: a caller retries the same request through
// the same daemon, and its soft deadline counts from the first attempt.
type RefusedRequests struct {
	seed     maphash.Seed
	refusals map[uint64]refusal
}

type refusal struct{ firstSent, expires time.Time }

// NewRefusedRequests returns an empty RefusedRequests.
func NewRefusedRequests() *RefusedRequests {
	return &RefusedRequests{seed: maphash.MakeSeed(), refusals: map[uint64]refusal{}}
}

// FirstSent returns when the caller first sent the request, if the request was refused and its caller may still retry
// it.
func (r *RefusedRequests) FirstSent(q *call.Request, now time.Time) (time.Time, bool) {
	if len(r.refusals) == 0 {
		return time.Time{}, false
	}
	s, ok := r.refusals[r.key(q)]
	return s.firstSent, ok && s.expires.After(now)
}

// Add records a refused request. The caller first sent it at firstSent and may retry it until expires.
func (r *RefusedRequests) Add(q *call.Request, firstSent, expires, now time.Time) {
	if !expires.After(now) {
		return
	}
	if len(r.refusals) >= maxRefusals {
		for k, s := range r.refusals {
			if !s.expires.After(now) {
				delete(r.refusals, k)
			}
		}
	}
	if len(r.refusals) < maxRefusals {
		r.refusals[r.key(q)] = refusal{firstSent, expires}
	}
}

func (r *RefusedRequests) key(q *call.Request) uint64 {
	var h maphash.Hash
	h.SetSeed(r.seed)
	// Writes to a maphash never fail.
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
	// maxRetryAfterShare is the largest fraction of its remaining time that a caller is told to wait before a
	// retry.
	maxRetryAfterShare = 1. / 3
	// retryAfterJitter is the largest random reduction of a retry delay, as a fraction of it, so that callers do
	// not retry at the same time.
	retryAfterJitter = 0.3
)

// RetryAfter returns the Retry-After for a refused caller. delay is the estimated time until there is capacity, and
// remaining the time until the caller gives up.
func RetryAfter(delay, remaining time.Duration, random *rand.Rand) time.Duration {
	after := min(delay, time.Duration(maxRetryAfterShare*float64(remaining)))
	return time.Duration(float64(after) * (1 - retryAfterJitter*random.Float64()))
}
