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
	// maxDepth is the maximum number of calls in a chain. Each call of a chain is made to serve the call before it.
	maxDepth = 7
	// initialAllowance is the number of retries that a call entering the system may cause in its whole chain of calls.
	initialAllowance = 2
	// reservedAllowance is the part of the allowance that stays with the call and is not passed on with an attempt.
	// The allowance of an attempt that ends without a report counts as used. Without this reserve, a read that was
	// lost with its VM could not be retried.
	reservedAllowance = 1
)

// A pendingCall is a call that has no outcome yet.
type pendingCall struct {
	Submit
	route   note.Route
	arrived time.Time
	// firstSent is when the caller first sent the request. It is earlier than arrived if the caller repeats a request
	// that was refused.
	firstSent time.Time
	// callerTimeout is the time that the caller allowed for the call, or 0 if it set no deadline.
	callerTimeout time.Duration
	tried         []ident.Target
	// refusedBy are the targets for which an attempt was refused with a kind that allows a redirect (see
	// place.Redirectable). These attempts did not reach the targets. It is emptied when mayQueue is set.
	refusedBy []ident.Target
	// mayQueue is true once a redirect finds no further target or the limit of redirects is reached. The call may then
	// queue at the target that the table picks first.
	mayQueue bool
	// evacuated holds the data centres of the targets that refused the call as evacuated. The release in force here may not
	// name them yet.
	evacuated []ident.DataCentre
	// bestRefusal is the refusal of a redirected attempt with the shortest Retry-After, or nil.
	bestRefusal *call.Refused
	// sends counts the attempts that reached or may have reached a target.
	sends int
	// attempts are the attempts in flight: at most one attempt and its hedge.
	attempts []*attempt
	// allowance is the number of retries that the call may still cause, without the parts held by attempts in flight.
	allowance     int
	retries       int
	reattachments int
	// reattachTo is the attempt to which the next attempt is reattached, or nil. To reattach is to send the call again to
	// the same target with the same key, so that it joins the first run.
	reattachTo *attempt
	context    *local.CallContext
	// firstUnknown is the outcome of the first attempt that may have run, or nil.
	firstUnknown *call.Unknown
	hedged       bool
	hedgeWon     bool
	// targetDaemonReplied is true when the last result came from the daemon beside the target.
	targetDaemonReplied bool
	cachedDigest        ident.Digest
	// awaitingLoad is the target whose load report the call waits for.
	awaitingLoad ident.Target
}

// submit accepts a new call, or holds it after a process pause.
func (t *Task) submit(m Submit) {
	switch {
	case len(t.calls)+len(t.heldCalls) >= t.maxCalls:
		t.reply(&pendingCall{Submit: m, arrived: t.clock.Now()}, refusal(errs.Busy, "the maximum number of pending calls is reached"))
	case !t.holdUntil.IsZero():
		t.heldCalls = append(t.heldCalls, m)
	default:
		t.begin(m)
	}
}

// begin completes the request from the release and the context, and sends the first attempt.
func (t *Task) begin(m Submit) {
	now := t.clock.Now()
	p := &pendingCall{Submit: m, arrived: now}
	if kind, detail := t.prepare(p, now); kind != "" {
		t.reply(p, refusal(kind, detail))
		return
	}
	t.calls[p.ID] = p
	t.timers.Set(deadlineTimer{p.ID}, p.Request.Deadline)
	t.retryPolicy.RecordCall(p.Request.Caller)
	if t.platformBudget != nil {
		t.platformBudget.RecordCall(p.Request.Service, now)
	}
	table := t.table(p.Request.Service)
	table.RecordCall(now)
	t.probe(table, now)
	t.sendNext(p)
}

