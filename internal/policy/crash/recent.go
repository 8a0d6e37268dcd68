package crash

import (
	"time"

	"jacinthcross/internal/base/ident"
)

const (
	// recentSpan is how long a completion speaks for a request, at least; at most twice as long. A request that begins to
	// crash targets is recognised once its completions are that old, which is a few restarts of a target.
	recentSpan = 10 * time.Second
	// maxRecent bounds the requests that are remembered per span, in some 80 KB. A popular one is among the first of a span.
	maxRecent = 1024
)

// A recent counts the completions of requests in the present span and in the one before it.
type recent struct {
	present, past map[ident.Digest]uint32
	began         time.Time
}

// add counts a completion. In a full span only requests that are known are counted, and these are the popular ones.
func (r *recent) add(d ident.Digest, now time.Time) {
	r.turn(now)
	if _, known := r.present[d]; known || len(r.present) < maxRecent {
		r.present[d]++
	}
}

// of returns how often the request has completed.
func (r *recent) of(d ident.Digest, now time.Time) int {
	r.turn(now)
	return int(r.present[d] + r.past[d])
}

// turn begins a new span when the present one is over.
func (r *recent) turn(now time.Time) {
	switch age := now.Sub(r.began); {
	case r.present == nil || age >= 2*recentSpan:
		r.present, r.past, r.began = map[ident.Digest]uint32{}, nil, now
	case age >= recentSpan:
		r.present, r.past, r.began = map[ident.Digest]uint32{}, r.present, r.began.Add(recentSpan)
	}
}

func (r *recent) len() int { return len(r.present) + len(r.past) }
