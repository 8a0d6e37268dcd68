package route

import (
	"time"

	"jacinthcross/internal/base/ident"
)

// A State is the condition of a candidate as operators see it.
type State string

// The states.
const (
	Healthy    State = "Healthy"
	Starting   State = "Starting"
	Straggling State = "Straggling"
	Ejected    State = "Ejected"
	Down       State = "Down"
	Draining   State = "Draining"
)

// A Status is what a table knows of one candidate.
type Status struct {
	Target     ident.Target
	DataCentre ident.DataCentre
	State      State
	InFlight   int
	Limit      int
	Latency    time.Duration
	Distance   time.Duration
	// Silent is the time since the last report, or 0 when there was none.
	Silent time.Duration
}

// Status returns the candidates in the order of preference.
func (t *Table) Status(now time.Time) []Status {
	v := t.view(now)
	statuses := make([]Status, 0, len(t.states))
	for _, s := range t.states {
		status := Status{
			Target: s.Target, DataCentre: s.DataCentre, State: v.state(s),
			InFlight: len(s.inFlight), Limit: int(s.limit()),
			Latency: time.Duration(s.latency * float64(time.Second)), Distance: t.distance(s.DataCentre),
		}
		if !s.heard.IsZero() {
			status.Silent = now.Sub(s.heard)
		}
		statuses = append(statuses, status)
	}
	return statuses
}

func (v view) state(s *state) State {
	switch {
	case s.draining:
		return Draining
	case s.isDown():
		return Down
	case s.ejected(v.now):
		return Ejected
	case v.straggles(s):
		return Straggling
	case s.share(v.now) < 1:
		return Starting
	}
	return Healthy
}
