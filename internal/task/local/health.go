package local

import (
	"net"
	"time"

	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/event"
)

const (
	// A target that refuses connections is probed after these delays, with exponential backoff. A restart takes from
	// tenths of a second to several seconds.
	minProbeDelay = 50 * time.Millisecond
	maxProbeDelay = 2 * time.Second
	// maxResetDelay is the maximum delay between the first and the last connection reset when the process has died.
	maxResetDelay = 50 * time.Millisecond
	// minReportInterval limits the rate of reports on a target that goes down repeatedly. Replies carry its state as
	// well.
	minReportInterval = time.Second
)

// A suspectedCrash records that the target closed a connection while calls were in flight: either the process has died
// or it closed only this connection. If the target then refuses a connection, the process has died. If the target
// accepts one and has closed all other connections as well, including the monitor connection, the process was replaced.
type suspectedCrash struct {
	inFlight []callInFlight
	// open holds the connections that were open at the time and that the target has not closed since.
	open map[targetConn]bool
	// total is the number of connections that were open just before the first of them was closed, without those that the
	// task itself has closed since.
	total int
	// coldOverload is true if the target was cold and got more requests than it tolerates while cold.
	coldOverload bool
	// boundExceeded is true if it got more than the platform allows. sent is the number of requests in the last second.
	boundExceeded bool
	sent          int
}

// A targetConn is a *conn or a *monitorConn.
type targetConn interface{ close() }

// remove removes a connection that the task itself has closed.
func (s *suspectedCrash) remove(c *conn) {
	if s != nil && s.open[c] {
		delete(s.open, c)
		s.total--
	}
}

// restarted reports whether there were several connections and the target has closed all of them.
func (s *suspectedCrash) restarted() bool { return len(s.open) == 0 && s.total > 1 }

// suspectCrash records that the target closed a connection. The call that it carried must still be in calls.
func (t *Task) suspectCrash(c *conn) {
	if !t.hasTarget || c.target != t.target.Address {
		return
	}
	if t.suspectedCrash == nil && !t.crashRecorded {
		t.suspectedCrash = t.newSuspectedCrash(c)
		if t.down {
			t.endSuspectedCrash(true, t.clock.Now())
		} else if t.suspectedCrash != nil {
			t.probeConnection()
		}
	}
	if t.suspectedCrash != nil {
		delete(t.suspectedCrash.open, c)
	}
}

// newSuspectedCrash records the calls in flight and the open connections. It returns nil if no call is in flight.
func (t *Task) newSuspectedCrash(c *conn) *suspectedCrash {
	s := &suspectedCrash{open: map[targetConn]bool{c: true}}
	if s.inFlight = t.callsInFlight(t.clock.Now()); len(s.inFlight) == 0 {
		return nil
	}
	for _, r := range t.calls {
		if r.conn != nil {
			s.open[r.conn] = true
		}
	}
	for _, i := range t.idle {
		s.open[i] = true
	}
	if t.monitorConn != nil {
		s.open[t.monitorConn] = true
	}
	s.total = len(s.open)
	now := t.clock.Now()
	s.coldOverload, s.boundExceeded, s.sent = t.coldLimit.ColdOverload(now), t.coldLimit.BoundExceeded(now), t.coldLimit.SentInLastSecond(now)
	// The monitor connection may have been reset first in the same crash.
	if t.monitorConn == nil && t.clock.Now().Sub(t.monitorClosedAt) <= maxResetDelay {
		s.total++
	}
	return s
}

// probeConnection tries to connect to the target, so that no call has to.
func (t *Task) probeConnection() {
	if t.probing || !t.hasTarget {
		return
	}
	t.probing = true
	address, inbox, done := t.target.Address, t.inbox, t.Stopping()
	go func() {
		c, err := net.DialTimeout("tcp", address.String(), dialTimeout)
		if err == nil {
			_ = c.Close()
		}
		inbox.Put(probeResult{address: address, err: err}, done)
	}()
}

func (t *Task) handleProbe(m probeResult, now time.Time) {
	t.probing = false
	switch {
	case m.address != t.target.Address:
		if t.down {
			t.probeConnection()
		}
	case m.err != nil:
		t.markDown(m.err, now)
	case t.down:
		t.down, t.crashRecorded = false, false
		t.recordStartAfterDown(now)
		event.TargetUp.Log("target", t.target.Name, "address", t.target.Address)
		t.reportTarget(now)
	case t.suspectedCrash != nil:
		t.timers.Set(suspectedCrashTimer{}, now.Add(maxResetDelay))
	}
}

// markDown records that the target refuses connections. Queued calls are refused, and new connections are opened only
// after a probe succeeds.
func (t *Task) markDown(err error, now time.Time) {
	if !t.down {
		t.down, t.probeDelay = true, minProbeDelay
		event.TargetDown.Log("target", t.target.Name, "address", t.target.Address, "error", err.Error())
		t.endSuspectedCrash(true, now)
		// One nanosecond later than now, so that connections that have just become idle are closed too.
		t.closeIdle(now.Add(time.Nanosecond))
		t.refuseQueued(errs.TargetDown)
		t.reportTarget(now)
	} else {
		t.probeDelay = min(2*t.probeDelay, maxProbeDelay)
	}
	t.timers.Set(probeTimer{}, now.Add(t.probeDelay))
}

// reportTarget reports to the routers that the target is down or up again, if that has not been reported. A target that
// is down is reported at most once per minReportInterval. If a daemon kept issuing keys for a target that is down,
// callers would have to wait for its restart, since no other target may run their calls.
func (t *Task) reportTarget(now time.Time) {
	if t.down == t.reportedDown || t.down && now.Sub(t.reportedAt) < minReportInterval {
		return
	}
	t.reportedDown, t.reportedAt = t.down, now
	t.onTargetReport(t.target.Name, t.load())
}

// resolveSuspectedCrash decides on a suspected crash after the resets of the other connections have had time to arrive.
// If there was no other connection, it opens a monitor connection to tell a crash from a closed connection next time.
func (t *Task) resolveSuspectedCrash(now time.Time) {
	crashed, onlyConn := t.suspectedCrash.restarted(), t.suspectedCrash.total == 1
	t.endSuspectedCrash(crashed, now)
	if crashed || onlyConn {
		t.startMonitoring(now)
	}
}

// endSuspectedCrash clears the suspected crash. If the process has crashed, it records the calls that were in flight
// as possible causes and passes on the crash reports that result.
func (t *Task) endSuspectedCrash(crashed bool, now time.Time) {
	s := t.suspectedCrash
	t.suspectedCrash = nil
	if s == nil || !crashed {
		return
	}
	// While the target is down, more resets from the same crash may arrive.
	t.crashRecorded = t.down
	event.TargetCrashed.Log("target", t.target.Name, "inFlight", len(s.inFlight))
	switch {
	case s.coldOverload:
		// The rate of the requests has caused the crash, so it counts against none of them.
		event.ColdTargetCrashed.Log("target", t.target.Name, "sent", s.sent, "rate", t.release.Services[t.target.Service].ColdRate, "boundExceeded", s.boundExceeded)
	case t.crashThrottle.Allow(now):
		t.recordCrash(s.inFlight, now)
	}
	if !t.down {
		// The target accepts connections again.
		t.recordStart(now)
	}
}
