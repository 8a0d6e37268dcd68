package retry

import (
	"time"

	"jacinthcross/internal/base/ident"
)

// A PlatformLimit is the platform's limit on retries, for all daemons together. In any Window, the retries of calls
// to a service must not exceed Ratio times its calls plus Slack.
type PlatformLimit struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// usableShare is the fraction of the limit that daemons use. The rest is for retries that daemons cannot
	// count: when a target runs a call a second time, it makes its own calls again, and these count as retries
	// for the services they go to.
	usableShare = 0.75
	// windowBuckets is the number of buckets per window. One more bucket is kept, because the current one is only
	// partly filled: the sum then always covers at least a full window.
	windowBuckets = 5
)

// A PlatformBudget is this daemon's share of the platform's limit on retries, for each service. Daemons do not know
// each other's retries, so the slack is divided evenly among them.
type PlatformBudget struct {
	limit     PlatformLimit
	daemons   int
	startedAt time.Time
	windows   map[ident.Service]*window
}

// NewPlatformBudget returns the budget of a daemon that started at now. Until the number of daemons is set, it is 1.
func NewPlatformBudget(limit PlatformLimit, now time.Time) *PlatformBudget {
	return &PlatformBudget{limit: limit, daemons: 1, startedAt: now, windows: map[ident.Service]*window{}}
}

// SetDaemonCount sets the number of daemons.
func (s *PlatformBudget) SetDaemonCount(n int) { s.daemons = max(1, n) }

// RecordCall counts a call to a service.
func (s *PlatformBudget) RecordCall(service ident.Service, now time.Time) {
	s.window(service).currentBucket(s.limit.Window, now).calls++
}

// TakeRetry reports whether a call to a service may be retried. If so, it counts the retry. share is the part of the
// retries that may be used up before this call no longer gets one.
func (s *PlatformBudget) TakeRetry(service ident.Service, share float64, now time.Time) bool {
	w := s.window(service)
	current := w.currentBucket(s.limit.Window, now)
	calls, retries := w.sum()
	slack := s.limit.Slack / float64(s.daemons)
	if now.Sub(s.startedAt) < s.limit.Window {
		// The daemon may have been restarted and have used part of its share of this window before that.
		slack /= 2
	}
	if float64(retries)+1 > share*usableShare*(s.limit.Ratio*float64(calls)+slack) {
		return false
	}
	current.retries++
	return true
}

func (s *PlatformBudget) window(service ident.Service) *window {
	w, ok := s.windows[service]
	if !ok {
		w = &window{}
		s.windows[service] = w
	}
	return w
}

// Retain deletes the counts of all services for which keep returns false.
func (s *PlatformBudget) Retain(keep func(ident.Service) bool) {
	for name := range s.windows {
		if !keep(name) {
			delete(s.windows, name)
		}
	}
}

// A bucket counts the calls and retries of one part of a window.
type bucket struct {
	index   int64
	calls   int
	retries int
}

// A window counts calls and retries in windowBuckets buckets, which cover the last PlatformLimit.Window, and in one
// older bucket.
type window struct{ buckets [windowBuckets + 1]bucket }

// currentBucket returns the bucket for the time now, after clearing the buckets that have left the window.
func (w *window) currentBucket(length time.Duration, now time.Time) *bucket {
	index := now.UnixNano() / int64(length/windowBuckets)
	for i := range w.buckets {
		if w.buckets[i].index < index-windowBuckets {
			w.buckets[i] = bucket{}
		}
	}
	b := &w.buckets[index%int64(len(w.buckets))]
	if b.index != index {
		*b = bucket{index: index}
	}
	return b
}

func (w *window) sum() (calls, retries int) {
	for _, b := range w.buckets {
		calls += b.calls
		retries += b.retries
	}
	return calls, retries
}
