package router

import (
	"slices"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
)

// leaveDataCentre sends a call that a target refused as evacuated to a target in another data centre. This does not count
// as a redirect: the call would be refused by all targets there, and none of them says anything about the others.
func (t *Task) leaveDataCentre(p *pendingCall, a *attempt) {
	p.tried = slices.DeleteFunc(p.tried, func(n ident.Target) bool { return n == a.target.Name })
	p.evacuated = append(p.evacuated, a.target.DataCentre)
	t.sendKeyless(p)
}

// reportedEvacuated returns the targets in the data centres that the call has left.
func (t *Task) reportedEvacuated(p *pendingCall) []ident.Target {
	if len(p.evacuated) == 0 {
		return nil
	}
	var out []ident.Target
	for _, target := range t.release.TargetsByService(p.Request.Service) {
		if slices.Contains(p.evacuated, target.DataCentre) {
			out = append(out, target.Name)
		}
	}
	return out
}

// noTarget returns the refusal of a call for which there is no target. The caller may return late, since the state of the
// service rarely changes within a second.
func (t *Task) noTarget(p *pendingCall) call.Refused {
	service := p.Request.Service
	for _, target := range t.release.TargetsByService(service) {
		if t.release.Evacuated[target.DataCentre] {
			r := refusal(errs.NoTarget, "")
			r.Kind, r.Detail = errs.DataCentreEvacuated, "all targets of service "+string(service)+" that could run the call are in evacuated data centres"
			return r
		}
	}
	return refusal(errs.NoTarget, "no target available for service "+string(service))
}
