package router

import (
	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/policy/ledger"
	"jacinthcross/internal/policy/retry"
	"jacinthcross/internal/policy/route"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/links"
	"jacinthcross/internal/task/local"
	"time"
)

const (
	maxDepth         = 7
	entryAllowance   = 1
	maxReattachments = 3
)

// submit completes the request from the release and the context, and sends the first attempt.
func (t *Task) submit(m Submit) {
	p := &pending{Submit: m}
	service, kind, detail := t.prepare(p)
	if kind != "" {
		t.reply(p, refusal(kind, detail))
		return
	}
	p.Request.Service = service.Name
	t.calls[p.ID] = p
	t.alarms.Set(p.ID, p.Request.Deadline)
	t.try(p)
}

// prepare fills in what the caller left open. It returns a kind when the call must be refused.
func (t *Task) prepare(p *pending) (note.Service, errs.Kind, string) {
	name := p.Request.Service
	if name == "" {
		name, _ = t.release.ServiceOfHost(p.Host)
	}
	service, ok := t.release.Services[name]
	if !ok {
		return service, errs.UnknownService, "service " + string(name) + ", host " + p.Host
	}
	now := t.clock.Now()
	if p.Request.Deadline.IsZero() {
		p.Request.Deadline = now.Add(service.Timeout)
	}
	if p.Request.Rank == "" {
		p.Request.Rank = service.Rank
	}
	p.Request.Idempotent = service.Idempotent(p.Request.Method)
	p.allowance = entryAllowance
	if c, ok := t.contexts[p.Context]; ok {
		t.inherit(p, c)
	}
	p.Request.Allowance = p.allowance
	switch {
	case p.Request.Depth >= maxDepth:
		return service, errs.DepthExceeded, ""
	case !p.Request.Deadline.After(now):
		return service, errs.DeadlineExceeded, ""
	case !p.Request.Idempotent && p.Request.Key == "" && service.KeyRequired:
		return service, errs.KeyRequired, ""
	}
	return service, "", ""
}

// inherit takes deadline, rank, depth and the retry allowance from the inbound call that the call serves.
// The allowance is moved: calls made at the same time on behalf of one inbound call do not multiply it.
func (t *Task) inherit(p *pending, c *local.Context) {
	p.context = c
	p.Request.Depth = c.Depth + 1
	p.Request.Rank = c.Rank
	if c.Deadline.Before(p.Request.Deadline) {
		p.Request.Deadline = c.Deadline
	}
	p.allowance, c.Allowance = c.Allowance, 0
}

// try sends the next attempt of a call.
func (t *Task) try(p *pending) {
	target, key, refused := t.choose(p)
	if refused != nil {
		t.conclude(p, *refused)
		return
	}
	t.send(p, target, key)
}

// choose returns the target of the next attempt and the key for it.
func (t *Task) choose(p *pending) (note.Target, string, *call.Refused) {
	if p.Request.Key != "" {
		return t.owner(p.Request.Key)
	}
	name, ok := t.table(p.Request.Service).Pick(t.clock.Now(), p.tried)
	if !ok {
		r := refusal(errs.NoTarget, "service "+string(p.Request.Service))
		return note.Target{}, "", &r
	}
	return t.release.Targets[name], "", nil
}

// owner returns the target that a key names, also when it was withdrawn a short time ago.
func (t *Task) owner(text string) (note.Target, string, *call.Refused) {
	key, err := ledger.ParseKey(text)
	if err != nil {
		r := refusal(errs.KindOf(err), err.Error())
		return note.Target{}, "", &r
	}
	if target, ok := t.release.Targets[key.Target]; ok {
		return target, text, nil
	}
	if w, ok := t.release.Withdrawn[key.Target]; ok {
		return w.Target, text, nil
	}
	r := refusal(errs.OwnerGone, "target "+string(key.Target)+" is not in the release")
	return note.Target{}, "", &r
}

