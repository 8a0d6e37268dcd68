package router

import (
	"slices"
	"strings"
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/policy/place"
	"jacinthcross/internal/policy/retry"
	"jacinthcross/internal/policy/route"
	"jacinthcross/internal/task/local"
)

const (
	maxDepth = 7
	// entryAllowance is the number of retries that a call that enters the system may cause on all levels.
	entryAllowance = 2
	// keptAllowance is the part of it that does not go along with an attempt. An attempt that ends without a
	// report counts its part as used; without a part of its own, a read lost with its VM was not retried.
	keptAllowance = 1
)

// A pending is a call that has no outcome yet.
type pending struct {
	Submit
	route   note.Route
	arrived time.Time
	// first is when the caller first sent the request: earlier than arrived when it was refused and has come back.
	first time.Time
	// allowed is the time that the caller gave, or 0 when it set no limit.
	allowed time.Duration
	tried   []ident.Target
	// bounced are the targets beside which the call could not start at once. Nothing of it was sent to them.
	bounced []ident.Target
	// pressed is true when no target could start the call at once, so that it may wait at the best one.
	pressed bool
	// refused is the refusal with the shortest wait of those that the call was given back with, or nil.
	refused *call.Refused
	// sends counts the attempts that were sent to a target.
	sends int
	// attempts are under way: at most one and a hedge.
	attempts []*attempt
	// allowance is what is left of the retries of the call. Attempts under way hold their own part.
	allowance     int
	retries       int
	reattachments int
	// rejoin is the attempt to which the next one is reattached, or nil.
	rejoin  *attempt
	context *local.Context
	// uncertain is the outcome of the first attempt that may have run, or nil.
	uncertain *call.Unknown
	hedged    bool
	hedgeWon  bool
	// ownerSpoke is true when the last refusal came from the daemon beside the target.
	ownerSpoke bool
	// waiting is the target whose load the call waits for.
	waiting ident.Target
}

// submit takes a new call, or holds it after a pause.
func (t *Task) submit(m Submit) {
	switch {
	case len(t.calls)+len(t.held) >= t.maxCalls:
		t.reply(&pending{Submit: m, arrived: t.clock.Now()}, refusal(errs.Busy, "too many calls have no outcome yet"))
	case !t.resume.IsZero():
		t.held = append(t.held, m)
	default:
		t.begin(m)
	}
}

// begin completes the request from the release and the context, and sends the first attempt.
func (t *Task) begin(m Submit) {
	now := t.clock.Now()
	p := &pending{Submit: m, arrived: now}
	if kind, detail := t.prepare(p, now); kind != "" {
		t.reply(p, refusal(kind, detail))
		return
	}
	t.calls[p.ID] = p
	t.alarms.Set(deadline{p.ID}, p.Request.Deadline)
	t.retries.Called(p.Request.Caller)
	if t.shares != nil {
		t.shares.Called(p.Request.Service, now)
	}
	table := t.table(p.Request.Service)
	table.Called(now)
	t.probe(table, now)
	t.try(p)
}

// prepare fills in what the caller left open. It returns a kind when the call must be refused.
func (t *Task) prepare(p *pending, now time.Time) (errs.Kind, string) {
	r, kind, detail := t.routeOf(p)
	if kind != "" {
		p.Request.Service = ""
		return kind, detail
	}
	p.route = r
	p.Request.Route, p.Request.Service = r.Name, t.splits.Choose(r)
	p.Request.Origin, p.Request.Idempotent = t.origin, r.Idempotent
	from := now
	if !p.Arrived.IsZero() {
		from = p.Arrived
	}
	p.first = from
	if first, ok := t.returns.First(&p.Request, now); ok {
		p.first, p.Request.Returned = first, true
	}
	p.limit(from)
	p.Request.Final = !p.Request.Returned && place.Final(p.allowed, r.Timeout)
	if p.Request.Rank == "" {
		p.Request.Rank = r.Rank
	}
	// A context that is not known any more has no allowance left to move.
	if p.Context == "" {
		p.allowance = entryAllowance
	} else if c, ok := t.contexts[p.Context]; ok {
		t.inherit(p, c)
	}
	switch {
	case p.Request.Depth >= maxDepth:
		return errs.DepthExceeded, ""
	case !p.Request.Deadline.After(now):
		return errs.DeadlineExceeded, ""
	case !p.Request.Idempotent && p.Request.Key == "" && t.release.Services[p.Request.Service].KeyRequired:
		return errs.KeyRequired, ""
	}
	return "", ""
}

// limit sets the deadline and the aim of a call that arrived at a time. The timeout of a service is for calls
// that bring no deadline, that of a route for all of its calls.
func (p *pending) limit(from time.Time) {
	if !p.Request.Deadline.IsZero() {
		p.allowed = p.Request.Deadline.Sub(from)
	}
	timeout := from.Add(p.route.Timeout)
	if p.Request.Deadline.IsZero() || p.route.Name != "" && p.route.Timeout > 0 && timeout.Before(p.Request.Deadline) {
		p.Request.Deadline = timeout
	}
	if p.route.Aim > 0 {
		p.Request.Aim = p.first.Add(p.route.Aim)
	}
}

