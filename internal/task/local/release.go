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
)

func (t *Task) setRelease(r *note.Release) {
	t.head = r.Head
	target, ok := r.TargetOn(t.vm)
	if !ok {
		t.withdraw()
		return
	}
	if t.gate == nil || target.Name != t.target.Name || !target.StartedAt.Equal(t.target.StartedAt) {
		t.withdraw()
		t.begin(target)
	}
	moved := target.Address != t.target.Address
	if !t.present {
		event.TargetAdded.Log("target", target.Name, "address", target.Address)
	}
	t.target, t.present = target, true
	if target.Draining {
		t.flush(errs.Draining)
	}
	if moved {
		t.closeIdle(t.clock.Now().Add(time.Nanosecond))
		t.down, t.blamed, t.suspicion = false, false, nil
		t.alarms.Clear(probeAlarm{})
		t.stopMonitoring()
		t.reportHealth(t.clock.Now())
	} else if t.down {
		t.probe()
	}
	t.gate.SetSlots(target.Slots)
	t.gate.SetCold(target.WarmAt)
	t.advanceGate(t.clock.Now())
}

// begin starts with another target. A new ledger would run the keys of an earlier one again, so it
// needs a new incarnation. A target that returns under its name keeps its ledger instead.
func (t *Task) begin(target note.Target) {
	now := t.clock.Now()
	if t.ledger != nil {
		t.self = ident.NewIncarnation()
	}
	var options []admit.Option
	if t.fixed {
		options = append(options, admit.WithFixedSlots())
	}
	if target.HealthPath != "" {
		options = append(options, admit.WithSensor())
	}
	t.gate = admit.NewGate(target.Slots, options...)
	t.ledger = ledger.New(target.Name, t.self, t.limits, now)
	t.crashes = crash.NewTable()
	t.replaced = false
	t.alarms.Set(epochAlarm{}, now.Add(t.limits.EpochLength))
}

// withdraw starts no more calls on the target. Calls in flight end, and resends of finished calls
// still find their answers.
func (t *Task) withdraw() {
	if !t.present {
		return
	}
	event.TargetWithdrawn.Log("target", t.target.Name)
	t.present = false
	t.stopMonitoring()
	t.flush(errs.Withdrawn)
	t.closeIdle(t.clock.Now().Add(time.Nanosecond))
}
