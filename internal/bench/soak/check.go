package soak

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"jacinthcross/platform/fake"
)

// A Promise is what daemons promise to callers and operators.
type Promise string

// The promises.
const (
	// OwnAnswer: a caller gets the whole answer to its own request, or none.
	OwnAnswer Promise = "OwnAnswer"
	// AtMostOnce: a request that is not idempotent runs at most once.
	AtMostOnce Promise = "AtMostOnce"
	// TrueRefusal: a request that was refused as not run has not run.
	TrueRefusal Promise = "TrueRefusal"
	// Unchanged: a target gets what a caller sent, and which service it comes from.
	Unchanged Promise = "Unchanged"
	// NotCut: a connection does not end without an answer to a request that was passed on.
	NotCut Promise = "NotCut"
	// InTime: a request has an answer soon after the timeout of its route.
	InTime Promise = "InTime"
	// NotGone: nothing begins to run after its caller has left.
	NotGone Promise = "NotGone"
	// Withdrawn: a target that leaves gets no new work.
	Withdrawn Promise = "Withdrawn"
	// ConfigInForce: a config is in force everywhere in time. ConfigKept: it never goes back.
	ConfigInForce Promise = "ConfigInForce"
	ConfigKept    Promise = "ConfigKept"
	// Recovers: requests are served again after the faults.
	Recovers Promise = "Recovers"
	// StopsInTime: a daemon ends when it is told to, in time, and only then.
	StopsInTime Promise = "StopsInTime"
)

// The bounds are those of the users' platform.
const (
	applyTime = 2 * time.Second
	drainTime = 2 * time.Second
	stopTime  = 6 * time.Second
	// settleTime is how long nothing may have gone wrong before the bounds of time hold.
	settleTime = 3 * time.Second
	lateSlack  = 500 * time.Millisecond
	// fewCalls may be late, or begin to run after their caller has left.
	fewCalls = 3
)

// A Call is a request, what its caller got and from which process of a daemon.
type Call struct {
	VM      int
	Process int
	Request fake.Request
	Timeout time.Duration
	Answer  fake.Answer
	At      time.Time
	// Version is that of the config that the request needs, or 0.
	Version int
}

func (c Call) end() time.Time { return c.At.Add(c.Answer.Took) }

// unmade reports whether the connection of a call was not made, so that nothing was sent.
func (c Call) unmade() bool {
	var failed *net.OpError
	return errors.As(c.Answer.Err, &failed) && failed.Op == "dial"
}

// leftUnanswered reports whether the caller had to give up.
func (c Call) leftUnanswered() bool { return c.Answer.Err != nil && c.Answer.Took >= c.Request.Allowed }

// An Exit is the end of a process of a daemon.
type Exit struct {
	VM      int
	Process int
	At      time.Time
	// Asked is when SIGTERM was sent, or zero.
	Asked  time.Time
	Killed bool
	// Overdue says that it had to be killed, since it had not ended in time.
	Overdue bool
	// Frozen says that the process was frozen after SIGTERM.
	Frozen bool
	Code   int
}

// A History is what happened in a soak.
type History struct {
	Began     time.Time
	Steps     []Step
	Calls     []Call
	Runs      []fake.Run
	Exits     []Exit
	Starts    map[int]map[int]time.Time
	Published map[int]time.Time
	Left      map[string]time.Time
	Services  []string
	// Failed are errors of the soak itself.
	Failed []error
	// Calm is when the last step had ended, and callers went on after it.
	Calm time.Time
}

// A Finding is a broken promise.
type Finding struct {
	Promise Promise
	Request string
	Detail  string
}

// undisturbed reports whether no unplanned step held between two times.
func (h *History) undisturbed(from, to time.Time) bool {
	for _, s := range h.Steps {
		if !isPlanned(s.Action) && h.Began.Add(s.At).Before(to) && h.Began.Add(s.At+s.For).After(from) {
			return false
		}
	}
	return true
}

// calmFor reports whether, before a moment, nothing unplanned held for a time and the process of a call ran.
func (h *History) calmFor(d time.Duration, at time.Time, c Call) bool {
	return h.undisturbed(at.Add(-d), at) && !h.Starts[c.VM][c.Process].After(at.Add(-d))
}

// Check returns the promises that were broken.
func (h *History) Check() []Finding {
	runs := map[string][]fake.Run{}
	for _, r := range h.Runs {
		runs[r.ID] = append(runs[r.ID], r)
	}
	var out []Finding
	known := map[string]bool{}
	var late, gone []Finding
	for _, c := range h.Calls {
		known[c.Answer.ID] = true
		out = append(out, h.checkCall(c, runs[c.Answer.ID])...)
		if !c.unmade() && c.Answer.Took > c.Timeout+lateSlack && h.calmFor(settleTime, c.end(), c) {
			late = append(late, Finding{InTime, c.Answer.ID, fmt.Sprintf("%s for a timeout of %s", c.Answer.Took, c.Timeout)})
		}
		for _, r := range runs[c.Answer.ID] {
			if c.Answer.Err != nil && r.At.After(c.end().Add(lateSlack)) && h.calmFor(settleTime, r.At, c) {
				gone = append(gone, Finding{NotGone, c.Answer.ID, "began " + r.At.Sub(c.end()).String() + " after its caller had left"})
			}
		}
	}
	for _, few := range [][]Finding{late, gone} {
		if len(few) > fewCalls {
			out = append(out, few...)
		}
	}
	for _, r := range h.Runs {
		if !known[r.ID] {
			out = append(out, Finding{Unchanged, r.ID, "no caller has sent the request"})
		}
		if left, ok := h.Left[r.Target]; ok && r.At.After(left.Add(drainTime)) && h.undisturbed(left.Add(-settleTime), r.At) {
			out = append(out, Finding{Withdrawn, r.ID, fmt.Sprintf("ran on %s %s after it began to leave", r.Target, r.At.Sub(left))})
		}
	}
	for _, part := range [][]Finding{h.checkVersions(), h.checkRecovery(), h.checkExits()} {
		out = append(out, part...)
	}
	return out
}

