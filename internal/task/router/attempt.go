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
	"jacinthcross/internal/policy/shed"
	"jacinthcross/internal/task/dialer"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/local"
)

// An attempt is one send of a call to a target.
type attempt struct {
	id     call.ID
	call   *pendingCall
	target note.Target
	// key is the idempotency key that is sent: the key of the caller, an internal key, or none.
	key     string
	started time.Time
	// allowance is the part of the call's retry allowance that was passed on with the attempt.
	allowance int
	hedge     bool
}

// maxLoadAgeForKey is the maximum age of a load report whose epoch is used in a new key. The keys of an epoch stay valid
// for at least two more epochs. An epoch lasts for minutes, so a key with the epoch of such a recent report has not
// expired when it is issued.
const maxLoadAgeForKey = 2 * time.Second

// sendNext chooses a target for the next attempt of a call and sends it. A request that crashes targets is refused: the
// daemon beside the target may have started too recently to know of it.
func (t *Task) sendNext(p *pendingCall) {
	now := t.clock.Now()
	switch {
	case t.isQuarantined(p, now):
		t.conclude(p, refusal(errs.Quarantined, "the request has crashed several targets of service "+string(p.Request.Service)))
		return
	case t.needsTrial(p, now):
		t.sendTrial(p)
		return
	}
	if p.Request.Key != "" {
		target, refused := t.keyOwner(p)
		if refused != nil {
			t.conclude(p, *refused)
			return
		}
		t.send(p, &attempt{target: target, key: p.Request.Key})
		return
	}
	if t.keyless {
		t.sendKeyless(p)
		return
	}
	table := t.table(p.Request.Service)
	name, ok := table.Pick(now, p.tried)
	if !ok {
		name, ok = table.Pick(now, nil)
	}
	if !ok {
		t.conclude(p, t.noTarget(p))
		return
	}
	target := t.release.Targets[name]
	if p.Request.Idempotent {
		t.send(p, &attempt{target: target})
		return
	}
	if load, ok := table.Load(name, maxLoadAgeForKey, now); ok {
		t.send(p, &attempt{target: target, key: ledger.NewKey(name, load.Incarnation, load.Epoch).String()})
		return
	}
	p.awaitingLoad = name
	if !t.awaitLoad(target, waitingCall{p.ID}) {
		t.conclude(p, refusal(errs.Busy, "too many calls are waiting for a load report of target "+string(name)))
	}
}

// keyOwner returns the target named by the key of a call, even if that target was withdrawn recently.
func (t *Task) keyOwner(p *pendingCall) (note.Target, *call.Refused) {
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
	r := refusal(errs.KeyMismatch, "the key belongs to service "+string(target.Service))
	return note.Target{}, &r
}

// send starts an attempt and passes on a part of the call's retry allowance with it.
func (t *Task) send(p *pendingCall, a *attempt) {
	now := t.clock.Now()
	if !p.Request.Deadline.After(now) {
		t.conclude(p, refusal(errs.DeadlineExceeded, "the deadline passed before the call was sent"))
		return
	}
	a.id, a.call, a.started = call.NextID(), p, now
	a.allowance = max(0, p.allowance-reservedAllowance)
	p.allowance -= a.allowance
	request := p.Request
	request.RetryAllowance, request.Key = a.allowance, a.key
	p.tried = append(p.tried, a.target.Name)
	p.attempts = append(p.attempts, a)
	t.attempts[a.id] = a
	t.table(request.Service).RecordAttempt(a.target.Name, a.id, t.routeLatencies.Of(request.Route), now)
	event.CallSent.Log("request", request.ID, "route", request.Route, "service", request.Service, "target", a.target.Name,
		"attempt", len(p.tried), "release", t.release.Head.Serial, "left", request.Deadline.Sub(now))
	if !t.dispatch(a, request) {
		t.handleResult(call.Result{Attempt: a.id, Outcome: refusal(errs.Busy, "too many calls are waiting to be sent by this daemon")})
		return
	}
	if !t.keyless && !p.hedged && len(p.attempts) == 1 && request.Idempotent && request.Key == "" &&
		(request.Method == http.MethodGet || request.Method == http.MethodHead) {
		if d, ok := t.serviceLatencies[request.Service].P95(); ok {
			t.timers.Set(hedgeTimer{p.ID}, now.Add(d))
		}
	}
}

