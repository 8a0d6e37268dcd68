package local

import (
	"time"

	"jacinthcross/internal/base/event"
)

// checkColdState requests the health path of a target with a limit while it is cold, if nothing has told its state for
// some time. It is called when the target gets a call, after each start of the target and after the daemon's own start.
func (t *Task) checkColdState(now time.Time) {
	if !t.hasTarget || t.down || t.target.HealthPath == "" || !t.coldLimit.RequestCheck(now) {
		return
	}
	t.checking = true
	// If the mailbox is full, a measurement has been requested, and its response tells as much.
	if t.measureRequests.TryPut(measureRequest{t.target.Address, t.target.HealthPath, now}) {
		t.onMeasure()
	}
}

// recordColdTime records what the response to a health check tells of the target's state. The response to a check that
// was requested before the target started may be that of the process before.
func (t *Task) recordColdTime(c coldTime, requestedAt, now time.Time) {
	switch {
	case !t.coldLimit.Enabled():
		return
	case requestedAt.Before(t.targetStartedAt):
		t.coldLimit.Recheck()
	case c.known:
		t.coldLimit.RecordHealth(c.untilWarm, now)
	default:
		t.coldLimit.RecordNoHealth(now)
	}
	t.noteColdState(now)
}

// recordStart records that the target has started, and asks for how long it is cold.
func (t *Task) recordStart(now time.Time) {
	if !t.coldLimit.Enabled() {
		return
	}
	t.targetStartedAt = now
	t.coldLimit.RecordStart(now)
	t.checkColdState(now)
	t.noteColdState(now)
}

// recordStartAfterDown records that a target which refused connections has started. All requests so far went to the process
// before.
func (t *Task) recordStartAfterDown(now time.Time) {
	t.coldLimit.ForgetSends()
	t.recordStart(now)
}

// noteColdState logs when the target becomes cold or warm.
func (t *Task) noteColdState(now time.Time) {
	untilWarm := t.coldLimit.UntilWarm(now)
	if untilWarm > 0 {
		t.timers.Set(warmTimer{}, now.Add(untilWarm))
	} else {
		t.timers.Remove(warmTimer{})
	}
	if cold := untilWarm > 0; cold != t.cold {
		t.cold = cold
		if cold {
			event.TargetCold.Log("target", t.target.Name, "until", untilWarm, "source", t.coldLimit.Source())
		} else {
			event.TargetWarm.Log("target", t.target.Name, "source", t.coldLimit.Source())
		}
	}
}
