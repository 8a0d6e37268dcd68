package crash

import (
	"time"

	"jacinthcross/internal/base/ident"
)

const (
	// completionPeriod is the minimum time for which a completion counts in favour of a request; the maximum is twice as
	// long. A request that starts to crash targets is detected once its completions have expired, which takes about as
	// long as a few restarts of a target.
	completionPeriod = 10 * time.Second
	// maxCountedRequests limits the requests that are counted per period, and thus the memory to about 80 KB. A
	// popular request is among the first of each period.
	maxCountedRequests = 1024
)

// A completionCounter counts the completions of each request in the current and the previous period.
type completionCounter struct {
	current, previous map[ident.Digest]uint32
	started           time.Time
}

// add counts a completion. Once a period has reached maxCountedRequests, further requests are ignored in that period;
// the popular requests are among the first and thus counted.
func (r *completionCounter) add(d ident.Digest, now time.Time) {
	r.rotate(now)
	if _, known := r.current[d]; known || len(r.current) < maxCountedRequests {
		r.current[d]++
	}
}

// count returns the number of completions of the request in the current and the previous period.
func (r *completionCounter) count(d ident.Digest, now time.Time) int {
	r.rotate(now)
	return int(r.current[d] + r.previous[d])
}

// rotate starts a new period when the current one has ended.
func (r *completionCounter) rotate(now time.Time) {
	switch age := now.Sub(r.started); {
	case r.current == nil || age >= 2*completionPeriod:
		r.current, r.previous, r.started = map[ident.Digest]uint32{}, nil, now
	case age >= completionPeriod:
		r.current, r.previous, r.started = map[ident.Digest]uint32{}, r.current, r.started.Add(completionPeriod)
	}
}

func (r *completionCounter) len() int { return len(r.current) + len(r.previous) }
