package retry

import (
	"time"

	"jacinthcross/internal/base/ident"
)

// A Bound is what the platform allows of sends beyond the first of each call, of all daemons together: within Window
// at most Ratio times the calls of a service, and Slack beyond that.
type Bound struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

const (
	// boundShare is the part of the bound that daemons use. The rest is for the calls that a repeated run makes
	// again, which count as repeats at the services that they call.
	boundShare = 0.75
	// windowParts is the number of parts in which a window is counted. The sum of one part more covers each window
	// of that length.
	windowParts = 5
)

// A Shares is the part of the platform's bound that this daemon may use, for each service. Daemons know nothing of
// each other's repeats, so that each has its share of the slack, by the number of daemons.
type Shares struct {
	bound    Bound
	fleet    int
	started  time.Time
	services map[ident.Service]*window
}

// NewShares returns the Shares of a daemon that starts at now.
func NewShares(b Bound, now time.Time) *Shares {
	return &Shares{bound: b, fleet: 1, started: now, services: map[ident.Service]*window{}}
}

// SetFleet sets the number of daemons.
func (s *Shares) SetFleet(n int) { s.fleet = max(1, n) }

// Called counts a call of a service.
func (s *Shares) Called(service ident.Service, now time.Time) {
	s.of(service).at(s.bound.Window, now).calls++
}

// Take reports whether a call of a service may be sent once more, and counts it.
func (s *Shares) Take(service ident.Service, now time.Time) bool {
	w := s.of(service)
	current := w.at(s.bound.Window, now)
	calls, repeats := w.sum()
	slack := s.bound.Slack / float64(s.fleet)
	if now.Sub(s.started) < s.bound.Window {
		// The daemon may have used its share just before it was started again.
		slack /= 2
	}
	if float64(repeats)+1 > boundShare*(s.bound.Ratio*float64(calls)+slack) {
		return false
	}
	current.repeats++
	return true
}

func (s *Shares) of(service ident.Service) *window {
	w, ok := s.services[service]
	if !ok {
		w = &window{}
		s.services[service] = w
	}
	return w
}

// Keep forgets the services that keep does not accept.
func (s *Shares) Keep(keep func(ident.Service) bool) {
	for name := range s.services {
		if !keep(name) {
			delete(s.services, name)
		}
	}
}

// A part counts the calls and the repeats of a part of a window.
type part struct {
	number  int64
	calls   int
	repeats int
}

// A window holds the parts of the current window, and the one before them.
type window struct{ parts [windowParts + 1]part }

// at returns the part of a time, after it has dropped those that have left the window.
func (w *window) at(length time.Duration, now time.Time) *part {
	number := now.UnixNano() / int64(length/windowParts)
	for i := range w.parts {
		if w.parts[i].number < number-windowParts {
			w.parts[i] = part{}
		}
	}
	p := &w.parts[number%int64(len(w.parts))]
	if p.number != number {
		*p = part{number: number}
	}
	return p
}

func (w *window) sum() (calls, repeats int) {
	for _, p := range w.parts {
		calls += p.calls
		repeats += p.repeats
	}
	return calls, repeats
}
