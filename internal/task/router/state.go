package router

import (
	"time"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/policy/retry"
	"jacinthcross/internal/policy/route"
	"jacinthcross/internal/task/local"
)

// A PeerAvailability is the state of the daemon on a VM, as reported by other tasks.
type PeerAvailability string

// The peer states.
const (
	PeerIsUp       PeerAvailability = "Up"
	PeerIsDown     PeerAvailability = "Down"
	PeerIsDraining PeerAvailability = "Draining"
)

// setRelease updates the candidates of the services in use. Tables of other services are created on first use.
func (t *Task) setRelease(r *note.Release) {
	t.release = r
	t.splits.Retain(r.Routes)
	now := t.clock.Now()
	for name, table := range t.tables {
		if _, ok := r.Services[name]; !ok {
			delete(t.tables, name)
			delete(t.serviceLatencies, name)
			continue
		}
		table.SetCandidates(t.candidates(name), now)
	}
	vms := map[ident.VM]bool{}
	for _, target := range r.Targets {
		vms[target.VM] = true
	}
	for vm := range t.peers {
		if !vms[vm] {
			delete(t.peers, vm)
		}
	}
	if t.platformBudget != nil {
		t.platformBudget.SetDaemonCount(len(vms))
		t.platformBudget.Retain(func(s ident.Service) bool { _, ok := r.Services[s]; return ok })
	}
	if t.awaitingRelease && len(r.Services) > 0 {
		t.submitHeld()
	}
}

func (t *Task) table(service ident.Service) *route.Table {
	table, ok := t.tables[service]
	if !ok {
		table = route.NewTable(t.vm, t.dataCentre, route.WithRegion(t.region), route.WithProfile(t.profile), route.WithProbeBudget(t.probeBudget))
		table.SetCandidates(t.candidates(service), t.clock.Now())
		for vm, state := range t.peers {
			t.applyPeerState(table, vm, state)
		}
		t.tables[service] = table
		t.serviceLatencies[service] = &retry.LatencyWindow{}
	}
	return table
}

func (t *Task) candidates(service ident.Service) []route.Candidate {
	var candidates []route.Candidate
	coldRate := t.release.Services[service].ColdRate
	for _, target := range t.release.AvailableTargets(service) {
		candidates = append(candidates, route.Candidate{
			Target: target.Name, VM: target.VM, DataCentre: target.DataCentre, Region: target.Region, Slots: target.Slots,
			ColdRate: coldRate, WarmAt: target.WarmAt,
		})
	}
	return candidates
}

func (t *Task) setPeer(vm ident.VM, state PeerAvailability) {
	if state == PeerIsUp {
		delete(t.peers, vm)
	} else if _, ok := t.release.TargetByVM(vm); ok {
		t.peers[vm] = state
	}
	for _, table := range t.tables {
		t.applyPeerState(table, vm, state)
	}
}

func (t *Task) applyPeerState(table *route.Table, vm ident.VM, state PeerAvailability) {
	switch state {
	case PeerIsDraining:
		table.SetDraining(vm)
	case PeerIsDown:
		table.SetDown(vm, true, t.clock.Now())
	case PeerIsUp:
		table.SetDown(vm, false, t.clock.Now())
	}
}

// handleTargetReport records a load report from the daemon beside a target. No table is created for a service that is
// not in use. The daemon may have a newer release, for example one that restores its data centre: targets of an evacuated
// one send no other reports.
func (t *Task) handleTargetReport(m TargetReported) {
	target, known := t.release.Targets[m.Target]
	if known && target.VM != t.vm && m.Load.Head.IsAfter(t.release.Head) {
		t.onNewerRelease(m.Load.Head, target.Daemon)
	}
	if table, ok := t.tables[target.Service]; ok {
		table.UpdateLoad(m.Target, m.Load, t.clock.Now())
	}
}

// maxHoldTime limits the time for which new calls are held after a process pause. They are submitted earlier if the
// release in force has been compared with the releases of peers.
const maxHoldTime = 500 * time.Millisecond

// handleResumed starts holding new calls after a process pause and discards the loads and ejections from before it.
func (t *Task) handleResumed() {
	t.pauseEnded = t.clock.Now()
	t.awaitingRelease = false
	t.holdUntil = t.pauseEnded.Add(maxHoldTime)
	t.timers.Set(resumeTimer{}, t.holdUntil)
	for _, table := range t.tables {
		table.ClearTransientState()
	}
}

// maxStartHold limits the time for which calls are held after the start of the task until there is a release. When all
// VMs start together, a daemon has its release 0.1 to 0.5 s after its start, while a refused caller returns a second
// later.
const maxStartHold = 700 * time.Millisecond

// submitHeld begins the calls that were held after a process pause or for the first release.
func (t *Task) submitHeld() {
	t.holdUntil, t.awaitingRelease = time.Time{}, false
	t.timers.Remove(resumeTimer{})
	held := t.heldCalls
	t.heldCalls = nil
	for _, m := range held {
		t.begin(m)
	}
}

// maxContexts bounds the contexts of inbound calls. The inbound calls at a target are bounded by its slots.
const maxContexts = 4096

// setContext records the beginning or end of an inbound call at the daemon's own target. An end may be lost if the
// mailbox is full, so at the limit the contexts past their deadline are removed.
func (t *Task) setContext(c local.CallContext) {
	if c.Ended {
		delete(t.contexts, c.Token)
		return
	}
	if len(t.contexts) >= maxContexts {
		now := t.clock.Now()
		for token, old := range t.contexts {
			if old.Deadline.Before(now) {
				delete(t.contexts, token)
			}
		}
	}
	if len(t.contexts) < maxContexts {
		t.contexts[c.Token] = &c
	}
}
