package soak

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"jacinthcross/platform/fake"
)

// A Guarantee names a property that a soak checks and that callers and operators of the daemons can rely on.
type Guarantee string

// The guarantees. Their values appear in reports and must not change.
const (
	// OwnAnswer: a caller receives the complete response to its own request, or none.
	OwnAnswer Guarantee = "OwnAnswer"
	// AtMostOnce: a request that is not idempotent runs at most once.
	AtMostOnce Guarantee = "AtMostOnce"
	// TrueRefusal: a request that was refused as not run has not run on any target.
	TrueRefusal Guarantee = "TrueRefusal"
	// RequestUnchanged: a target receives the request as the caller sent it, with the service that it comes from.
	RequestUnchanged Guarantee = "Unchanged"
	// ConnectionKept: a connection is not closed before the response to a request that was forwarded to a target.
	ConnectionKept Guarantee = "NotCut"
	// InTime: a request is answered at most latenessTolerance after the timeout of its route. A soak may have
	// toleratedCalls exceptions.
	InTime Guarantee = "InTime"
	// NoAbandonedRun: a request does not start to run later than latenessTolerance after its caller has disconnected. A
	// soak may have toleratedCalls exceptions.
	NoAbandonedRun Guarantee = "NotGone"
	// NoRunAfterDrain: a target receives no new requests from drainTimeout after it started to drain.
	NoRunAfterDrain Guarantee = "Withdrawn"
	// ConfigInForce: every daemon applies a config version within applyTimeout.
	ConfigInForce Guarantee = "ConfigInForce"
	// ConfigKept: a daemon that has applied a config version does not return to an older one.
	ConfigKept Guarantee = "ConfigKept"
	// Recovers: requests are served again after the faults have ended.
	Recovers Guarantee = "Recovers"
	// StopsInTime: a daemon exits successfully within stopTimeout of SIGTERM, and does not exit unless it is told to.
	StopsInTime Guarantee = "StopsInTime"
	// CrashRequestStopped: a request that crashes targets runs at most maxLateRuns times later than settleTime after its
	// third crash.
	CrashRequestStopped Guarantee = "CrashRequestStopped"
	// SoundRequestServed: a request that crashes no target is not refused because it is taken for one that does.
	SoundRequestServed Guarantee = "SoundRequestServed"
)

// applyTimeout, drainTimeout and stopTimeout are those of the platform on which the daemons run.
const (
	applyTimeout = 2 * time.Second
	drainTimeout = 2 * time.Second
	stopTimeout  = 6 * time.Second
	// A violation that an unplanned fault might explain is reported only if none was active for at least settleTime
	// before it.
	settleTime        = 3 * time.Second
	latenessTolerance = 500 * time.Millisecond
	// toleratedCalls is how many calls of a soak may be late, and how many may start to run after their caller has
	// disconnected.
	toleratedCalls = 3
)

// A Call is a request of a caller and its response. Process is the number of the daemon process that it was sent to.
type Call struct {
	VM        int
	Process   int
	Request   fake.Request
	Timeout   time.Duration
	Response  fake.Response
	StartedAt time.Time
	// Version is the config version whose route the request uses, or 0 for a route of all versions.
	Version int
}

func (c Call) end() time.Time { return c.StartedAt.Add(c.Response.Duration) }

// dialFailed reports whether the connection could not be opened, so that nothing was sent.
func (c Call) dialFailed() bool {
	var failed *net.OpError
	return errors.As(c.Response.Err, &failed) && failed.Op == "dial"
}

// timedOut reports whether the caller stopped waiting for the response.
func (c Call) timedOut() bool {
	return c.Response.Err != nil && c.Response.Duration >= c.Request.Timeout
}

// An Exit is the exit of a daemon process.
type Exit struct {
	VM      int
	Process int
	At      time.Time
	// StopRequestedAt is the time at which SIGTERM was first sent, or zero if it was not.
	StopRequestedAt time.Time
	Killed          bool
	// StopTimedOut is true if the process was killed because it had not exited within stopTimeout of SIGTERM.
	StopTimedOut bool
	// Paused is true if the process was stopped with SIGSTOP at the time of SIGTERM or later.
	Paused bool
	Code   int
}

// A History records the events of a soak.
type History struct {
	StartedAt time.Time
	Steps     []Step
	Calls     []Call
	Runs      []fake.Run
	Exits     []Exit
	// Starts holds the start time of each daemon process, by VM and process number.
	Starts map[int]map[int]time.Time
	// CrashCalls holds the crash requests, and Crashes the times at which they crashed targets.
	CrashCalls []CrashCall
	Crashes    []time.Time
	// Published holds the publication time of each config version.
	Published map[int]time.Time
	// DrainStarted holds the time at which a target started to drain, by target ID.
	DrainStarted map[string]time.Time
	// Services holds the service of each VM, and Targets the address of its target.
	Services []string
	Targets  []netip.AddrPort
	// Evacuations holds the evacuations of data centres in order of time.
	Evacuations []Evacuation
	// Errors holds errors of the soak itself.
	Errors []error
	// PlanEnd is the time at which the plan ends. Callers continue to send requests after it.
	PlanEnd time.Time
}

