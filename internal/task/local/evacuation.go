package local

import (
	"time"

	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/event"
)

const (
	// maxReleaseAge is the length of a process pause after which the release in force may be too old to start calls: a
	// data centre may have been evacuated meanwhile, and a call must not start there later than 5 s after that.
	maxReleaseAge = 2 * time.Second
	// maxConfirmWait limits the time for which calls are refused after such a pause until the release is confirmed. The
	// router holds new calls for the same time.
	maxConfirmWait = 500 * time.Millisecond
)

// isEvacuated reports whether the data centre of the target is evacuated.
func (t *Task) isEvacuated() bool { return t.release.Evacuated[t.target.DataCentre] }

// updateEvacuation carries out what a new release says about the data centre of the target. Running calls go on.
func (t *Task) updateEvacuation(now time.Time) {
	evacuated := t.isEvacuated()
	if evacuated == t.evacuated {
		return
	}
	t.evacuated = evacuated
	if !evacuated {
		event.TargetRestored.Log("target", t.target.Name, "dataCentre", t.target.DataCentre)
		t.handleRestored(now)
		t.reportEvacuation()
		return
	}
	running := 0
	for _, r := range t.calls {
		if r.conn != nil {
			running++
		}
	}
	event.TargetEvacuated.Log("target", t.target.Name, "dataCentre", t.target.DataCentre, "running", running, "waiting", len(t.calls)-running)
	t.refuseQueued(errs.DataCentreEvacuated)
	t.reportEvacuation()
}

// reportEvacuation sends peers a load report, which names the release in force. Peers that cannot read the store, and whose
// sources cannot either, read it from this daemon. They get no other reports while no calls go to the target.
func (t *Task) reportEvacuation() { t.onTargetReport(t.target.Name, t.load()) }

// handleRestored is called when the evacuation of the target's data centre ends, before the first call is admitted. The
// target has had no calls for a while and may be cold, so calls are limited until its health response tells.
func (t *Task) handleRestored(now time.Time) {
	t.coldLimit.Recheck()
	t.checkColdState(now)
}

// distrustRelease refuses calls that would start after a long process pause, until the release is confirmed. They have not
// been sent, so another target can run them. Releases that are built from notes evacuate no data centre.
func (t *Task) distrustRelease(paused time.Duration, now time.Time) {
	if paused >= maxReleaseAge && t.release.Version > 0 {
		t.refuseUntil = now.Add(maxConfirmWait)
	}
}
