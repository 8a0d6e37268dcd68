package feed

import (
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
)

// logEvacuations logs the data centres that are evacuated or restored in a new release. Their number of targets is 0 if
// no target names the data centre.
func (t *Task) logEvacuations(r *note.Release) {
	targets := func(name ident.DataCentre) int {
		n := 0
		for _, target := range r.Targets {
			if target.DataCentre == name {
				n++
			}
		}
		return n
	}
	for name := range r.Evacuated {
		if !t.evacuated[name] {
			event.DataCentreEvacuated.Log("dataCentre", name, "targets", targets(name), "serial", r.Head.Serial)
		}
	}
	for name := range t.evacuated {
		if !r.Evacuated[name] {
			event.DataCentreRestored.Log("dataCentre", name, "targets", targets(name), "serial", r.Head.Serial)
		}
	}
	t.evacuated = r.Evacuated
}
