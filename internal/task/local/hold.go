package local

import "jacinthcross/internal/base/errs"

// maxHeldCalls limits the keyed calls that are held until the release is confirmed. A target takes no more calls in the
// 1.5 s that a confirmation can take, so more of them would wait in vain.
const maxHeldCalls = 64

// hold keeps a keyed call until the release is confirmed. Refusing it would make bookings fail whenever a daemon
// starts, although confirmation takes only milliseconds if peers respond.
func (t *Task) hold(r *run) {
	if len(t.held) >= maxHeldCalls {
		t.refuseRun(r, errs.Unconfirmed)
		return
	}
	t.held = append(t.held, r.ID)
	t.alarms.Set(r.ID, r.Request.Deadline)
}

// admitHeld records that the release is confirmed and admits the held calls in order of arrival.
func (t *Task) admitHeld() {
	t.confirmed = true
	now := t.clock.Now()
	for _, r := range t.takeHeld() {
		t.alarms.Remove(r.ID)
		if kind, ok := t.refusalReason(r, now); ok {
			t.refuseRun(r, kind)
			continue
		}
		t.admit(r, now)
	}
}

// refuseHeld refuses all held calls.
func (t *Task) refuseHeld(kind errs.Kind) {
	for _, r := range t.takeHeld() {
		t.refuseRun(r, kind)
	}
}

// takeHeld removes and returns the held calls, except those that were cancelled or whose deadline has passed.
func (t *Task) takeHeld() []*run {
	var all []*run
	for _, id := range t.held {
		if r, ok := t.runs[id]; ok {
			all = append(all, r)
		}
	}
	t.held = nil
	return all
}
