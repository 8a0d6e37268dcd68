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

// arrive takes a call at the daemon beside a target.
func (w *world) arrive(t *target, y *try) {
	q := y.request
	decision := t.gate.Arrive(admit.Arrival{
		Call: y.id, Rank: q.Rank, Deadline: q.Deadline, Kind: q.Route, Aim: q.Aim, HoldUntil: q.HoldUntil, Returned: q.Returned, Final: q.Final, Usual: q.Usual, Elsewhere: q.Elsewhere,
	}, w.now)
	switch d := decision.(type) {
	case admit.Start:
		w.run(t, y)
	case admit.Wait:
		t.waiting[y.id] = y
		w.steps(t)
	case admit.Refuse:
		w.back(t, y, d.Kind, d.RetryAfter)
	}
}

func (w *world) steps(t *target) {
	for _, s := range t.gate.Steps(w.now) {
		switch s := s.(type) {
		case admit.Dispatch:
			y := t.waiting[s.Call]
			delete(t.waiting, s.Call)
			w.run(t, y)
		case admit.Drop:
			y := t.waiting[s.Call]
			delete(t.waiting, s.Call)
			w.back(t, y, s.Kind, s.RetryAfter)
		case admit.Measure:
			w.after(time.Millisecond, func() {
				t.gate.Sense(w.slowness(t), w.now)
				w.steps(t)
			})
		}
	}
	if at, ok := t.gate.Next(w.now); ok && (t.stepAt.Before(w.now) || at.Before(t.stepAt)) {
		t.stepAt = at
		w.after(max(0, at.Sub(w.now)), func() {
			t.stepAt = time.Time{}
			w.steps(t)
		})
	}
}

// slowness is what the target tells.
func (w *world) slowness(t *target) float64 {
	s := t.noisy
	if w.broken > 0 && t.first {
		s *= w.broken
	}
	return s
}

// run runs a call on a target, with its inner calls one after the other.
func (w *world) run(t *target, y *try) {
	t.running++
	slowness, among := w.slowness(t), t.gate.InFlight()
	work := time.Duration((0.7 + 0.6*w.random.Float64()) * slowness * float64(y.kind.work))
	if w.knee > 0 && float64(t.running) > 0.8*float64(w.slots) {
		work = time.Duration(w.knee * float64(work))
	}
	started := w.now
	w.after(work, func() { w.inner(t, y, y.kind.inner, started, slowness, among) })
}

func (w *world) inner(t *target, y *try, rest []ident.Route, started time.Time, slowness float64, among int) {
	if len(rest) == 0 {
		w.end(t, y, started, slowness, among, true)
		return
	}
	for _, k := range w.kinds {
		if k.name != rest[0] {
			continue
		}
		w.tallies[k.name].asked++
		left := min(k.allowed, y.request.Deadline.Sub(w.now))
		w.enter(&try{kind: k, entry: t, first: w.now, left: left, done: func(ok bool) {
			if !ok {
				w.end(t, y, started, slowness, among, false)
				return
			}
			w.inner(t, y, rest[1:], started, slowness, among)
		}})
	}
}

// end ends a run. The answer of a target that stopped at the deadline reaches nobody.
func (w *world) end(t *target, y *try, started time.Time, slowness float64, among int, ok bool) {
	t.running--
	ran := admit.Run{Kind: y.kind.name, Took: w.now.Sub(started), Slowness: slowness, InFlight: among}
	if !w.sensor {
		ran.Slowness = 0
	}
	if ok {
		t.gate.Done(admit.Completed, ran, w.now)
	} else {
		t.gate.Done(admit.Failed, ran, w.now)
	}
	w.steps(t)
	w.after(hop, func() {
		table := y.entry.tables[y.kind.service]
		if !ok || w.now.After(y.request.Deadline) {
			table.Finished(t.name, y.id, route.Declined{Load: w.load(t)}, w.now)
			w.fail(y)
			return
		}
		table.Finished(t.name, y.id, route.Served{Latency: w.now.Sub(y.sent), Load: w.load(t)}, w.now)
		y.entry.costs.Add(y.kind.name, w.now.Sub(y.sent))
		if w.now.Sub(y.first) <= y.kind.aim {
			w.tallies[y.kind.name].inAim++
		} else {
			w.tallies[y.kind.name].late++
		}
		if y.done != nil {
			y.done(true)
		}
	})
}

func (w *world) load(t *target) call.Load {
	slowness, at := t.gate.Slowness()
	l := call.Load{InFlight: t.gate.InFlight(), Queued: t.gate.Queued(), Limit: t.gate.Limit(), Incarnation: ident.Incarnation{1}}
	if w.now.Sub(at) <= 20*time.Millisecond {
		l.Slowness, l.SlowFor = float32(slowness), t.gate.SlowFor(w.now)
	}
	return l
}

// back gives a call back to the daemon at which it entered.
func (w *world) back(t *target, y *try, reason errs.Kind, retryAfter time.Duration) {
	w.after(hop, func() {
		y.entry.tables[y.kind.service].Finished(t.name, y.id, route.Declined{Load: w.load(t)}, w.now)
		if y.retry == 0 || retryAfter < y.retry {
			y.retry = retryAfter
		}
		if !w.bounce || y.pressed || !place.Bounces(reason) {
			w.refuse(y)
			return
		}
		y.bounced = append(y.bounced, t.name)
		w.place(y)
	})
}

// refuse tells a caller that its call was not run, and when to come back.
func (w *world) refuse(y *try) {
	left := y.left - w.now.Sub(y.arrived)
	y.entry.returns.Refused(&y.request, y.first, w.now.Add(left), w.now)
	wait := place.RetryAfter(max(y.retry, 10*time.Millisecond), left, w.random)
	if y.retries == 0 || left <= wait {
		if w.tallies[y.kind.name].refused++; y.done != nil {
			y.done(false)
		}
		return
	}
	y.retries--
	y.retry = 0
	w.after(wait, func() {
		y.left = left - wait
		w.enter(y)
	})
}

func (w *world) fail(y *try) {
	w.tallies[y.kind.name].failed++
	if y.done != nil {
		y.done(false)
	}
}
