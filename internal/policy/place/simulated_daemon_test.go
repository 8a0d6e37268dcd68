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
func (sm *simulation) arrive(t *target, attempt *callAttempt) {
	q := attempt.request
	decision := t.gate.Admit(admit.Arrival{
		Call: attempt.id, Rank: q.Rank, Deadline: q.Deadline, Route: q.Route, SoftDeadline: q.SoftDeadline, HoldUntil: q.HoldUntil, RetriedByCaller: q.RetriedByCaller, CallerCannotRetry: q.CallerCannotRetry, UsualLatency: q.UsualLatency, MinOtherSlowness: q.MinOtherSlowness,
	}, sm.now)
	switch d := decision.(type) {
	case admit.Start:
		sm.run(t, attempt)
	case admit.Wait:
		t.waiting[attempt.id] = attempt
		sm.applyActions(t)
	case admit.Refuse:
		sm.handleRefusal(t, attempt, d.Kind, d.RetryAfter)
	}
}

func (sm *simulation) applyActions(t *target) {
	for _, s := range t.gate.Actions(sm.now) {
		switch s := s.(type) {
		case admit.Dispatch:
			attempt := t.waiting[s.Call]
			delete(t.waiting, s.Call)
			sm.run(t, attempt)
		case admit.Drop:
			attempt := t.waiting[s.Call]
			delete(t.waiting, s.Call)
			sm.handleRefusal(t, attempt, s.Kind, s.RetryAfter)
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
	if sm.slowTargetFactor > 0 && t.first {
		s *= sm.slowTargetFactor
	}
	return s
}

// run runs a call on a target, and then its inner calls in sequence.
func (sm *simulation) run(t *target, attempt *callAttempt) {
	t.running++
	slowness, inFlight := sm.slowness(t), t.gate.InFlight()
	work := time.Duration((0.7 + 0.6*sm.random.Float64()) * slowness * float64(attempt.class.work))
	if sm.kneeFactor > 0 && float64(t.running) > 0.8*float64(sm.slots) {
		work = time.Duration(sm.kneeFactor * float64(work))
	}
	started := sm.now
	sm.schedule(work, func() { sm.runInnerCalls(t, attempt, attempt.class.innerCalls, started, slowness, inFlight) })
}

func (sm *simulation) runInnerCalls(t *target, attempt *callAttempt, remaining []ident.Route, started time.Time, slowness float64, inFlight int) {
	if len(remaining) == 0 {
		sm.end(t, attempt, started, slowness, inFlight, true)
		return
	}
	for _, k := range sm.classes {
		if k.name != remaining[0] {
			continue
		}
		sm.tallies[k.name].calls++
		left := min(k.allowed, attempt.request.Deadline.Sub(sm.now))
		sm.accept(&callAttempt{class: k, entry: t, firstSent: sm.now, remaining: left, done: func(ok bool) {
			if !ok {
				sm.end(t, attempt, started, slowness, inFlight, false)
				return
			}
			sm.runInnerCalls(t, attempt, remaining[1:], started, slowness, inFlight)
		}})
	}
}

// end ends a run. An answer after the deadline counts as a failure.
func (sm *simulation) end(t *target, attempt *callAttempt, started time.Time, slowness float64, inFlight int, ok bool) {
	t.running--
	finished := admit.FinishedCall{Route: attempt.class.name, Duration: sm.now.Sub(started), Slowness: slowness, InFlight: inFlight}
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
		table := attempt.entry.tables[attempt.class.service]
		if !ok || sm.now.After(attempt.request.Deadline) {
			table.RecordResult(t.name, attempt.id, route.LoadOnly{Load: sm.load(t)}, sm.now)
			sm.fail(attempt)
			return
		}
		table.RecordResult(t.name, attempt.id, route.Served{Latency: sm.now.Sub(attempt.sent), Load: sm.load(t)}, sm.now)
		attempt.entry.latencies.Add(attempt.class.name, sm.now.Sub(attempt.sent))
		if sm.now.Sub(attempt.firstSent) <= attempt.class.softDeadline {
			sm.tallies[attempt.class.name].inTime++
		} else {
			sm.tallies[attempt.class.name].late++
		}
		if attempt.done != nil {
			attempt.done(true)
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

// handleRefusal sends the refusal of a call that was not run to the daemon where the call entered, which redirects or
// refuses it.
func (sm *simulation) handleRefusal(t *target, attempt *callAttempt, reason errs.Kind, retryAfter time.Duration) {
	sm.schedule(hopDelay, func() {
		attempt.entry.tables[attempt.class.service].RecordResult(t.name, attempt.id, route.LoadOnly{Load: sm.load(t)}, sm.now)
		if attempt.retryAfter == 0 || retryAfter < attempt.retryAfter {
			attempt.retryAfter = retryAfter
		}
		if !sm.redirect || attempt.allBusy || !place.Redirectable(reason) {
			sm.refuse(attempt)
			return
		}
		attempt.triedTargets = append(attempt.triedTargets, t.name)
		sm.send(attempt)
	})
}

// refuse refuses a call. Its caller retries after the Retry-After if it has retries and time left.
func (sm *simulation) refuse(attempt *callAttempt) {
	left := attempt.remaining - sm.now.Sub(attempt.arrived)
	attempt.entry.refusals.Add(&attempt.request, attempt.firstSent, sm.now.Add(left), sm.now)
	wait := place.RetryAfter(max(attempt.retryAfter, 10*time.Millisecond), left, sm.random)
	if attempt.retries == 0 || left <= wait {
		if sm.tallies[attempt.class.name].refused++; attempt.done != nil {
			attempt.done(false)
		}
		return
	}
	attempt.retries--
	attempt.retryAfter = 0
	sm.schedule(wait, func() {
		attempt.remaining = left - wait
		sm.accept(attempt)
	})
}

func (sm *simulation) fail(attempt *callAttempt) {
	sm.tallies[attempt.class.name].failed++
	if attempt.done != nil {
		attempt.done(false)
	}
}
