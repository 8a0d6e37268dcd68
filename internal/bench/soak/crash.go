package soak

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"jacinthcross/internal/base/mail"
	"jacinthcross/platform/fake"
)

const (
	crashPath = "/read/crash"
	// crashDelay is the time after which a target crashes that runs the crash request, and crashRestartDelay the time
	// after which another target is started in its place.
	crashDelay        = 10 * time.Millisecond
	crashRestartDelay = 700 * time.Millisecond
	// crashCallInterval is the time between two crash requests to the same daemon.
	crashCallInterval = 250 * time.Millisecond
	// minCrashes is the number of crashes after which the daemons have settleTime to recognize a request that causes
	// them. It may then run maxLateRuns more times. These are limits of the platform.
	minCrashes  = 3
	maxLateRuns = 3
)

// A CrashCall is a request that crashes each target which runs it.
type CrashCall struct {
	VM     int
	SentID string
}

func (CrashCall) message() {}

// startCrashCallers sends the crash request to each daemon at intervals, from the end of the planned fraction of a plan.
func (c *callers) startCrashCallers(nodes []*node, length time.Duration, inbox *mail.Box[message]) {
	started := time.Now()
	for _, n := range nodes {
		c.running.Go(func() {
			for c.pause(crashCallInterval) {
				if time.Since(started) < time.Duration(plannedFraction*float64(length)) {
					continue
				}
				ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
				q := fake.Request{Method: http.MethodGet, Host: host, Path: crashPath, Timeout: callerTimeout}
				response := fake.SendOnce(ctx, n.vm.Settings.Callers, q, callerTimeout)
				cancel()
				inbox.Put(CrashCall{VM: n.number, SentID: response.SentID}, n.ended)
			}
		})
	}
}

// checkCrashRequest checks that the crash request is stopped after its first crashes. Runs on behalf of a daemon that was
// out of touch, or on a VM whose daemon was, do not count.
func (h *History) checkCrashRequest() []Finding {
	crashes := slices.SortedFunc(slices.Values(h.Crashes), time.Time.Compare)
	if len(crashes) < minCrashes {
		return nil
	}
	from := crashes[minCrashes-1].Add(settleTime)
	sentBy := map[string]int{}
	for _, c := range h.CrashCalls {
		sentBy[c.SentID] = c.VM
	}
	var late []Finding
	for _, r := range h.Runs {
		vm, ok := sentBy[r.ID]
		if ok && r.StartedAt.After(from) && h.inTouch(vm, r.StartedAt) && h.inTouch(vmOfTarget(r.Target), r.StartedAt) {
			late = append(late, Finding{CrashRequestStopped, r.ID, fmt.Sprintf("ran on %s %s after the third of %d crashes", r.Target, r.StartedAt.Sub(crashes[minCrashes-1]), len(crashes))})
		}
	}
	if len(late) <= maxLateRuns {
		return nil
	}
	return late
}

// vmOfTarget returns the number of the VM of a target from its ID: "i-3" is on VM 3, and "i-3-1" and "i-3.1" replaced it.
func vmOfTarget(id string) int {
	var vm int
	if _, err := fmt.Sscanf(id, "i-%d", &vm); err != nil {
		return -1
	}
	return vm
}

// inTouch reports whether the daemon of a VM was running, and its connections were not disturbed, for settleTime before
// the given time.
func (h *History) inTouch(vm int, at time.Time) bool {
	from := at.Add(-settleTime)
	for _, s := range h.Steps {
		if v, ok := disturbedVM(s.Action); ok && v == vm && h.StartedAt.Add(s.At).Before(at) && h.StartedAt.Add(s.At+s.Duration).After(from) {
			return false
		}
	}
	for _, started := range h.Starts[vm] {
		if started.After(from) && started.Before(at) {
			return false
		}
	}
	return true
}

// disturbedVM returns the VM whose daemon an action stops, pauses or disconnects.
func disturbedVM(a Action) (int, bool) {
	switch a := a.(type) {
	case StopDaemon:
		return a.VM, true
	case KillDaemon:
		return a.VM, true
	case FreezeDaemon:
		return a.VM, true
	case Disturb:
		return a.VM, true
	case ReloadDaemon, StoreFault, StoreSlow, StoreCompact, StoreRestore, TargetFault, TargetSlow, TargetCrash, ReplaceTarget, ChangeConfig:
	}
	return 0, false
}

// checkQuarantine checks that no call was refused because its request is taken for one that crashes targets.
func (h *History) checkQuarantine() []Finding {
	var out []Finding
	for _, c := range h.Calls {
		if c.Response.IsRefusal() && strings.Contains(c.Response.Body, "Quarantined") {
			out = append(out, Finding{SoundRequestServed, c.Response.SentID, c.Request.Path + " was refused as quarantined"})
		}
	}
	return out
}