func (h *History) checkCall(c Call, runs []fake.Run) []Finding {
	var out []Finding
	add := func(p Promise, detail string) { out = append(out, Finding{p, c.Answer.ID, detail}) }
	a := c.Answer
	success := a.Err == nil && a.Status/100 == 2
	if success && !a.Whole() {
		add(OwnAnswer, fmt.Sprintf("status %d with a foreign or partial answer", a.Status))
	}
	if a.Of != "" && a.Of != a.ID {
		add(OwnAnswer, "answer to request "+a.Of)
	}
	if success && len(runs) == 0 {
		add(OwnAnswer, "a success without a run")
	}
	if c.Request.Unsafe && len(runs) > 1 {
		add(AtMostOnce, fmt.Sprintf("%d runs", len(runs)))
	}
	if c.Request.Unsafe && a.Refused() && len(runs) > 0 {
		add(TrueRefusal, fmt.Sprintf("status %d, run by %s", a.Status, runs[0].Target))
	}
	for _, r := range runs {
		if r.Method != c.Request.Method || r.URI != c.Request.Path || r.Body != c.Request.Body || r.Origin != h.Services[c.VM] {
			add(Unchanged, fmt.Sprintf("ran as %s %s of %s", r.Method, r.URI, r.Origin))
		}
	}
	if a.Err != nil && !c.unmade() && !c.leftUnanswered() && len(runs) > 0 && h.undisturbed(c.At.Add(-settleTime), c.end()) {
		add(NotCut, fmt.Sprintf("ended after %s: %v", a.Took, a.Err))
	}
	return out
}

// process names a process of a daemon.
type process struct{ vm, number int }

// checkVersions checks the calls that need a version of the config, which are in the order of their ends.
func (h *History) checkVersions() []Finding {
	var out []Finding
	shown := map[process]map[int]time.Time{}
	for _, c := range h.Calls {
		if c.Version == 0 || c.Answer.Err != nil {
			continue
		}
		p := process{c.VM, c.Process}
		if shown[p] == nil {
			shown[p] = map[int]time.Time{}
		}
		seen, ok := shown[p][c.Version]
		switch {
		case c.Answer.Refused():
			// A daemon without a config says so too.
		case c.Answer.Status != http.StatusNotFound:
			if !ok {
				shown[p][c.Version] = c.end()
			}
		case ok && c.At.After(seen):
			out = append(out, Finding{ConfigKept, c.Answer.ID, fmt.Sprintf("VM %d no longer has version %d", c.VM, c.Version)})
		case c.At.After(h.Published[c.Version].Add(applyTime)) && h.calmFor(settleTime+applyTime, c.At, c):
			out = append(out, Finding{ConfigInForce, c.Answer.ID, fmt.Sprintf("VM %d lacks version %d after %s", c.VM, c.Version, c.At.Sub(h.Published[c.Version]))})
		}
	}
	return out
}

// recoverTime is the time after the last step within which requests have to be served again.
const recoverTime = 6 * time.Second

func (h *History) checkRecovery() []Finding {
	all, served := map[int]int{}, map[int]int{}
	for _, c := range h.Calls {
		if c.At.After(h.Calm.Add(recoverTime)) {
			all[c.VM]++
			if c.Answer.Whole() {
				served[c.VM]++
			}
		}
	}
	var out []Finding
	for vm := range h.Services {
		if all[vm] == 0 || served[vm]*4 < all[vm]*3 {
			out = append(out, Finding{Recovers, "", fmt.Sprintf("VM %d served %d of %d requests after the faults", vm, served[vm], all[vm])})
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
		case e.Killed, e.Overdue && e.Frozen:
		case e.Asked.IsZero():
			add(e, fmt.Sprintf("ended by itself with code %d", e.Code))
		case e.Overdue:
			add(e, "had not stopped "+stopTime.String()+" after SIGTERM")
		case e.Code != 0:
			add(e, fmt.Sprintf("ended with code %d after SIGTERM", e.Code))
		}
	}
	return out
}

// Summary returns how many calls had which outcome.
func (h *History) Summary() string {
	served, refused, failed, lost := 0, 0, 0, 0
	for _, c := range h.Calls {
		switch a := c.Answer; {
		case a.Whole():
			served++
		case a.Refused():
			refused++
		case a.Err == nil:
			failed++
		default:
			lost++
		}
	}
	return fmt.Sprintf("%d calls: %d served, %d refused, %d failed, %d without an answer", len(h.Calls), served, refused, failed, lost)
}

// Plan returns the steps with their times of day, as the logs have them.
func (h *History) Plan() string {
	var b strings.Builder
	for _, s := range h.Steps {
		fmt.Fprintf(&b, "%s for %s %T%+v\n", h.Began.Add(s.At).UTC().Format("15:04:05.000000"), s.For, s.Action, s.Action)
	}
	fmt.Fprintf(&b, "%s calm\n", h.Calm.UTC().Format("15:04:05.000000"))
	return b.String()
}
