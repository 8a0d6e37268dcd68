package route

import "time"

const (
	// ejectAfter is the number of consecutive failures that eject a target.
	ejectAfter = 5
	// firstEjection doubles with each further ejection up to longestEjection.
	firstEjection   = time.Second
	longestEjection = 30 * time.Second
	// ejectionJitter is the part of an ejection that is random, so that daemons do not return at once.
	ejectionJitter = .25
)

// failed counts a failure and ejects the target when there were too many in a row.
func (t *Table) failed(s *state, now time.Time) {
	s.failures++
	if s.failures < ejectAfter || s.ejected(now) || t.ejectedAt(now) >= t.ejectionCap() {
		return
	}
	d := min(longestEjection, firstEjection<<min(s.ejections, 10))
	d += time.Duration(ejectionJitter * t.random.Float64() * float64(d))
	s.ejections++
	s.until, s.readmit = now.Add(d), d
	// One more failure after the return ejects the target again.
	s.failures = ejectAfter - 1
}

func (t *Table) ejectedAt(now time.Time) int {
	n := 0
	for _, s := range t.states {
		if s.ejected(now) {
			n++
		}
	}
	return n
}

// limitEjections ends the ejections that are next to end when fewer candidates allow fewer of them.
func (t *Table) limitEjections(now time.Time) {
	for t.ejectedAt(now) > t.ejectionCap() {
		var next *state
		for _, s := range t.states {
			if s.ejected(now) && (next == nil || s.until.Before(next.until)) {
				next = s
			}
		}
		next.until = now
	}
}

// ejectionCap is how many candidates may be ejected at once.
func (t *Table) ejectionCap() int {
	n := len(t.states)
	if n == 2 {
		return 1
	}
	return n / 3
}

func (s *state) ejected(now time.Time) bool { return now.Before(s.until) }

// succeeded ends a row of failures. A target that has worked for as long as it was ejected starts anew.
func (s *state) succeeded(now time.Time) {
	s.failures = 0
	s.down = false
	if now.Sub(s.until) > s.readmit {
		s.ejections = 0
	}
}
