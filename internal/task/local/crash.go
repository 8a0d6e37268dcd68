package local

import (
	"net/http"
	"slices"
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/policy/crash"
)

// A callInFlight is a call that was in flight during a suspected crash.
type callInFlight struct {
	request string
	digest  ident.Digest
	// suspect is true if the request was a suspect when the call was dispatched.
	suspect bool
}

// abandonedRunTime is how long a target may go on with a call after the daemon has closed its connection. The platform
// allows half a second.
const abandonedRunTime = 500 * time.Millisecond

// An abandonedCall is a call whose connection the task has closed while the target ran it.
type abandonedCall struct {
	callInFlight
	at time.Time
}

// recordAbandoned remembers that the target may still run a call. Calls with large bodies are left out, as for completions
// (see maxDigestedBody).
func (t *Task) recordAbandoned(r *activeCall, now time.Time) {
	t.dropAbandoned(now)
	if len(r.Request.Body) > maxDigestedBody && !t.mayCrash(now) {
		return
	}
	t.abandoned = append(t.abandoned, abandonedCall{r.inFlightCall(), now})
}

// dropAbandoned forgets the abandoned calls that the target no longer runs, which limits their number to what callers
// abandon within abandonedRunTime.
func (t *Task) dropAbandoned(now time.Time) {
	t.abandoned = slices.DeleteFunc(t.abandoned, func(a abandonedCall) bool { return now.Sub(a.at) >= abandonedRunTime })
}

// callsInFlight returns the calls that the target may be running.
func (t *Task) callsInFlight(now time.Time) []callInFlight {
	var all []callInFlight
	for _, r := range t.calls {
		if r.conn != nil {
			all = append(all, r.inFlightCall())
		}
	}
	t.dropAbandoned(now)
	for _, a := range t.abandoned {
		all = append(all, a.callInFlight)
	}
	return all
}

func (r *activeCall) inFlightCall() callInFlight {
	return callInFlight{request: r.Request.ID, digest: r.digest(), suspect: r.suspect}
}

// recordCrash records the calls in flight as possible causes of a crash, and passes on the evidence that results.
func (t *Task) recordCrash(inFlight []callInFlight, now time.Time) {
	var digests []ident.Digest
	var requests []crash.InFlight
	for _, c := range inFlight {
		digests = append(digests, c.digest)
		requests = append(requests, crash.InFlight{Digest: c.digest, Isolated: c.suspect})
	}
	service := t.target.Service
	tallies := t.suspects.RecordCrash(service, requests, t.completesHere(now), now)
	reports := t.crashes.RecordCrash(digests, now)
	for _, c := range inFlight {
		weight, crashes := t.crashes.Evidence(c.digest, now)
		event.CallInFlightAtCrash.Log("request", c.request, "target", t.target.Name, "digest", c.digest.Short(), "weight", weight, "crashes", crashes,
			"reported", isReported(c.digest, reports, tallies), "quarantined", t.isQuarantined(c.digest, now))
	}
	t.logSuspects(tallies, t.vm, now)
	if len(reports)+len(tallies) > 0 {
		t.sendEvidence(CrashEvidence{To: AllPeers{}, Service: service, Reports: reports, Tallies: tallies}, now)
	}
}

// sendEvidence sends new evidence to all peers. As long as there are suspects, it is repeated to single peers.
func (t *Task) sendEvidence(e CrashEvidence, now time.Time) {
	t.onCrashEvidence(e)
	if t.suspects.HasSuspects() {
		t.suspectsChanged = now
		t.timers.Set(resendTimer{}, now.Add(resendInterval))
	}
}

const (
	// resendInterval is how often what is known of suspects is sent to a random peer within resendPeriod after a change,
	// and slowResendInterval afterwards. A message can be lost with its connection, or at a daemon that is overloaded.
	resendInterval     = time.Second
	resendPeriod       = time.Minute
	slowResendInterval = 30 * time.Second
)

// resendSuspects sends what is known of suspects to one peer.
func (t *Task) resendSuspects(now time.Time) {
	tallies := t.suspects.Suspects(now)
	if len(tallies) == 0 {
		return
	}
	t.onCrashEvidence(CrashEvidence{To: AnyPeer{}, Tallies: tallies})
	interval := resendInterval
	if now.Sub(t.suspectsChanged) >= resendPeriod {
		interval = slowResendInterval
	}
	t.timers.Set(resendTimer{}, now.Add(interval))
}

