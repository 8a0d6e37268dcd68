package router

import (
	"net/http"
	"slices"
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/policy/ledger"
	"jacinthcross/internal/policy/retry"
	"jacinthcross/internal/policy/route"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/links"
	"jacinthcross/internal/task/local"
)

// An attempt is one send of a call to a target.
type attempt struct {
	id      call.ID
	call    *pending
	target  note.Target
	key     string
	started time.Time
	// allowance is the part of the call's allowance that the attempt took along.
	allowance int
	hedge     bool
}

// keyAge is how old a report may be whose epoch goes into a new key. An epoch of minutes is valid for
// at least two of them, and with shorter ones of tests a key must not be expired when it is issued.
const keyAge = 2 * time.Second

// try sends the next attempt of a call to a target of its choice.
func (t *Task) try(p *pending) {
	if p.Request.Key != "" {
		target, refused := t.owner(p)
		if refused != nil {
			t.conclude(p, *refused)
			return
		}
		t.send(p, &attempt{target: target, key: p.Request.Key})
		return
	}
	if t.keyless {
		t.place(p)
		return
	}
	now := t.clock.Now()
	table := t.table(p.Request.Service)
	name, ok := table.Pick(now, p.tried)
	if !ok {
		name, ok = table.Pick(now, nil)
	}
	if !ok {
		t.conclude(p, refusal(errs.NoTarget, "service "+string(p.Request.Service)))
		return
	}
	target := t.release.Targets[name]
	if p.Request.Idempotent {
		t.send(p, &attempt{target: target})
		return
	}
	if load, ok := table.Load(name, keyAge, now); ok {
		t.send(p, &attempt{target: target, key: ledger.NewKey(name, load.Incarnation, load.Epoch).String()})
		return
	}
	p.waiting = name
	if !t.wait(target, callWait{p.ID}) {
		t.conclude(p, refusal(errs.Busy, "too many calls wait for the load of target "+string(name)))
	}
}

// owner returns the target that a key names, also when it was withdrawn a short time ago.
func (t *Task) owner(p *pending) (note.Target, *call.Refused) {
	key, err := ledger.ParseKey(p.Request.Key)
	if err != nil {
		r := refusal(errs.KindOf(err), err.Error())
		return note.Target{}, &r
	}
	target, ok := t.release.Targets[key.Target]
	if !ok {
		target = t.release.Withdrawn[key.Target].Target
	}
	switch target.Service {
	case p.Request.Service:
		return target, nil
	case "":
		r := refusal(errs.OwnerGone, "target "+string(key.Target)+" is not in the release")
		return note.Target{}, &r
	}
	r := refusal(errs.KeyMismatch, "the key is of service "+string(target.Service))
	return note.Target{}, &r
}

// send starts an attempt, which takes a part of the allowance of the call along.
func (t *Task) send(p *pending, a *attempt) {
	now := t.clock.Now()
	if !p.Request.Deadline.After(now) {
		t.conclude(p, refusal(errs.DeadlineExceeded, "the deadline passed before the call was sent"))
		return
	}
	a.id, a.call, a.started = call.NextID(), p, now
	a.allowance = max(0, p.allowance-keptAllowance)
	p.allowance -= a.allowance
	request := p.Request
	request.Allowance, request.Key = a.allowance, a.key
	p.tried = append(p.tried, a.target.Name)
	p.attempts = append(p.attempts, a)
	t.attempts[a.id] = a
	t.table(request.Service).Sent(a.target.Name, a.id, t.costs.Of(request.Route), now)
	event.CallSent.Log("request", request.ID, "route", request.Route, "service", request.Service, "target", a.target.Name,
		"attempt", len(p.tried), "release", t.release.Head.Serial, "left", request.Deadline.Sub(now))
	if !t.dispatch(a, request) {
		t.finish(call.Result{Attempt: a.id, Outcome: refusal(errs.Busy, "the mailbox is full")})
		return
	}
	if !t.keyless && !p.hedged && len(p.attempts) == 1 && request.Idempotent && request.Key == "" &&
		(request.Method == http.MethodGet || request.Method == http.MethodHead) {
		if d, ok := t.latencies[request.Service].P95(); ok {
			t.alarms.Set(hedge{p.ID}, now.Add(d))
		}
	}
}

// dispatch hands an attempt to the task that carries it, or reports false when its mailbox is full.
func (t *Task) dispatch(a *attempt, request call.Request) bool {
	if a.target.VM == t.vm {
		return t.local.TryPut(local.Run{ID: a.id, Target: a.target.Name, Request: request, Reply: t.results})
	}
	return t.links.TryPut(links.Message{Peer: a.target.Daemon, Message: link.Send{
		ID: a.id, Target: a.target.Name, Request: request, Reply: t.results,
	}})
}

// hedge sends a second attempt of a read that takes longer than the p95 of its service.
func (t *Task) hedge(id call.ID) {
	p, ok := t.calls[id]
	if !ok || p.hedged || len(p.attempts) != 1 {
		return
	}
	name, ok := t.table(p.Request.Service).Pick(t.clock.Now(), p.tried)
	if !ok || !t.retries.Hedge() {
		return
	}
	p.hedged = true
	t.send(p, &attempt{target: t.release.Targets[name], hedge: true})
}