// prepare fills in what the caller left unspecified. It returns an error kind if the call must be refused.
func (t *Task) prepare(p *pendingCall, now time.Time) (errs.Kind, string) {
	r, kind, detail := t.routeOf(p)
	if kind != "" {
		p.Request.Service = ""
		return kind, detail
	}
	if p.OnlyIdempotent && !r.Idempotent {
		return errs.Busy, "the route became non-idempotent while an earlier request of the connection was unanswered"
	}
	p.route = r
	p.Request.Route, p.Request.Service = r.Name, t.splits.Choose(r)
	p.Request.Origin, p.Request.Idempotent = t.origin, r.Idempotent
	from := now
	if !p.Arrived.IsZero() {
		from = p.Arrived
	}
	p.firstSent = from
	if first, ok := t.refusedRequests.FirstSent(&p.Request, now); ok {
		p.firstSent, p.Request.RetriedByCaller = first, true
	}
	p.setDeadline(from)
	p.capDeadline(t.drainUntil)
	p.Request.CallerCannotRetry = !p.Request.RetriedByCaller && place.CallerCannotRetry(p.callerTimeout, r.Timeout)
	if p.Request.Rank == "" {
		p.Request.Rank = r.Rank
	}
	// The allowance of a call with a context is taken from its inbound call. If the context is no longer known, the
	// call gets none, since an allowance of its own would add to the retries of the whole chain.
	if p.Context == "" {
		p.allowance = initialAllowance
	} else if c, ok := t.contexts[p.Context]; ok {
		t.inheritContext(p, c)
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

// setDeadline sets the deadline and the soft deadline of a call that arrived at the given time. The timeout of a
// service applies only to calls without a deadline. The timeout of a named route applies to all of its calls.
func (p *pendingCall) setDeadline(from time.Time) {
	if !p.Request.Deadline.IsZero() {
		p.callerTimeout = p.Request.Deadline.Sub(from)
	}
	timeout := from.Add(p.route.Timeout)
	if p.Request.Deadline.IsZero() || p.route.Name != "" && p.route.Timeout > 0 && timeout.Before(p.Request.Deadline) {
		p.Request.Deadline = timeout
	}
	if p.route.Aim > 0 {
		p.Request.SoftDeadline = p.firstSent.Add(p.route.Aim)
	}
}

// capDeadline moves the deadline to a time before it, if that is not zero, and reports whether it did.
func (p *pendingCall) capDeadline(until time.Time) bool {
	if until.IsZero() || !until.Before(p.Request.Deadline) {
		return false
	}
	p.Request.Deadline = until
	return true
}

// drain caps the deadlines of all calls at the time by which they have to be answered. Attempts in flight keep theirs.
func (t *Task) drain(m Drain) {
	t.drainUntil = m.Until
	for id, p := range t.calls {
		if p.capDeadline(m.Until) {
			t.timers.Set(deadlineTimer{id}, p.Request.Deadline)
		}
	}
}

// routeOf returns the route of a call, or the error kind with which it is refused if the release has none.
func (t *Task) routeOf(p *pendingCall) (note.Route, errs.Kind, string) {
	if r, ok := t.release.RouteOf(p.Request.Service, p.Host, p.Request.Method, p.Request.URI); ok {
		return r, "", ""
	}
	switch {
	case len(t.release.Services) == 0:
		return note.Route{}, errs.Unconfirmed, "the daemon has no release yet, or its release has no services"
	case p.Request.Service == "" && len(t.release.Routes) > 0:
		path, _, _ := strings.Cut(p.Request.URI, "?")
		return note.Route{}, errs.NoRoute, "no route for host " + p.Host + ", path " + path
	}
	return note.Route{}, errs.UnknownService, "the release has no service for the name \"" + string(p.Request.Service) + "\" or the host " + p.Host
}

// inheritContext takes the rank, depth and retry allowance, and the deadline if it is earlier, from the inbound call that
// the call serves.
// The allowance is moved, not copied, so that concurrent calls on behalf of one inbound call cannot multiply it.
func (t *Task) inheritContext(p *pendingCall, c *local.CallContext) {
	p.context = c
	p.Request.Depth = c.Depth + 1
	p.Request.Rank = c.Rank
	if c.Deadline.Before(p.Request.Deadline) {
		p.Request.Deadline = c.Deadline
	}
	p.allowance, c.RetryAllowance = c.RetryAllowance, 0
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
		t.cancelAttempt(a, route.TimedOut{Age: now.Sub(a.started)})
	}
	t.conclude(p, call.Unknown{Kind: errs.DeadlineInFlight, Detail: "the deadline passed before the outcome was known"})
}

func (t *Task) cancel(id call.ID) {
	t.heldCalls = slices.DeleteFunc(t.heldCalls, func(m Submit) bool { return m.ID == id })
	if p, ok := t.calls[id]; ok {
		t.conclude(p, call.Unknown{Kind: errs.CallerGone})
	}
}

// conclude gives a call its outcome and cancels its attempts in flight.
func (t *Task) conclude(p *pendingCall, o call.Outcome) {
	now := t.clock.Now()
	for _, a := range slices.Clone(p.attempts) {
		t.cancelAttempt(a, route.Cancelled{Age: now.Sub(a.started)})
	}
	delete(t.calls, p.ID)
	t.timers.Remove(deadlineTimer{p.ID})
	t.timers.Remove(retryTimer{p.ID})
	t.timers.Remove(hedgeTimer{p.ID})
	if p.context != nil {
		p.context.RetryAllowance += p.allowance
	}
	if p.hedged {
		t.countHedge(p.hedgeWon)
	}
	t.reply(p, retry.FinalOutcome(o, p.firstUnknown))
}

// concludeAll answers all remaining calls when the task ends.
func (t *Task) concludeAll() {
	for _, m := range t.heldCalls {
		t.reply(&pendingCall{Submit: m, arrived: t.clock.Now()}, refusal(errs.Busy, "the daemon stopped routing calls"))
	}
	for _, p := range t.calls {
		if len(p.attempts) > 0 {
			t.conclude(p, call.Unknown{Kind: errs.Internal, Detail: "the daemon stopped routing calls before the outcome was known"})
		} else {
			t.conclude(p, refusal(errs.Busy, "the daemon stopped routing calls"))
		}
	}
}

func (t *Task) reply(p *pendingCall, o call.Outcome) {
	if r, ok := o.(call.Refused); ok {
		o = refusalForCaller(p, r)
	}
	if t.keyless && p.route.Name != "" {
		o = t.recordUnserved(p, o)
	}
	t.countCall(p, o)
	event.CallConcluded.Log("request", p.Request.ID, "route", p.Request.Route, "service", p.Request.Service, "outcome", call.OutcomeLabel(o),
		"attempts", len(p.tried), "took", t.clock.Now().Sub(p.arrived), "allowed", p.callerTimeout, "caller", p.Request.Caller)
	p.Reply.TryPut(Answer{ID: p.ID, Outcome: o})
}

// recordUnserved records a call that was not served, so that the same request is recognised when the caller sends it
// again. For a refusal it also sets the Retry-After.
func (t *Task) recordUnserved(p *pendingCall, o call.Outcome) call.Outcome {
	now := t.clock.Now()
	until := p.arrived.Add(p.callerTimeout)
	switch r := o.(type) {
	case call.Refused:
		if r.RetryAfter > 0 {
			r.RetryAfter = place.RetryAfter(r.RetryAfter, until.Sub(now), t.random)
		}
		t.refusedRequests.Add(&p.Request, p.firstSent, until, now)
		return r
	case call.Unknown:
		t.refusedRequests.Add(&p.Request, p.firstSent, until, now)
	case call.Answered:
	}
	return o
}

// refusalForCaller returns the refusal that the caller sees. A refusal of a call with the caller's key that does not come
// from the daemon beside the key's owner becomes OwnerUnreachable, since an earlier send with the key may have run. For
// an internal key, OwnerGone and KeyExpired become TargetDown, since the caller does not know that key.
func refusalForCaller(p *pendingCall, r call.Refused) call.Refused {
	kind := r.Kind
	if p.Request.Key == "" {
		if kind == errs.OwnerGone || kind == errs.KeyExpired {
			kind = errs.TargetDown
		}
	} else if !p.targetDaemonReplied {
		switch kind {
		case errs.PeerUnreachable, errs.Busy, errs.DeadlineExceeded, errs.NoTarget:
			kind = errs.OwnerUnreachable
		}
	}
	if kind == r.Kind {
		return r
	}
	return refusal(kind, string(r.Kind)+": "+r.Detail)
}

func refusal(kind errs.Kind, detail string) call.Refused {
	return call.Refused{Kind: kind, RetryAfter: errs.ResponseFor(kind).RetryAfter, Detail: detail}
}
