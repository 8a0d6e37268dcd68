package local

import (
	"net"
	"time"

	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/ident"
)

const (
	// A target that refuses connections is tried again after these delays, doubled each time.
	// A restart takes from tenths of a second to seconds.
	firstProbeDelay = 50 * time.Millisecond
	maxProbeDelay   = 2 * time.Second
	// settleTime is how long the resets of the other connections may take to arrive after the
	// first when the process has died.
	settleTime = 50 * time.Millisecond
	// reportGap bounds the reports of a target that goes down again and again. Replies carry its state as well.
	reportGap = time.Second
)

// A suspicion is a connection that the target ended while calls were in flight: the process
// has died, or it closed only this connection. A refused connection proves the death. When a new
// connection is accepted, the process is a new one if all the others ended as well, the monitor included.
type suspicion struct {
	inFlight []ident.Digest
	open     map[connection]bool
	total    int
}

// A connection is a conn or a monitor.
type connection interface{ close() }

// forget takes out a connection that this side closed.
func (s *suspicion) forget(c *conn) {
	if s != nil && s.open[c] {
		delete(s.open, c)
		s.total--
	}
}

// restarted reports whether all of several connections ended together.
func (s *suspicion) restarted() bool { return len(s.open) == 0 && s.total > 1 }

// suspect notes that the target ended a connection. The call that it carried must still be in runs.
func (t *Task) suspect(c *conn) {
	if !t.present || c.target != t.target.Address {
		return
	}
	if t.suspicion == nil && !t.blamed {
		t.suspicion = t.newSuspicion(c)
		if t.down {
			t.settle(true, t.clock.Now())
		} else if t.suspicion != nil {
			t.probe()
		}
	}
	if t.suspicion != nil {
		delete(t.suspicion.open, c)
	}
}

// newSuspicion returns the calls in flight and the open connections, or nil when no call is in flight.
func (t *Task) newSuspicion(c *conn) *suspicion {
	s := &suspicion{open: map[connection]bool{c: true}}
	for _, r := range t.runs {
		if r.conn != nil {
			s.inFlight = append(s.inFlight, r.digest())
			s.open[r.conn] = true
		}
	}
	if len(s.inFlight) == 0 {
		return nil
	}
	for _, i := range t.idle {
		s.open[i] = true
	}
	if t.monitor != nil {
		s.open[t.monitor] = true
	}
	s.total = len(s.open)
	if t.monitor == nil && t.clock.Now().Sub(t.monitorEnd) <= settleTime {
		s.total++
	}
	return s
}

// probe tries to open a connection, in place of the calls of callers.
func (t *Task) probe() {
	if t.probing || !t.present {
		return
	}
	t.probing = true
	address, inbox, done := t.target.Address, t.inbox, t.Stopping()
	go func() {
		c, err := net.DialTimeout("tcp", address.String(), dialTimeout)
		if err == nil {
			_ = c.Close()
		}
		inbox.Put(probed{address: address, err: err}, done)
	}()
}

func (t *Task) probed(m probed, now time.Time) {
	t.probing = false
	switch {
	case m.address != t.target.Address:
		if t.down {
			t.probe()
		}
	case m.err != nil:
		t.markDown(m.err, now)
	case t.down:
		t.down, t.blamed = false, false
		event.TargetUp.Log("target", t.target.Name, "address", t.target.Address)
		t.reportHealth(now)
	case t.suspicion != nil:
		t.alarms.Set(settleAlarm{}, now.Add(settleTime))
	}
}

// markDown notes that the target refuses connections: queued calls are answered as not run, and
// the next connection is opened by a probe.
func (t *Task) markDown(err error, now time.Time) {
	if !t.down {
		t.down, t.probeDelay = true, firstProbeDelay
		event.TargetDown.Log("target", t.target.Name, "address", t.target.Address, "error", err.Error())
		t.settle(true, now)
		t.closeIdle(now.Add(time.Nanosecond))
		t.flush(errs.TargetDown)
		t.reportHealth(now)
	} else {
		t.probeDelay = min(2*t.probeDelay, maxProbeDelay)
	}
	t.alarms.Set(probeAlarm{}, now.Add(t.probeDelay))
}

// reportHealth tells the routers that the target is down or up again. A daemon that goes on to issue keys
// for a target that is down makes their callers wait for its restart, since no other target may run them.
func (t *Task) reportHealth(now time.Time) {
	if t.down == t.told || t.down && now.Sub(t.toldAt) < reportGap {
		return
	}
	t.told, t.toldAt = t.down, now
	t.onHealth(t.target.Name, t.load())
}

// resolve ends a suspicion after the ends of the other connections have had time to arrive. When there was no
// other, the target is monitored, so that the next end tells.
func (t *Task) resolve(now time.Time) {
	dead, alone := t.suspicion.restarted(), t.suspicion.total == 1
	t.settle(dead, now)
	if dead || alone {
		t.startMonitoring(now)
	}
}

// settle ends a suspicion. When the process has died, the calls that were in flight are blamed.
func (t *Task) settle(dead bool, now time.Time) {
	s := t.suspicion
	t.suspicion = nil
	if s == nil || !dead {
		return
	}
	// While the target is down the other resets of the same crash still arrive.
	t.blamed = t.down
	event.TargetCrashed.Log("target", t.target.Name, "inFlight", len(s.inFlight))
	if blames := t.crashes.Crashed(s.inFlight, now); len(blames) > 0 {
		t.onBlame(t.target.Service, blames)
	}
}
