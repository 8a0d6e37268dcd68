package local

import "jacinthcross/internal/base/errs"

// maxHeld bounds the keyed calls that wait for the confirmation of the release. More than a target
// can take in the 1.5 s of a confirmation would only wait in vain.
const maxHeld = 64

// hold keeps a keyed call until the release is confirmed. Refusing it would fail bookings at every
// start of a daemon, although the confirmation takes milliseconds when peers answer.
func (t *Task) hold(r *run) {
	if len(t.held) >= maxHeld {
		t.refuseRun(r, errs.Unconfirmed)
		return
	}
	t.held = append(t.held, r.ID)
	t.alarms.Set(r.ID, r.Request.Deadline)
}

// confirm admits the calls that waited, in the order of their arrival.
func (t *Task) confirm() {
	t.confirmed = true
	now := t.clock.Now()
	for _, r := range t.takeHeld() {
		t.alarms.Clear(r.ID)
		if kind, ok := t.closed(r, now); ok {
			t.refuseRun(r, kind)
			continue
		}
		t.admit(r, now)
	}
}

// refuseHeld answers the calls that wait as not run.
func (t *Task) refuseHeld(kind errs.Kind) {
	for _, r := range t.takeHeld() {
		t.refuseRun(r, kind)
	}
}

// takeHeld returns the calls that still wait, without those that were cancelled or whose deadline has passed.
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