// routeOf returns the route of a call: of the service that the call names, of its host and path, or of the
// service that lists its host.
func (t *Task) routeOf(p *pending) (note.Route, errs.Kind, string) {
	path, _, _ := strings.Cut(p.Request.URI, "?")
	name := p.Request.Service
	if name == "" {
		if r, ok := t.release.RouteOf(p.Host, path); ok {
			return r, "", ""
		}
		name, _ = t.release.ServiceOfHost(p.Host)
	}
	if s, ok := t.release.Services[name]; ok {
		return s.Route(p.Request.Method), "", ""
	}
	switch {
	case len(t.release.Services) == 0:
		return note.Route{}, errs.Unconfirmed, "the daemon has no release yet"
	case p.Request.Service == "" && len(t.release.Routes) > 0:
		return note.Route{}, errs.NoRoute, "host " + p.Host + ", path " + path
	}
	return note.Route{}, errs.UnknownService, "service " + string(name) + ", host " + p.Host
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

// expire ends a call whose deadline has passed.
func (t *Task) expire(id call.ID) {
	p, ok := t.calls[id]
	if !ok {
		return
	}
	if len(p.attempts) == 0 {
		t.conclude(p, refusal(errs.DeadlineExceeded, "the deadline passed while the call waited for its next attempt"))
		return
	}
	now := t.clock.Now()
	for _, a := range slices.Clone(p.attempts) {
		t.abandon(a, route.Expired{Age: now.Sub(a.started)})
	}
	t.conclude(p, call.Unknown{Kind: errs.DeadlineInFlight, Detail: "the deadline passed before the outcome was known"})
}

func (t *Task) cancel(id call.ID) {
	t.held = slices.DeleteFunc(t.held, func(m Submit) bool { return m.ID == id })
	if p, ok := t.calls[id]; ok {
		t.conclude(p, call.Unknown{Kind: errs.CallerGone})
	}
}

// conclude gives a call its outcome and cancels what is still under way for it.
func (t *Task) conclude(p *pending, o call.Outcome) {
	now := t.clock.Now()
	for _, a := range slices.Clone(p.attempts) {
		t.abandon(a, route.Cancelled{Age: now.Sub(a.started)})
	}
	delete(t.calls, p.ID)
	t.alarms.Clear(deadline{p.ID})
	t.alarms.Clear(again{p.ID})
	t.alarms.Clear(hedge{p.ID})
	if p.context != nil {
		p.context.Allowance += p.allowance
	}
	if p.hedged {
		t.hedgeEnded(p.hedgeWon)
	}
	t.reply(p, retry.Settle(o, p.uncertain))
}

// answerAll answers the calls that are left when the task ends.
func (t *Task) answerAll() {
	for _, m := range t.held {
		t.reply(&pending{Submit: m, arrived: t.clock.Now()}, refusal(errs.Busy, "the router stopped"))
	}
	for _, p := range t.calls {
		if len(p.attempts) > 0 {
			t.conclude(p, call.Unknown{Kind: errs.Internal, Detail: "the router stopped before the outcome was known"})
		} else {
			t.conclude(p, refusal(errs.Busy, "the router stopped"))
		}
	}
}

func (t *Task) reply(p *pending, o call.Outcome) {
	if r, ok := o.(call.Refused); ok {
		o = present(p, r)
	}
	if t.keyless && p.route.Name != "" {
		o = t.remember(p, o)
	}
	t.count(p, o)
	event.CallConcluded.Log("request", p.Request.ID, "route", p.Request.Route, "service", p.Request.Service, "outcome", call.Label(o),
		"attempts", len(p.tried), "took", t.clock.Now().Sub(p.arrived), "allowed", p.allowed, "caller", p.Request.Caller)
	p.Reply.TryPut(Answer{ID: p.ID, Outcome: o})
}

// remember notes that a call was not served whose caller may come back, and tells a refused caller when to.
func (t *Task) remember(p *pending, o call.Outcome) call.Outcome {
	now := t.clock.Now()
	until := p.arrived.Add(p.allowed)
	switch r := o.(type) {
	case call.Refused:
		if r.RetryAfter > 0 {
			r.RetryAfter = place.RetryAfter(r.RetryAfter, until.Sub(now), t.random)
		}
		t.returns.Refused(&p.Request, p.first, until, now)
		return r
	case call.Unknown:
		t.returns.Refused(&p.Request, p.first, until, now)
	case call.Answered:
	}
	return o
}

// present returns the refusal that the caller sees. When the daemon beside the owner of a key did not
// refuse, an earlier send of the key may have run. When the key was internal, its owner does not concern the caller.
func present(p *pending, r call.Refused) call.Refused {
	kind := r.Kind
	if p.Request.Key == "" {
		if kind == errs.OwnerGone || kind == errs.KeyExpired {
			kind = errs.TargetDown
		}
	} else if !p.ownerSpoke {
		switch kind {
		case errs.PeerUnreachable, errs.Busy, errs.DeadlineExceeded, errs.NoTarget:
			kind = errs.OwnerUnreachable
		}
	}
	if kind == r.Kind {
		return r
	}
	return refusal(kind, string(r.Kind)+" "+r.Detail)
}

func refusal(kind errs.Kind, detail string) call.Refused {
	return call.Refused{Kind: kind, RetryAfter: errs.AnswerTo(kind).RetryAfter, Detail: detail}
}