// A Finding is a violation of a Guarantee. Request is the ID of the request, if the violation concerns one.
type Finding struct {
	Guarantee Guarantee
	Request   string
	Detail    string
}

// faultFree reports whether no unplanned step was active between two times.
func (h *History) faultFree(from, to time.Time) bool {
	for _, s := range h.Steps {
		if !isPlanned(s.Action) && h.StartedAt.Add(s.At).Before(to) && h.StartedAt.Add(s.At+s.Duration).After(from) {
			return false
		}
	}
	return true
}

// stableFor reports whether, for the duration d before at, no unplanned step was active and the daemon process that
// received the call was running.
func (h *History) stableFor(d time.Duration, at time.Time, c Call) bool {
	return h.faultFree(at.Add(-d), at) && !h.Starts[c.VM][c.Process].After(at.Add(-d))
}

// Check returns the violations of the guarantees.
func (h *History) Check() []Finding {
	runs := map[string][]fake.Run{}
	for _, r := range h.Runs {
		runs[r.ID] = append(runs[r.ID], r)
	}
	var out []Finding
	known := map[string]bool{}
	var late, abandoned []Finding
	for _, c := range h.Calls {
		known[c.Response.SentID] = true
		out = append(out, h.checkCall(c, runs[c.Response.SentID])...)
		if !c.dialFailed() && c.Response.Duration > c.Timeout+latenessTolerance && h.stableFor(settleTime, c.end(), c) {
			late = append(late, Finding{InTime, c.Response.SentID, fmt.Sprintf("took %s with a timeout of %s", c.Response.Duration, c.Timeout)})
		}
		for _, r := range runs[c.Response.SentID] {
			if c.Response.Err != nil && r.StartedAt.After(c.end().Add(latenessTolerance)) && h.stableFor(settleTime, r.StartedAt, c) {
				abandoned = append(abandoned, Finding{NoAbandonedRun, c.Response.SentID, "started " + r.StartedAt.Sub(c.end()).String() + " after its caller had disconnected"})
			}
		}
	}
	for _, c := range h.CrashCalls {
		known[c.SentID] = true
	}
	for _, findings := range [][]Finding{late, abandoned} {
		if len(findings) > toleratedCalls {
			out = append(out, findings...)
		}
	}
	for _, r := range h.Runs {
		if !known[r.ID] {
			out = append(out, Finding{RequestUnchanged, r.ID, "no caller sent the request"})
		}
		if drained, ok := h.DrainStarted[r.Target]; ok && r.StartedAt.After(drained.Add(drainTimeout)) && h.faultFree(drained.Add(-settleTime), r.StartedAt) {
			out = append(out, Finding{NoRunAfterDrain, r.ID, fmt.Sprintf("ran on %s %s after the target started to drain", r.Target, r.StartedAt.Sub(drained))})
		}
	}
	for _, part := range [][]Finding{h.checkVersions(), h.checkRecovery(), h.checkExits(), h.checkCrashRequest(), h.checkQuarantine(), h.checkEvacuations()} {
		out = append(out, part...)
	}
	return out
}

func (h *History) checkCall(c Call, runs []fake.Run) []Finding {
	var out []Finding
	add := func(guarantee Guarantee, detail string) {
		out = append(out, Finding{guarantee, c.Response.SentID, detail})
	}
	response := c.Response
	success := response.Err == nil && response.Status/100 == 2
	if success && !response.IsSuccess() {
		add(OwnAnswer, fmt.Sprintf("status %d with an incomplete response or one to another request", response.Status))
	}
	if response.EchoedID != "" && response.EchoedID != response.SentID {
		add(OwnAnswer, "the response belongs to request "+response.EchoedID)
	}
	if success && len(runs) == 0 {
		add(OwnAnswer, "successful response, but no run on any target")
	}
	if c.Request.Unsafe && len(runs) > 1 {
		add(AtMostOnce, fmt.Sprintf("%d runs", len(runs)))
	}
	if c.Request.Unsafe && response.IsRefusal() && len(runs) > 0 {
		add(TrueRefusal, fmt.Sprintf("refused with status %d, but run by %s", response.Status, runs[0].Target))
	}
	for _, r := range runs {
		if r.Method != c.Request.Method || r.URI != c.Request.Path || r.Body != c.Request.Body || r.Origin != h.Services[c.VM] {
			add(RequestUnchanged, fmt.Sprintf("the request was changed: the target received %s %s from service %s", r.Method, r.URI, r.Origin))
		}
	}
	if response.Err != nil && !c.dialFailed() && !c.timedOut() && len(runs) > 0 && h.faultFree(c.StartedAt.Add(-settleTime), c.end()) {
		add(ConnectionKept, fmt.Sprintf("connection failed after %s: %v", response.Duration, response.Err))
	}
	return out
}

