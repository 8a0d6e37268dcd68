package router

import (
	"slices"
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/policy/place"
	"jacinthcross/internal/policy/route"
)

// sendKeyless chooses a target for a call without a key, idempotent or not, and sends it there, with a limit on how long
// the daemon beside the target may queue it. Only that daemon knows whether the call can start at once. If it cannot, the
// daemon refuses it.
func (t *Task) sendKeyless(p *pendingCall) {
	now := t.clock.Now()
	table := t.table(p.Request.Service)
	p.Request.UsualLatency = t.routeLatencies.Of(p.Request.Route)
	if t.placeWhileCold(p, table, now) {
		return
	}
	c := route.Call{Size: t.usualSize(p), Rank: p.Request.Rank}
	evacuated := t.reportedEvacuated(p)
	name, ok := table.PickFor(c, now, slices.Concat(p.tried, p.refusedBy, evacuated))
	if !ok && len(p.refusedBy) > 0 && !p.mayQueue {
		p.mayQueue, p.refusedBy = true, nil
		name, ok = table.PickFor(c, now, slices.Concat(p.tried, evacuated))
	}
	if !ok && len(p.refusedBy) == 0 {
		// All targets were tried. A failed one may still serve a call that can be repeated.
		name, ok = table.PickFor(c, now, evacuated)
	}
	if !ok {
		t.conclude(p, t.finalRefusal(p))
		return
	}
	t.sendKeylessTo(p, name, table, now)
}

// placeWhileCold decides on a call if all targets that have not refused it are cold and known to be full, and reports
// whether it has. Trying them one after the other would cost messages and time and end in the same refusal.
func (t *Task) placeWhileCold(p *pendingCall, table *route.Table, now time.Time) bool {
	if p.mayQueue {
		return false
	}
	if _, full := table.NextColdRoom(p.Request.Rank, now, slices.Concat(p.tried, p.refusedBy)); !full {
		return false
	}
	room, full := table.NextColdRoom(p.Request.Rank, now, p.tried)
	p.mayQueue, p.refusedBy = true, nil
	if !full {
		// A target that is not cold has refused the call. It may queue there.
		return false
	}
	if place.StartsInTime(&p.Request, room.At, now) {
		t.sendKeylessTo(p, room.Target, table, now)
		return true
	}
	t.conclude(p, call.Refused{Kind: errs.TargetCold, RetryAfter: room.At.Sub(now), Detail: "all targets of service " + string(p.Request.Service) + " are cold and full"})
	return true
}

// sendKeylessTo sends a call without a key to a target.
func (t *Task) sendKeylessTo(p *pendingCall, name ident.Target, table *route.Table, now time.Time) {
	target := t.release.Targets[name]
	p.Request.MinOtherSlowness = table.LowestSlownessExcept(name, now)
	p.Request.HoldUntil = place.HoldUntil(place.Placement{
		SoftDeadline: p.Request.SoftDeadline, UsualLatency: p.Request.UsualLatency, SameDataCentre: target.DataCentre == t.dataCentre, MayQueue: p.mayQueue,
	}, now)
	t.send(p, &attempt{target: target})
}

// usualSize returns the number of bytes that calls of the route usually move.
func (t *Task) usualSize(p *pendingCall) int {
	if size, ok := t.routeSizes[p.Request.Route]; ok {
		return size
	}
	return route.UnknownSize
}

// finalRefusal returns the refusal of a call that no target accepted.
func (t *Task) finalRefusal(p *pendingCall) call.Outcome {
	if p.bestRefusal != nil {
		return *p.bestRefusal
	}
	return t.noTarget(p)
}

// mayRedirect reports whether a call that was refused with a kind may be sent to another target. The daemon beside one
// target may quarantine a request because that target is at fault; a request that has crashed several targets is known
// here as well. A request that needs a trial runs on one target only.
func (t *Task) mayRedirect(p *pendingCall, kind errs.Kind, now time.Time) bool {
	return !t.needsTrial(p, now) && (place.Redirectable(kind) || kind == errs.Quarantined && !t.isQuarantined(p, now))
}

// redirect sends a call that was refused by the daemon beside a target to another target. The call itself is refused if
// it was already allowed to queue at the target that the table picks first (see mayQueue), if the reason of the refusal
// does not allow a redirect, or if the limit of redirects is reached and its caller can send it again.
func (t *Task) redirect(p *pendingCall, a *attempt, r call.Refused, now time.Time) {
	event.CallBounced.Log("request", p.Request.ID, "target", a.target.Name, "reason", r.Kind, "waited", now.Sub(a.started), "pressed", p.mayQueue)
	if p.bestRefusal == nil || r.RetryAfter < p.bestRefusal.RetryAfter {
		p.bestRefusal = &r
	}
	if r.Kind == errs.DataCentreEvacuated && !t.needsTrial(p, now) {
		t.leaveDataCentre(p, a)
		return
	}
	// At the limit of redirects, a call that its caller can send again is refused. Any other call may then queue at the
	// target that the table picks first.
	limitReached := len(p.refusedBy) >= place.MaxRedirects
	if p.mayQueue || !t.mayRedirect(p, r.Kind, now) || limitReached && !p.Request.CallerCannotRetry {
		t.conclude(p, *p.bestRefusal)
		return
	}
	p.tried = slices.DeleteFunc(p.tried, func(n ident.Target) bool { return n == a.target.Name })
	p.refusedBy = append(p.refusedBy, a.target.Name)
	if limitReached {
		p.mayQueue, p.refusedBy = true, nil
	}
	t.sendKeyless(p)
}