func (t *Task) send(p *pending, target note.Target, key string) {
	now := t.clock.Now()
	a := &attempt{id: call.NextID(), call: p, target: target, key: key, started: now}
	request := p.Request
	request.Allowance = p.allowance
	if !request.Idempotent && key == "" {
		if load, ok := t.table(request.Service).Load(target.Name); ok {
			a.key = ledger.NewKey(target.Name, load.Incarnation, load.Epoch).String()
		} else {
			t.askLoad(target)
			t.conclude(p, refusal(errs.Unconfirmed, "the owner of the call is not known yet"))
			return
		}
	}
	request.Key = a.key
	p.attempt = a
	p.tried = append(p.tried, target.Name)
	t.attempts[a.id] = a
	t.table(request.Service).Sent(target.Name, a.id, now)
	if !t.dispatch(a, request) {
		t.finish(call.Result{Attempt: a.id, Outcome: refusal(errs.Busy, "the mailbox is full")})
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

// finish takes the result of an attempt and decides whether the call is tried again.
func (t *Task) finish(r call.Result) {
	a, ok := t.attempts[r.Attempt]
	if !ok {
		return
	}
	delete(t.attempts, r.Attempt)
	now := t.clock.Now()
	p := a.call
	t.table(p.Request.Service).Finished(a.target.Name, a.id, feedback(r, now.Sub(a.started)), now)
	t.spend(p, r.RetriesUsed)
	if t.reattach(p, a, r, now) {
		return
	}
	decision := retry.Decide(retry.Attempt{
		Outcome: r.Outcome, Idempotent: p.Request.Idempotent, Bound: p.Request.Key != "",
		Allowance: p.allowance, Deadline: p.Request.Deadline,
	}, now)
	switch decision.(type) {
	case retry.Again:
		t.spend(p, 1)
		t.try(p)
	case retry.Stop:
		t.conclude(p, r.Outcome)
	}
}

// reattach sends a keyed call again to the same daemon process after its link was lost. The ledger
// there joins it to the first send, so this is not a second run.
func (t *Task) reattach(p *pending, a *attempt, r call.Result, now time.Time) bool {
	o, ok := r.Outcome.(call.Unknown)
	if !ok || o.Kind != errs.PeerLost || a.key == "" || p.reattach >= maxReattachments || !p.Request.Deadline.After(now) {
		return false
	}
	p.reattach++
	t.send(p, a.target, a.key)
	return true
}

// spend takes retries out of the allowance of a call and tells the daemon's own target's call of them.
func (t *Task) spend(p *pending, n int) {
	if n <= 0 {
		return
	}
	p.allowance = max(0, p.allowance-n)
	p.used += n
	if p.context != nil {
		for range n {
			t.local.TryPut(local.RetrySpent{Token: p.Context})
		}
	}
}

func feedback(r call.Result, latency time.Duration) route.Feedback {
	switch o := r.Outcome.(type) {
	case call.Answered:
		return route.Served{Latency: latency, Load: r.Load}
	case call.Refused:
		if o.Kind == errs.PeerUnreachable || o.Kind == errs.TargetDown {
			return route.Failed{}
		}
		return route.Declined{Load: r.Load}
	case call.Unknown:
		return route.Failed{}
	}
	return route.Failed{}
}

// expire ends a call whose deadline has passed.
func (t *Task) expire(id call.ID) {
	if p, ok := t.calls[id]; ok {
		t.abandon(p)
		t.conclude(p, call.Unknown{Kind: errs.DeadlineInFlight, Detail: "the deadline passed before the outcome was known"})
	}
}

func (t *Task) cancel(id call.ID) {
	if p, ok := t.calls[id]; ok {
		t.abandon(p)
		t.conclude(p, call.Unknown{Kind: errs.CallerGone})
	}
}

// abandon cancels the attempt that is under way.
func (t *Task) abandon(p *pending) {
	a := p.attempt
	if a == nil || t.attempts[a.id] == nil {
		return
	}
	delete(t.attempts, a.id)
	t.table(p.Request.Service).Finished(a.target.Name, a.id, route.Cancelled{}, t.clock.Now())
	if a.target.VM == t.vm {
		t.local.TryPut(local.Cancel{ID: a.id})
		return
	}
	t.links.TryPut(links.Message{Peer: a.target.Daemon, Message: link.Cancel{ID: a.id}})
}

// conclude gives a call its outcome.
func (t *Task) conclude(p *pending, o call.Outcome) {
	delete(t.calls, p.ID)
	t.alarms.Clear(p.ID)
	if p.context != nil {
		p.context.Allowance += p.allowance
	}
	t.reply(p, o)
}

func (t *Task) reply(p *pending, o call.Outcome) {
	if r, ok := o.(call.Refused); ok && p.Request.Key != "" && r.Kind == errs.PeerUnreachable {
		r.Kind = errs.OwnerUnreachable
		o = r
	}
	p.Reply.TryPut(o)
}

func refusal(kind errs.Kind, detail string) call.Refused {
	return call.Refused{Kind: kind, RetryAfter: errs.AnswerTo(kind).RetryAfter, Detail: detail}
}

// serviceOf returns the service of a target of the release.
func (t *Task) serviceOf(target ident.Target) ident.Service {
	return t.release.Targets[target].Service
}
