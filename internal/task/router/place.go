package router

import (
	"slices"
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/policy/place"
)

// place sends a call to the target of its choice, for at most as long as the call may be held there. The daemon
// beside the target knows exactly whether it can start at once; if not, it gives the call back.
func (t *Task) place(p *pending) {
	now := t.clock.Now()
	table := t.table(p.Request.Service)
	name, ok := table.Pick(now, slices.Concat(p.tried, p.bounced))
	if !ok && len(p.bounced) > 0 && !p.pressed {
		p.pressed, p.bounced = true, nil
		name, ok = table.Pick(now, p.tried)
	}
	if !ok && len(p.bounced) == 0 {
		// All targets were tried. One that failed may serve a call that can be repeated.
		name, ok = table.Pick(now, nil)
	}
	if !ok {
		t.conclude(p, t.refusedEverywhere(p))
		return
	}
	target := t.release.Targets[name]
	p.Request.Usual = t.costs.Of(p.Request.Route)
	p.Request.Elsewhere = table.Elsewhere(name, now)
	p.Request.HoldUntil = place.Hold(place.Call{
		Aim: p.Request.Aim, Cost: p.Request.Usual, Near: target.DataCentre == t.dataCentre, Pressed: p.pressed,
	}, now)
	t.send(p, &attempt{target: target})
}

// refusedEverywhere is the outcome of a call that no target could take.
func (t *Task) refusedEverywhere(p *pending) call.Outcome {
	if p.refused != nil {
		return *p.refused
	}
	return refusal(errs.NoTarget, "service "+string(p.Request.Service))
}

// bounce sends a call on that the daemon beside a target gave back. One that could not wait at the best
// target either is refused.
func (t *Task) bounce(p *pending, a *attempt, r call.Refused, now time.Time) {
	event.CallBounced.Log("request", p.Request.ID, "target", a.target.Name, "reason", r.Kind, "waited", now.Sub(a.started), "pressed", p.pressed)
	if p.refused == nil || r.RetryAfter < p.refused.RetryAfter {
		p.refused = &r
	}
	enough := len(p.bounced) >= place.MaxBounces
	if p.pressed || !place.Bounces(r.Kind) || enough && !p.Request.Final {
		t.conclude(p, *p.refused)
		return
	}
	p.tried = slices.DeleteFunc(p.tried, func(n ident.Target) bool { return n == a.target.Name })
	p.bounced = append(p.bounced, a.target.Name)
	if enough {
		p.pressed, p.bounced = true, nil
	}
	t.place(p)
}