// completesHere returns a function that reports whether a request has recently completed on the target.
func (t *Task) completesHere(now time.Time) func(ident.Service, ident.Digest) bool {
	return func(service ident.Service, d ident.Digest) bool {
		return service == t.target.Service && t.crashes.HasCompleted(d, now)
	}
}

func isReported(d ident.Digest, reports []crash.Report, tallies []crash.Tally) bool {
	return slices.ContainsFunc(reports, func(r crash.Report) bool { return r.Digest == d }) ||
		slices.ContainsFunc(tallies, func(y crash.Tally) bool { return y.Digest == d })
}

// handlePeerCrashReports merges the evidence of a peer. Reports are used only if they concern the service of the target.
// What the peer knew more of suspects is passed on, since daemons of the service may have no connection to the peer.
func (t *Task) handlePeerCrashReports(m PeerCrashReports) {
	now := t.clock.Now()
	used := m.Service == t.target.Service
	if used {
		t.crashes.MergeReports(m.From, m.Entries, now)
	}
	news := t.suspects.Merge(m.Tallies, t.completesHere(now), now)
	event.CrashReportsReceived.Log("vm", m.From, "service", m.Service, "requests", len(m.Entries), "used", used, "tallies", len(m.Tallies), "news", len(news))
	t.logSuspects(news, m.From, now)
	if len(news) > 0 {
		t.sendEvidence(CrashEvidence{To: AllPeers{}, Tallies: news}, now)
	}
}

// hasCompleted reports whether an outcome shows that the target has run a call to its end. A target that is faulty or
// overloaded may answer with these statuses before it runs a call that would crash it.
func hasCompleted(o call.Outcome) bool {
	a, answered := o.(call.Answered)
	if !answered || a.Status >= http.StatusInternalServerError {
		return false
	}
	return a.Status != http.StatusTooManyRequests && a.Status != http.StatusRequestTimeout && a.Status != http.StatusMisdirectedRequest
}

// recordCompletion records that a call has completed, which clears its request of suspicion.
func (t *Task) recordCompletion(r *activeCall, now time.Time) {
	t.crashes.RecordCompletion(r.digest(), now)
	if tallies := t.suspects.RecordCompletion(t.target.Service, r.digest(), now); len(tallies) > 0 {
		t.logSuspects(tallies, t.vm, now)
		t.sendEvidence(CrashEvidence{To: AllPeers{}, Tallies: tallies}, now)
	}
}

// handlePeerConnected sends a peer what is known of suspects.
func (t *Task) handlePeerConnected(peer Recipient) {
	if tallies := t.suspects.Suspects(t.clock.Now()); len(tallies) > 0 {
		t.onCrashEvidence(CrashEvidence{To: peer, Tallies: tallies})
	}
}

// logSuspects logs what is now known of the requests to which the tallies belong, if it concerns suspects.
func (t *Task) logSuspects(tallies []crash.Tally, from ident.VM, now time.Time) {
	var logged []ident.Digest
	for _, y := range tallies {
		if slices.Contains(logged, y.Digest) || !t.suspects.IsSuspect(y.Service, y.Digest, now) && y.Cleared == 0 {
			continue
		}
		logged = append(logged, y.Digest)
		s := t.suspects.Standing(y.Service, y.Digest, now)
		event.CrashSuspect.Log("service", y.Service, "digest", y.Digest.Short(), "vm", from, "crashes", s.Crashes, "confirmed", s.Confirmed, "quarantine", s.Quarantine)
	}
}

// mayCrash reports whether there is a suspicion against any request. If not, digests of calls need not be computed.
func (t *Task) mayCrash(now time.Time) bool {
	return t.suspects.HasSuspects() || t.crashes.HasEvidence(now)
}

func (t *Task) isQuarantined(d ident.Digest, now time.Time) bool {
	return t.suspects.IsQuarantined(t.target.Service, d, now) || t.crashes.IsLikelyCause(d, now)
}
