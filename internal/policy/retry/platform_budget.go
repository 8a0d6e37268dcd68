package retry

import (
	"time"

	"jacinthcross/internal/base/ident"
)

// A PlatformLimit is the platform's limit on repeated sends, for all daemons together. In any Window, the repeats of a
// service must not exceed Ratio times its calls plus Slack.
type PlatformLimit struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// usableShare is the fraction of the limit that daemons use. The rest covers calls made again by a target
	// that runs a call a second time: these count as repeats for the services they go to.
	usableShare = 0.75
	// windowBuckets is the number of buckets per window. One extra bucket is kept, so that the sum covers every
	// window of the full length.
	windowBuckets = 5
)

// A PlatformBudget is this daemon's share of the platform's retry limit, for each service. Daemons do not know each
// other's repeats, so the slack is divided evenly among them.
type PlatformBudget struct {
	limit     PlatformLimit
	daemons   int
	startedAt time.Time
	windows   map[ident.Service]*window
}

// NewPlatformBudget returns the budget of a daemon that started at now. Until the number of daemons is set, it is 1.
func NewPlatformBudget(b PlatformLimit, now time.Time) *PlatformBudget {
	return &PlatformBudget{limit: b, daemons: 1, startedAt: now, windows: map[ident.Service]*window{}}
}

// SetDaemonCount sets the number of daemons.
func (s *PlatformBudget) SetDaemonCount(n int) { s.daemons = max(1, n) }

// RecordCall counts a call of a service.
func (s *PlatformBudget) RecordCall(service ident.Service, now time.Time) {
	s.window(service).bucketAt(s.limit.Window, now).calls++
}

// Take reports whether a call of a service may be sent again. If so, it counts the repeat.
func (s *PlatformBudget) Take(service ident.Service, now time.Time) bool {
	w := s.window(service)
	current := w.bucketAt(s.limit.Window, now)
	calls, repeats := w.sum()
	slack := s.limit.Slack / float64(s.daemons)
	if now.Sub(s.startedAt) < s.limit.Window {
		// Before a restart, the daemon may already have used its share of this window.
		slack /= 2
	}
	if float64(repeats)+1 > usableShare*(s.limit.Ratio*float64(calls)+slack) {
		return false
	}
	current.repeats++
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

// A bucket counts the calls and repeats of one part of a window.
type bucket struct {
	index   int64
	calls   int
	repeats int
}

// A window holds the buckets of the current window and the bucket before them.
type window struct{ buckets [windowBuckets + 1]bucket }

// bucketAt returns the bucket for the given time and clears buckets that have left the window.
func (w *window) bucketAt(length time.Duration, now time.Time) *bucket {
	index := now.UnixNano() / int64(length/windowBuckets)
	for i := range w.buckets {
		if w.buckets[i].index < index-windowBuckets {
			w.buckets[i] = bucket{}
		}
	}
	p := &w.buckets[index%int64(len(w.buckets))]
	if p.index != index {
		*p = bucket{index: index}
	}
	return p
}

func (w *window) sum() (calls, repeats int) {
	for _, p := range w.buckets {
		calls += p.calls
		repeats += p.repeats
	}
	return calls, repeats
}
