package router

import (
	"time"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/policy/retry"
	"jacinthcross/internal/policy/route"
	"jacinthcross/internal/task/local"
)

// A PeerState is what other tasks have told of a VM.
type PeerState string

// The states.
const (
	PeerIsUp       PeerState = "Up"
	PeerIsDown     PeerState = "Down"
	PeerIsDraining PeerState = "Draining"
)

// setRelease updates the candidates of the services in use. Tables of other services are made on first use.
func (t *Task) setRelease(r *note.Release) {
	t.release = r
	t.splits.Keep(r.Routes)
	now := t.clock.Now()
	for name, table := range t.tables {
		if _, ok := r.Services[name]; !ok {
			delete(t.tables, name)
			delete(t.latencies, name)
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
	if t.shares != nil {
		t.shares.SetFleet(len(vms))
		t.shares.Keep(func(s ident.Service) bool { _, ok := r.Services[s]; return ok })
	}
}

func (t *Task) table(service ident.Service) *route.Table {
	table, ok := t.tables[service]
	if !ok {
		table = route.NewTable(t.vm, t.dataCentre, route.WithRegion(t.region), route.WithProfile(t.profile), route.WithBudget(t.budget))
		table.SetCandidates(t.candidates(service), t.clock.Now())
		for vm, state := range t.peers {
			t.tell(table, vm, state)
		}
		t.tables[service] = table
		t.latencies[service] = &retry.Latency{}
	}
	return table
}

func (t *Task) candidates(service ident.Service) []route.Candidate {
	var candidates []route.Candidate
	for _, target := range t.release.TargetsOf(service) {
		if target.Draining {
			continue
		}
		candidates = append(candidates, route.Candidate{
			Target: target.Name, VM: target.VM, DataCentre: target.DataCentre, Region: target.Region, Slots: target.Slots,
		})
	}
	return candidates
}

func (t *Task) setPeer(vm ident.VM, state PeerState) {
	if state == PeerIsUp {
		delete(t.peers, vm)
	} else if _, ok := t.release.TargetOn(vm); ok {
		t.peers[vm] = state
	}
	for _, table := range t.tables {
		t.tell(table, vm, state)
	}
}

func (t *Task) tell(table *route.Table, vm ident.VM, state PeerState) {
	switch state {
	case PeerIsDraining:
		table.SetDraining(vm)
	case PeerIsDown:
		table.SetDown(vm, true, t.clock.Now())
	case PeerIsUp:
		table.SetDown(vm, false, t.clock.Now())
	}
}

// targetReported notes what the daemon beside a target tells of it. A service that is not in use here
// gets no table for it.
func (t *Task) targetReported(m TargetReported) {
	if table, ok := t.tables[t.release.Targets[m.Target].Service]; ok {
		table.Heard(m.Target, m.Load, t.clock.Now())
	}
}

// holdTime bounds how long new calls wait after a pause for the keeper to compare its head with peers.
const holdTime = 500 * time.Millisecond

// pause holds new calls, and forgets what was true before the pause.
func (t *Task) pause() {
	t.paused = t.clock.Now()
	t.resume = t.paused.Add(holdTime)
	t.alarms.Set(resume{}, t.resume)
	for _, table := range t.tables {
		table.Discard()
	}
}

// unhold takes the calls that were held.
func (t *Task) unhold() {
	t.resume = time.Time{}
	t.alarms.Clear(resume{})
	held := t.held
	t.held = nil
	for _, m := range held {
		t.begin(m)
	}
}

// maxContexts bounds the inbound calls whose context is known. Beside a target run at most its slots.
const maxContexts = 4096

// setContext notes that an inbound call on the own target begins or ends. An end may be lost when the
// mailbox is full, so contexts beyond their deadline are removed when there are too many.
func (t *Task) setContext(c local.Context) {
	if c.Closed {
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