// dispatch passes an attempt to the task that sends it. It returns false if the mailbox of that task is full.
func (t *Task) dispatch(a *attempt, request call.Request) bool {
	if a.target.VM == t.vm {
		return t.local.TryPut(local.Run{ID: a.id, Target: a.target.Name, Request: request, Reply: t.results})
	}
	return t.dialer.TryPut(dialer.Message{Peer: a.target.Daemon, Message: link.Send{
		ID: a.id, Target: a.target.Name, Request: request, Reply: t.results,
	}})
}

// sendHedge sends a second attempt of a read that takes longer than the p95 latency of its service.
func (t *Task) sendHedge(id call.ID) {
	p, ok := t.calls[id]
	if !ok || p.hedged || len(p.attempts) != 1 {
		return
	}
	name, ok := t.table(p.Request.Service).Pick(t.clock.Now(), p.tried)
	if !ok || !t.retryPolicy.TakeHedge() {
		return
	}
	p.hedged = true
	t.send(p, &attempt{target: t.release.Targets[name], hedge: true})
}

// handleResult processes the result of an attempt: it concludes the call or decides on another attempt.
func (t *Task) handleResult(r call.Result) {
	a, ok := t.attempts[r.Attempt]
	if !ok {
		return
	}
	p, now := a.call, t.clock.Now()
	t.settleAttempt(a, r)
	t.recordAttemptResult(a, attemptResultOf(r, now.Sub(a.started)), now)
	// A call that is late already waits behind all others, so its refusal says nothing about the room for those in time.
	late := !p.Request.SoftDeadline.IsZero() && p.Request.SoftDeadline.Before(now.Add(p.Request.UsualLatency))
	if refused, ok := r.Outcome.(call.Refused); ok && refused.Kind == errs.TargetCold && !late {
		t.table(p.Request.Service).RecordColdRefusal(a.target.Name, p.Request.Rank, refused.RetryAfter, now)
	}
	// Only the daemon beside the target reports an incarnation.
	p.targetDaemonReplied = !r.Load.Incarnation.IsZero()
	if r.Load.Head.IsAfter(t.release.Head) {
		t.onNewerRelease(r.Load.Head, a.target.Daemon)
	}
	if _, unknown := r.Outcome.(call.Unknown); r.Sent || unknown {
		// The daemon beside the target cannot report that it has sent the call when the connection to it is lost.
		p.sends++
	}
	if answered, ok := r.Outcome.(call.Answered); ok {
		t.routeSizes.Add(p.Request.Route, len(p.Request.Body)+len(answered.Body))
		if !p.arrived.Before(t.pauseEnded) {
			t.routeLatencies.Add(p.Request.Route, now.Sub(a.started))
			t.serviceLatencies[p.Request.Service].Add(now.Sub(p.arrived))
		}
		p.hedgeWon = a.hedge
		t.conclude(p, r.Outcome)
		return
	}
	t.retryOrConclude(p, a, r.Outcome, r.Sent, now)
}

// settleAttempt removes an attempt and returns its allowance to the call, less the retries that the result reports. If
// the outcome is unknown and there is no report from the daemon beside the target, the whole allowance counts as used.
func (t *Task) settleAttempt(a *attempt, r call.Result) {
	delete(t.attempts, a.id)
	p := a.call
	p.attempts = slices.DeleteFunc(p.attempts, func(other *attempt) bool { return other == a })
	used := min(a.allowance, r.RetriesUsed)
	if _, unknown := r.Outcome.(call.Unknown); unknown && r.Load.Incarnation.IsZero() {
		used = a.allowance
	}
	p.allowance += a.allowance - used
	t.reportRetries(p, used)
}

// retryOrConclude decides how a call continues after an attempt without an answer.
func (t *Task) retryOrConclude(p *pendingCall, a *attempt, o call.Outcome, sent bool, now time.Time) {
	mayHaveRunBefore := p.firstUnknown != nil
	if u, ok := o.(call.Unknown); ok && !mayHaveRunBefore {
		p.firstUnknown = &u
	}
	if len(p.attempts) > 0 {
		return
	}
	if refused, ok := o.(call.Refused); ok && !sent && t.keyless {
		t.redirect(p, a, refused, now)
		return
	}
	if p.route.Attempts > 0 && p.sends >= p.route.Attempts {
		t.conclude(p, o)
		return
	}
	_, untried := t.table(p.Request.Service).Pick(now, p.tried)
	decision := t.retryPolicy.Decide(retry.Attempt{
		Caller: p.Request.Caller, Service: p.Request.Service, Outcome: o, Idempotent: p.Request.Idempotent,
		OwnerBound: p.Request.Key != "", Keyed: a.key != "", MayHaveRun: mayHaveRunBefore, HasUntriedTarget: untried,
		Retries: p.retries, Reattachments: p.reattachments, RetryAllowance: p.allowance, Deadline: p.Request.Deadline,
		Claim: shed.Claim{Rank: p.Request.Rank, Returned: p.Request.RetriedByCaller, Final: p.Request.CallerCannotRetry},
	}, now)
	switch d := decision.(type) {
	case retry.Stop:
		t.conclude(p, o)
	case retry.Withhold:
		t.withholdRetry(p, o)
	case retry.Retry:
		p.retries++
		p.allowance--
		t.reportRetries(p, 1)
		t.countRetry(d.Reason)
		event.CallRetried.Log("request", p.Request.ID, "reason", d.Reason, "outcome", call.OutcomeLabel(o), "target", a.target.Name, "after", d.Delay)
		t.timers.Set(retryTimer{p.ID}, now.Add(d.Delay))
	case retry.Reattach:
		p.reattachments++
		p.reattachTo = a
		t.countRetry(retry.LinkLost)
		t.timers.Set(retryTimer{p.ID}, now.Add(d.Delay))
	}
}

