package route

import (
	"time"

	"jacinthcross/internal/base/ident"
)

// A State is the condition of a candidate as shown to operators.
type State string

// The states. If several apply to a candidate, the last of them in this list is shown.
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
	Latency    time.Duration // smoothed latency minus ExtraRTT, or 0 if unknown
	ExtraRTT   time.Duration // extra network round-trip time compared with the nearest data centre
	// SinceReport is the time since the last load report, or 0 if there has been none.
	SinceReport time.Duration
}

// Status returns the status of each candidate, in order of preference.
func (t *Table) Status(now time.Time) []Status {
	sc := t.newScorer(now)
	statuses := make([]Status, 0, len(t.states))
	for _, s := range t.states {
		status := Status{
			Target: s.Target, DataCentre: s.DataCentre, State: sc.state(s),
			InFlight: len(s.inFlight), Limit: int(s.concurrencyLimit()),
			Latency: time.Duration(s.latency * float64(time.Second)), ExtraRTT: t.extraRTT(s.DataCentre),
		}
		if !s.lastReport.IsZero() {
			status.SinceReport = now.Sub(s.lastReport)
		}
		statuses = append(statuses, status)
	}
	return statuses
}

func (sc scorer) state(s *candidateState) State {
	switch {
	case s.draining:
		return Draining
	case s.isDown():
		return Down
	case s.isEjected(sc.now):
		return Ejected
	case sc.isStraggler(s):
		return Straggling
	case s.slowStartShare(sc.now) < 1:
		return Starting
	}
	return Healthy
}
