package place_test

import (
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/policy/admit"
	"jacinthcross/internal/policy/place"
	"jacinthcross/internal/policy/route"
)

// arrive admits a call at the daemon of a target.
func (sm *simulation) arrive(t *target, pending *pendingCall) {
	q := pending.request
	decision := t.gate.Admit(admit.Arrival{
		Call: pending.id, Rank: q.Rank, Deadline: q.Deadline, Route: q.Route, SoftDeadline: q.SoftDeadline, HoldUntil: q.HoldUntil, RetriedByCaller: q.RetriedByCaller, CallerCannotRetry: q.CallerCannotRetry, UsualLatency: q.UsualLatency, MinOtherSlowness: q.MinOtherSlowness,
	}, sm.now)
	switch d := decision.(type) {
	case admit.Start:
		sm.run(t, pending)
	case admit.Wait:
		t.waiting[pending.id] = pending
		sm.applyActions(t)
	case admit.Refuse:
		sm.handleRefusal(t, pending, d.Kind, d.RetryAfter)
	}
}

func (sm *simulation) applyActions(t *target) {
	for _, s := range t.gate.Actions(sm.now) {
		switch s := s.(type) {
		case admit.Dispatch:
			pending := t.waiting[s.Call]
			delete(t.waiting, s.Call)
			sm.run(t, pending)
		case admit.Drop:
			pending := t.waiting[s.Call]
			delete(t.waiting, s.Call)
			sm.handleRefusal(t, pending, s.Kind, s.RetryAfter)
		case admit.Measure:
			sm.schedule(time.Millisecond, func() {
				t.gate.RecordSlowness(sm.slowness(t), sm.now)
				sm.applyActions(t)
			})
		}
	}
	if at, ok := t.gate.NextActionAt(sm.now); ok && (t.nextActionAt.Before(sm.now) || at.Before(t.nextActionAt)) {
		t.nextActionAt = at
		sm.schedule(max(0, at.Sub(sm.now)), func() {
			t.nextActionAt = time.Time{}
			sm.applyActions(t)
		})
	}
}

// slowness returns the slowness that the target reports.
func (sm *simulation) slowness(t *target) float64 {
	s := t.noiseSlowness
	if sm.slowTargetFactor > 0 && t.firstOfService {
		s *= sm.slowTargetFactor
	}
	return s
}

// run runs a call on a target, and then its nested calls in sequence.
func (sm *simulation) run(t *target, pending *pendingCall) {
	t.running++
	slowness, inFlight := sm.slowness(t), t.gate.InFlight()
	work := time.Duration((0.7 + 0.6*sm.random.Float64()) * slowness * float64(pending.class.work))
	if sm.kneeFactor > 0 && float64(t.running) > 0.8*float64(sm.slots) {
		work = time.Duration(sm.kneeFactor * float64(work))
	}
	started := sm.now
	sm.schedule(work, func() { sm.runNestedCalls(t, pending, pending.class.nestedCalls, started, slowness, inFlight) })
}

func (sm *simulation) runNestedCalls(t *target, pending *pendingCall, remaining []ident.Route, started time.Time, slowness float64, inFlight int) {
	if len(remaining) == 0 {
		sm.end(t, pending, started, slowness, inFlight, true)
		return
	}
	for _, k := range sm.classes {
		if k.name != remaining[0] {
			continue
		}
		sm.tallies[k.name].calls++
		left := min(k.allowed, pending.request.Deadline.Sub(sm.now))
		sm.accept(&pendingCall{class: k, entryTarget: t, firstSent: sm.now, remaining: left, done: func(ok bool) {
			if !ok {
				sm.end(t, pending, started, slowness, inFlight, false)
				return
			}
			sm.runNestedCalls(t, pending, remaining[1:], started, slowness, inFlight)
		}})
	}
}

// end ends a run. An answer after the deadline counts as a failure.
func (sm *simulation) end(t *target, pending *pendingCall, started time.Time, slowness float64, inFlight int, ok bool) {
	t.running--
	finished := admit.FinishedCall{Route: pending.class.name, Duration: sm.now.Sub(started), Slowness: slowness, InFlight: inFlight}
	if !sm.measure {
		finished.Slowness = 0
	}
	if ok {
		t.gate.Done(admit.Completed, finished, sm.now)
	} else {
		t.gate.Done(admit.Failed, finished, sm.now)
	}
	sm.applyActions(t)
	sm.schedule(hopDelay, func() {
		table := pending.entryTarget.tables[pending.class.service]
		if !ok || sm.now.After(pending.request.Deadline) {
			table.RecordResult(t.name, pending.id, route.LoadOnly{Load: sm.load(t)}, sm.now)
			sm.fail(pending)
			return
		}
		table.RecordResult(t.name, pending.id, route.Served{Latency: sm.now.Sub(pending.sent), Load: sm.load(t)}, sm.now)
		pending.entryTarget.latencies.Add(pending.class.name, sm.now.Sub(pending.sent))
		if sm.now.Sub(pending.firstSent) <= pending.class.softDeadline {
			sm.tallies[pending.class.name].inTime++
		} else {
			sm.tallies[pending.class.name].late++
		}
		if pending.done != nil {
			pending.done(true)
		}
	})
}

func (sm *simulation) load(t *target) call.Load {
	slowness, at := t.gate.Slowness()
	l := call.Load{InFlight: t.gate.InFlight(), Queued: t.gate.Queued(), Limit: t.gate.Limit(), Incarnation: ident.Incarnation{1}}
	if sm.now.Sub(at) <= 20*time.Millisecond {
		l.Slowness, l.ExpectedSlowDuration = float32(slowness), t.gate.ExpectedSlowDuration(sm.now)
	}
	return l
}

// handleRefusal reports a refusal by the daemon of a target to the daemon where the call entered. That daemon redirects
// or refuses the call.
func (sm *simulation) handleRefusal(t *target, pending *pendingCall, reason errs.Kind, retryAfter time.Duration) {
	sm.schedule(hopDelay, func() {
		pending.entryTarget.tables[pending.class.service].RecordResult(t.name, pending.id, route.LoadOnly{Load: sm.load(t)}, sm.now)
		if pending.retryAfter == 0 || retryAfter < pending.retryAfter {
			pending.retryAfter = retryAfter
		}
		limitReached := len(pending.triedTargets) >= place.MaxRedirects && !pending.request.CallerCannotRetry
		if !sm.redirect || pending.mayQueue || limitReached || !place.Redirectable(reason) {
			sm.refuse(pending)
			return
		}
		pending.triedTargets = append(pending.triedTargets, t.name)
		sm.send(pending)
	})
}

// refuse refuses a call. Its caller retries after the Retry-After if it has retries and time left.
func (sm *simulation) refuse(pending *pendingCall) {
	left := pending.remaining - sm.now.Sub(pending.arrived)
	pending.entryTarget.refusals.Add(&pending.request, pending.firstSent, sm.now.Add(left), sm.now)
	wait := place.RetryAfter(max(pending.retryAfter, 10*time.Millisecond), left, sm.random)
	if pending.retries == 0 || left <= wait {
		if sm.tallies[pending.class.name].refused++; pending.done != nil {
			pending.done(false)
		}
		return
	}
	pending.retries--
	pending.retryAfter = 0
	sm.schedule(wait, func() {
		pending.remaining = left - wait
		sm.accept(pending)
	})
}

func (sm *simulation) fail(pending *pendingCall) {
	sm.tallies[pending.class.name].failed++
	if pending.done != nil {
		pending.done(false)
	}
}