// withholdRetry concludes a call that may not be retried because retries are short. Under shed.ByCost, the caller of a
// refused call comes back as soon as that is of use.
func (t *Task) withholdRetry(p *pendingCall, o call.Outcome) {
	event.RetryWithheld.Log("request", p.Request.ID, "rank", p.Request.Rank, "outcome", call.OutcomeLabel(o), "returned", p.Request.RetriedByCaller, "final", p.Request.CallerCannotRetry)
	if r, ok := o.(call.Refused); ok && t.shedding == shed.ByCost {
		r.RetryAfter = shed.ReturnAfter(r.Kind, r.RetryAfter)
		o = r
	}
	t.conclude(p, o)
}

// sendDelayed sends the next attempt of a call after its delay.
func (t *Task) sendDelayed(id call.ID) {
	p, ok := t.calls[id]
	if !ok {
		return
	}
	if a := p.reattachTo; a != nil {
		p.reattachTo = nil
		t.send(p, &attempt{target: a.target, key: a.key})
		return
	}
	t.sendNext(p)
}

// reportRetries tells the local task about retries made on behalf of an inbound call.
func (t *Task) reportRetries(p *pendingCall, n int) {
	if p.context == nil {
		return
	}
	for range n {
		t.local.TryPut(local.RetryUsed{Token: p.Context})
	}
}

// cancelAttempt cancels an attempt in flight and records feedback about its target.
func (t *Task) cancelAttempt(a *attempt, result route.AttemptResult) {
	t.settleAttempt(a, call.Result{Outcome: call.Unknown{}})
	t.recordAttemptResult(a, result, t.clock.Now())
	if a.target.VM == t.vm {
		t.local.TryPut(local.Cancel{ID: a.id})
		return
	}
	t.dialer.TryPut(dialer.Message{Peer: a.target.Daemon, Message: link.Cancel{ID: a.id}})
}

// recordAttemptResult records the end of an attempt in the routing table. If the attempt was in flight during a pause of
// this process, its duration says nothing about the target and is left out.
func (t *Task) recordAttemptResult(a *attempt, f route.AttemptResult, now time.Time) {
	if a.started.Before(t.pauseEnded) {
		switch answered := f.(type) {
		case route.Served:
			f = route.LoadOnly{Load: answered.Load}
		case route.TimedOut, route.Cancelled:
			f = route.Cancelled{}
		}
	}
	t.table(a.call.Request.Service).RecordResult(a.target.Name, a.id, f, now)
}

// attemptResultOf returns the feedback about a target that follows from a result. A lost link is not a failure of the
// target: if its VM is gone, the next connection attempt fails.
func attemptResultOf(r call.Result, age time.Duration) route.AttemptResult {
	switch o := r.Outcome.(type) {
	case call.Answered:
		return route.Served{Latency: age, Load: r.Load}
	case call.Refused:
		// If the load report says that the target is down, LoadOnly is enough, since the report excludes the target at
		// once.
		if o.Kind == errs.PeerUnreachable || o.Kind == errs.TargetDown && !r.Load.Down {
			return route.Failed{}
		}
		return route.LoadOnly{Load: r.Load}
	case call.Unknown:
		switch o.Kind {
		case errs.PeerLost, errs.CallerGone:
			return route.Cancelled{Age: age}
		case errs.DeadlineInFlight:
			return route.TimedOut{Age: age}
		case errs.AnswerTooLarge:
			return route.LoadOnly{Load: r.Load}
		}
	}
	return route.Failed{}
}
