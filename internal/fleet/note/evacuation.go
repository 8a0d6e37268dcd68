package note

import (
	"slices"

	"jacinthcross/internal/base/ident"
)

// AcceptsCalls reports whether a target may get new calls: it is not draining, and its data centre is not evacuated.
func (r *Release) AcceptsCalls(t Target) bool { return !t.Draining && !r.Evacuated[t.DataCentre] }

// AvailableTargets returns the targets of a service that may get new calls, ordered by name.
func (r *Release) AvailableTargets(service ident.Service) []Target {
	return slices.DeleteFunc(r.TargetsByService(service), func(t Target) bool { return !r.AcceptsCalls(t) })
}