// processKey identifies a daemon process.
type processKey struct{ vm, number int }

// checkVersions checks the calls that use a route of one config version. Calls are recorded in the order in which
// they ended.
func (h *History) checkVersions() []Finding {
	var out []Finding
	firstSeen := map[processKey]map[int]time.Time{}
	for _, c := range h.Calls {
		if c.Version == 0 || c.Response.Err != nil {
			continue
		}
		p := processKey{c.VM, c.Process}
		if firstSeen[p] == nil {
			firstSeen[p] = map[int]time.Time{}
		}
		seen, ok := firstSeen[p][c.Version]
		switch {
		case c.Response.IsRefusal():
			// A daemon without any config refuses requests as well, so this says nothing about the version.
		case c.Response.Status != http.StatusNotFound:
			if !ok {
				firstSeen[p][c.Version] = c.end()
			}
		case ok && c.StartedAt.After(seen):
			out = append(out, Finding{ConfigKept, c.Response.SentID, fmt.Sprintf("VM %d no longer has the route of config version %d", c.VM, c.Version)})
		case c.StartedAt.After(h.Published[c.Version].Add(applyTimeout)) && h.stableFor(settleTime+applyTimeout, c.StartedAt, c):
			out = append(out, Finding{ConfigInForce, c.Response.SentID, fmt.Sprintf("VM %d has not applied config version %d after %s", c.VM, c.Version, c.StartedAt.Sub(h.Published[c.Version]))})
		}
	}
	return out
}

// recoveryTimeout is how long after the end of the plan requests may still fail.
const recoveryTimeout = 6 * time.Second

// checkRecovery requires that each daemon serves three quarters of the requests that are sent later than
// recoveryTimeout after the end of the plan.
func (h *History) checkRecovery() []Finding {
	sent, served := map[int]int{}, map[int]int{}
	for _, c := range h.Calls {
		if c.StartedAt.After(h.PlanEnd.Add(recoveryTimeout)) {
			sent[c.VM]++
			if c.Response.IsSuccess() {
				served[c.VM]++
			}
		}
	}
	var out []Finding
	for vm := range h.Services {
		if sent[vm] == 0 || served[vm]*4 < sent[vm]*3 {
			out = append(out, Finding{Recovers, "", fmt.Sprintf("VM %d served %d of %d requests after the faults", vm, served[vm], sent[vm])})
		}
	}
	return out
}

func (h *History) checkExits() []Finding {
	var out []Finding
	add := func(e Exit, detail string) {
		out = append(out, Finding{StopsInTime, "", fmt.Sprintf("VM %d process %d %s", e.VM, e.Process, detail)})
	}
	for _, e := range h.Exits {
		switch {
		case e.Killed, e.StopTimedOut && e.Paused:
		case e.StopRequestedAt.IsZero():
			add(e, fmt.Sprintf("exited with code %d, although it was not told to stop", e.Code))
		case e.StopTimedOut:
			add(e, "did not exit within "+stopTimeout.String()+" of SIGTERM")
		case e.Code != 0:
			add(e, fmt.Sprintf("exited with code %d after SIGTERM", e.Code))
		}
	}
	return out
}

// Summary returns the number of calls by outcome.
func (h *History) Summary() string {
	served, refused, failed, lost := 0, 0, 0, 0
	for _, c := range h.Calls {
		switch response := c.Response; {
		case response.IsSuccess():
			served++
		case response.IsRefusal():
			refused++
		case response.Err == nil:
			failed++
		default:
			lost++
		}
	}
	return fmt.Sprintf("%d calls: %d served, %d refused, %d failed, %d without an answer", len(h.Calls), served, refused, failed, lost)
}

// FormatPlan lists the steps with their start times in UTC, in the time format of the logs.
func (h *History) FormatPlan() string {
	var b strings.Builder
	for _, s := range h.Steps {
		fmt.Fprintf(&b, "%s for %s %T%+v\n", h.StartedAt.Add(s.At).UTC().Format("15:04:05.000000"), s.Duration, s.Action, s.Action)
	}
	fmt.Fprintf(&b, "%s end of the plan\n", h.PlanEnd.UTC().Format("15:04:05.000000"))
	return b.String()
}
