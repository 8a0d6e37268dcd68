package route

import (
	"time"

	"jacinthcross/internal/base/ident"
)

// A State is the condition of a candidate as shown to operators.
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

// A Status describes one candidate of a table to operators.
type Status struct {
	Target     ident.Target
	DataCentre ident.DataCentre
	State      State
	InFlight   int
	Limit      int
	Latency    time.Duration // without Distance
	Distance   time.Duration // extra network round-trip time compared with the nearest data centre
	// SinceReport is the time since the last load report, or 0 if there has been none.
	SinceReport time.Duration
}

// Status returns the status of each candidate, in order of preference.
func (t *Table) Status(now time.Time) []Status {
	v := t.view(now)
	statuses := make([]Status, 0, len(t.states))
	for _, s := range t.states {
		status := Status{
			Target: s.Target, DataCentre: s.DataCentre, State: v.state(s),
			InFlight: len(s.inFlight), Limit: int(s.concurrencyLimit()),
			Latency: time.Duration(s.latency * float64(time.Second)), Distance: t.distance(s.DataCentre),
		}
		if !s.lastReport.IsZero() {
			status.SinceReport = now.Sub(s.lastReport)
		}
		statuses = append(statuses, status)
	}
	return statuses
}

func (v view) state(s *candidateState) State {
	switch {
	case s.draining:
		return Draining
	case s.isDown():
		return Down
	case s.isEjected(v.now):
		return Ejected
	case v.isStraggler(s):
		return Straggling
	case s.slowStartShare(v.now) < 1:
		return Starting
	}
	return Healthy
}
