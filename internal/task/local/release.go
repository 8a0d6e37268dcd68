package local

import (
	"time"

	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/policy/admit"
	"jacinthcross/internal/policy/crash"
	"jacinthcross/internal/policy/ledger"
	"jacinthcross/internal/policy/warm"
)

func (t *Task) setRelease(r *note.Release) {
	t.head, t.release = r.Head, r
	target, ok := r.TargetBeside(t.vm, t.service, t.targetAddress)
	if !ok {
		t.withdrawTarget()
		return
	}
	if t.gate == nil || target.Name != t.target.Name || !target.StartedAt.Equal(t.target.StartedAt) {
		t.withdrawTarget()
		t.resetTargetState(target)
	}
	now := t.clock.Now()
	service := r.Services[target.Service]
	t.coldLimit.SetService(service.ColdRate, service.ColdStart, target.HealthPath != "", now)
	t.coldLimit.RecordEntry(target.WarmAt, now)
	moved := target.Address != t.target.Address
	if !t.hasTarget {
		event.TargetAdded.Log("target", target.Name, "address", target.Address)
	}
	t.target, t.hasTarget = target, true
	if target.Draining {
		t.refuseQueued(errs.Draining)
	}
	t.updateEvacuation(t.clock.Now())
	if moved {
		// One nanosecond later than now, so that connections that have just become idle are closed too.
		t.closeIdle(now.Add(time.Nanosecond))
		t.down, t.crashRecorded, t.suspectedCrash = false, false, nil
		t.timers.Remove(probeTimer{})
		t.stopMonitoring()
		t.coldLimit.Recheck()
		t.reportTarget(now)
	} else if t.down {
		t.probeConnection()
	}
	t.gate.SetSlots(target.Slots)
	t.gate.SetColdUntil(target.WarmAt)
	if t.coldLimit.Source() == warm.Assumed {
		t.checkColdState(now)
	}
	t.noteColdState(now)
	t.advanceGate(now)
}

// resetTargetState replaces the state that is kept for the target. A new ledger does not know the keys of an earlier
// ledger and would run their calls again, so it gets a new incarnation. A withdrawn target that returns with the same
// name and StartedAt keeps its ledger, unless the daemon had another target in between.
func (t *Task) resetTargetState(target note.Target) {
	now := t.clock.Now()
	if t.ledger != nil {
		t.targetStartedAt = now
		t.coldLimit.RecordStart(now)
		t.incarnation = ident.NewIncarnation()
	}
	options := []admit.Option{admit.WithStartLimit(t.coldLimit)}
	if t.fixedSlots {
		options = append(options, admit.WithDeclaredSlots())
	}
	if target.HealthPath != "" {
		options = append(options, admit.WithSlownessMeasurement())
	}
	t.gate = admit.NewGate(target.Slots, options...)
	t.ledger = ledger.New(target.Name, t.incarnation, t.ledgerLimits, now)
	t.resetCrashEvidence(target, now)
	t.replaced = false
	t.timers.Set(epochTimer{}, now.Add(t.ledgerLimits.EpochLength))
}

// resetCrashEvidence discards the evidence on requests that crash targets if the service changes. A target that returns
// after a crash does so as another process, often under another name; discarding the evidence then would discard it after
// each crash.
func (t *Task) resetCrashEvidence(target note.Target, now time.Time) {
	if target.Service == t.target.Service {
		return
	}
	if t.crashes.HasEvidence(now) {
		event.CrashEvidenceDropped.Log("target", target.Name, "requests", t.crashes.Len())
	}
	t.crashes = crash.NewTable()
}

// withdrawTarget stops dispatching calls to the target. Calls in flight continue, and resends of finished calls still
// get their outcomes from the ledger.
func (t *Task) withdrawTarget() {
	if !t.hasTarget {
		return
	}
	event.TargetWithdrawn.Log("target", t.target.Name)
	t.hasTarget = false
	t.stopMonitoring()
	t.refuseQueued(errs.Withdrawn)
	t.refuseAwaitingBodies(errs.Withdrawn)
	// One nanosecond later than now, so that connections that have just become idle are closed too.
	t.closeIdle(t.clock.Now().Add(time.Nanosecond))
}