// finish takes the result of an attempt and decides whether the call is tried again.
func (t *Task) finish(r call.Result) {
	a, ok := t.attempts[r.Attempt]
	if !ok {
		return
	}
	p, now := a.call, t.clock.Now()
	t.settleAttempt(a, r)
	t.show(a, feedback(r, now.Sub(a.started)), now)
	p.ownerSpoke = !r.Load.Incarnation.IsZero()
	if r.Load.Head.Serial > t.release.Head.Serial {
		t.headSeen(r.Load.Head, a.target.Daemon)
	}
	if r.Sent {
		p.sends++
	}
	if _, ok := r.Outcome.(call.Answered); ok {
		if !p.arrived.Before(t.paused) {
			t.costs.Add(p.Request.Route, now.Sub(a.started))
			t.latencies[p.Request.Service].Add(now.Sub(p.arrived))
		}
		p.hedgeWon = a.hedge
		t.conclude(p, r.Outcome)
		return
	}
	t.follow(p, a, r.Outcome, r.Sent, now)
}

// settleAttempt ends an attempt. What it took along of the allowance comes back less the retries that it
// reports. Without a report from the daemon beside the target all of it may have been used.
func (t *Task) settleAttempt(a *attempt, r call.Result) {
	delete(t.attempts, a.id)
	p := a.call
	p.attempts = slices.DeleteFunc(p.attempts, func(other *attempt) bool { return other == a })
	used := min(a.allowance, r.RetriesUsed)
	if _, unknown := r.Outcome.(call.Unknown); unknown && r.Load.Incarnation.IsZero() {
		used = a.allowance
	}
	p.allowance += a.allowance - used
	t.spent(p, used)
}

// follow decides what comes after an attempt that brought no answer.
func (t *Task) follow(p *pending, a *attempt, o call.Outcome, sent bool, now time.Time) {
	earlier := p.uncertain != nil
	if u, ok := o.(call.Unknown); ok && !earlier {
		p.uncertain = &u
	}
	if len(p.attempts) > 0 {
		return
	}
	if refused, ok := o.(call.Refused); ok && !sent && t.keyless {
		t.bounce(p, a, refused, now)
		return
	}
	if p.route.Attempts > 0 && p.sends >= p.route.Attempts {
		t.conclude(p, o)
		return
	}
	_, untried := t.table(p.Request.Service).Pick(now, p.tried)
	decision := t.retries.Decide(retry.Attempt{
		Caller: p.Request.Caller, Service: p.Request.Service, Outcome: o, Idempotent: p.Request.Idempotent,
		Bound: p.Request.Key != "", Keyed: a.key != "", Uncertain: earlier, Untried: untried,
		Retries: p.retries, Reattachments: p.reattachments, Allowance: p.allowance, Deadline: p.Request.Deadline,
	}, now)
	switch d := decision.(type) {
	case retry.Stop:
		t.conclude(p, o)
	case retry.Again:
		p.retries++
		p.allowance--
		t.spent(p, 1)
		t.retried(d.Reason)
		event.CallRetried.Log("request", p.Request.ID, "reason", d.Reason, "outcome", call.Label(o), "target", a.target.Name, "after", d.After)
		t.alarms.Set(again{p.ID}, now.Add(d.After))
	case retry.Reattach:
		p.reattachments++
		p.rejoin = a
		t.retried(retry.LinkLost)
		t.alarms.Set(again{p.ID}, now.Add(d.After))
	}
}

// again sends the attempt that was delayed.
func (t *Task) again(id call.ID) {
	p, ok := t.calls[id]
	if !ok {
		return
	}
	if a := p.rejoin; a != nil {
		p.rejoin = nil
		t.send(p, &attempt{target: a.target, key: a.key})
		return
	}
	t.try(p)
}

// spent tells the inbound call that the call serves of retries made for it.
func (t *Task) spent(p *pending, n int) {
	if p.context == nil {
		return
	}
	for range n {
		t.local.TryPut(local.RetrySpent{Token: p.Context})
	}
}

// abandon cancels an attempt that is under way.
func (t *Task) abandon(a *attempt, why route.Feedback) {
	t.settleAttempt(a, call.Result{Outcome: call.Unknown{}})
	t.show(a, why, t.clock.Now())
	if a.target.VM == t.vm {
		t.local.TryPut(local.Cancel{ID: a.id})
		return
	}
	t.links.TryPut(links.Message{Peer: a.target.Daemon, Message: link.Cancel{ID: a.id}})
}

// show tells the table how an attempt ended. The time of an attempt that was under way during a pause
// of this process says nothing of its target.
func (t *Task) show(a *attempt, f route.Feedback, now time.Time) {
	if a.started.Before(t.paused) {
		switch served := f.(type) {
		case route.Served:
			f = route.Declined{Load: served.Load}
		case route.Expired, route.Cancelled:
			f = route.Cancelled{}
		}
	}
	t.table(a.call.Request.Service).Finished(a.target.Name, a.id, f, now)
}

// feedback returns what a result shows of the target. A lost link is no fault of the target: when its
// VM is gone, the next connection fails.
func feedback(r call.Result, age time.Duration) route.Feedback {
	switch o := r.Outcome.(type) {
	case call.Answered:
		return route.Served{Latency: age, Load: r.Load}
	case call.Refused:
		// A load that says that the target is down takes it out of the choice at once.
		if o.Kind == errs.PeerUnreachable || o.Kind == errs.TargetDown && !r.Load.Down {
			return route.Failed{}
		}
		return route.Declined{Load: r.Load}
	case call.Unknown:
		switch o.Kind {
		case errs.PeerLost, errs.CallerGone:
			return route.Cancelled{Age: age}
		case errs.DeadlineInFlight:
			return route.Expired{Age: age}
		case errs.AnswerTooLarge:
			return route.Declined{Load: r.Load}
		}
	}
	return route.Failed{}
}
