package roster

import (
	"time"

	"jacinthcross/internal/base/ident"
)

// maxRestored limits the recorded restores of data centres. Operators name as many data centres as they like, also some
// that do not exist.
const maxRestored = 256

// An evacuation is the last known change of the evacuation of a data centre.
type evacuation struct {
	evacuated bool
	revision  Revision
	// dropAt is when an evacuation of an older era of the store ends unless the operators write it again, or zero.
	dropAt time.Time
}

// evacuations holds the data centres that the operators have evacuated. A restored data centre keeps its record, so that
// an older report or a peer with an older state does not evacuate it again.
type evacuations struct {
	known map[ident.DataCentre]evacuation
	// restoredUpTo is the revision up to which a data centre without a record counts as restored: it was not evacuated in
	// a snapshot of that revision, or its record was dropped.
	restoredUpTo Revision
}

func newEvacuations() evacuations { return evacuations{known: map[ident.DataCentre]evacuation{}} }

// startEra begins a newer era of the store. The copy from which it was restored may lack evacuations that the operators
// write again, so those in force stay for LapseGrace.
func (s *evacuations) startEra(now time.Time) {
	s.restoredUpTo = 0
	for dataCentre, e := range s.known {
		if e.evacuated {
			s.known[dataCentre] = evacuation{evacuated: true, dropAt: now.Add(LapseGrace)}
		} else {
			delete(s.known, dataCentre)
		}
	}
}

// dropLapsed ends the evacuations of an older era whose grace period is over and reports whether there were any.
func (s *evacuations) dropLapsed(now time.Time) bool {
	changed := false
	for dataCentre, e := range s.known {
		if !e.dropAt.IsZero() && !e.dropAt.After(now) {
			delete(s.known, dataCentre)
			changed = true
		}
	}
	return changed
}

// evacuate applies a DataCentreEvacuated and reports whether the release changes.
func (s *evacuations) evacuate(c DataCentreEvacuated) bool {
	old, ok := s.known[c.DataCentre]
	if !ok {
		old.revision = s.restoredUpTo
	}
	if c.Revision <= old.revision {
		return false
	}
	s.known[c.DataCentre] = evacuation{evacuated: true, revision: c.Revision}
	return !old.evacuated
}

// restore applies a DataCentreRestored and reports whether the release changes. It takes precedence over an evacuation at
// the same revision, since a snapshot of that revision without the key was read after the key had been removed.
func (s *evacuations) restore(c DataCentreRestored) bool {
	old, ok := s.known[c.DataCentre]
	if !ok && c.Revision <= s.restoredUpTo || c.Revision < old.revision {
		return false
	}
	s.known[c.DataCentre] = evacuation{revision: c.Revision}
	return old.evacuated
}

// endSnapshot restores the data centres that a snapshot does not name as evacuated, and reports whether there are any. The
// changes of the snapshot have been applied.
func (s *evacuations) endSnapshot(snapshot Snapshot, now time.Time) bool {
	present := map[ident.DataCentre]bool{}
	for _, c := range snapshot.Changes {
		if c, ok := c.(DataCentreEvacuated); ok {
			present[c.DataCentre] = true
		}
	}
	changed := false
	for dataCentre, e := range s.known {
		if e.evacuated && !present[dataCentre] && !e.dropAt.After(now) {
			changed = s.restore(DataCentreRestored{DataCentre: dataCentre, Revision: snapshot.Revision}) || changed
		}
	}
	s.restoredUpTo = max(s.restoredUpTo, snapshot.Revision)
	return changed
}

// prune drops the oldest records of restored data centres above maxRestored and returns the revision up to which changes
// are no longer known, or 0.
func (s *evacuations) prune() (droppedUpTo Revision) {
	for {
		var oldest ident.DataCentre
		restored := 0
		for dataCentre, e := range s.known {
			if e.evacuated {
				continue
			}
			if restored++; restored == 1 || e.revision < s.known[oldest].revision {
				oldest = dataCentre
			}
		}
		if restored <= maxRestored {
			return droppedUpTo
		}
		droppedUpTo = max(droppedUpTo, s.known[oldest].revision)
		s.restoredUpTo = max(s.restoredUpTo, droppedUpTo)
		delete(s.known, oldest)
	}
}

// inForce returns the evacuated data centres.
func (s *evacuations) inForce() map[ident.DataCentre]bool {
	out := map[ident.DataCentre]bool{}
	for dataCentre, e := range s.known {
		if e.evacuated {
			out[dataCentre] = true
		}
	}
	return out
}

// changesAfter returns the changes after a revision. full leaves out the restored data centres, since they are missing in
// the full published state.
func (s *evacuations) changesAfter(revision Revision, full bool) []Change {
	var out []Change
	for dataCentre, e := range s.known {
		switch {
		case e.revision <= revision:
		case e.evacuated:
			out = append(out, DataCentreEvacuated{DataCentre: dataCentre, Revision: e.revision})
		case !full:
			out = append(out, DataCentreRestored{DataCentre: dataCentre, Revision: e.revision})
		}
	}
	return out
}
