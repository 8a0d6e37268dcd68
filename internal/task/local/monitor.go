package local

import (
	"net"
	"net/netip"
	"time"
)

const (
	// monitorDuration is how long a target is monitored. It equals the time for which a crash counts against a
	// request.
	monitorDuration = 60 * time.Second
	// monitorRetryInterval is the delay before another attempt to open a monitor.
	monitorRetryInterval = 4 * time.Second
)

// A monitor is a connection to the target that carries no calls. If the only connection with a call is closed, it
// distinguishes a crash, which closes both, from the close of a single connection. It is opened only for a limited time
// after such an ambiguous close, and only to targets with more than one slot: a server that serves one connection at a
// time would wait for a request on it.
type monitor struct {
	target netip.AddrPort
	stream net.Conn
}

func (m *monitor) close() { _ = m.stream.Close() }

// startMonitoring opens a monitor and keeps it open for monitorDuration.
func (t *Task) startMonitoring(now time.Time) {
	t.monitorUntil = now.Add(monitorDuration)
	t.ensureMonitor(now)
}

// ensureMonitor opens a monitor if there is none, and stops monitoring when its time is over.
func (t *Task) ensureMonitor(now time.Time) {
	if !t.hasTarget || !now.Before(t.monitorUntil) {
		t.stopMonitoring()
		return
	}
	t.timers.Set(monitorTimer{}, now.Add(monitorRetryInterval))
	if t.monitor != nil || t.openingMonitor || t.down || t.target.Slots < 2 {
		return
	}
	t.openingMonitor = true
	address, inbox, done := t.target.Address, t.inbox, t.Stopping()
	go func() {
		stream, err := net.DialTimeout("tcp", address.String(), dialTimeout)
		if err != nil {
			inbox.Put(monitorOpened{}, done)
			return
		}
		defer stream.Close()
		m := &monitor{target: address, stream: stream}
		inbox.Put(monitorOpened{m}, done)
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			// The target sends nothing without a request, so this returns when the connection is closed.
			_, _ = stream.Read(make([]byte, 1))
		}()
		select {
		case <-closed:
			inbox.Put(monitorClosed{m}, done)
		case <-done:
		}
	}()
}

func (t *Task) stopMonitoring() {
	t.monitorUntil = time.Time{}
	t.timers.Remove(monitorTimer{})
	if t.monitor != nil {
		t.monitor.close()
		t.monitor = nil
	}
}

// handleMonitorOpened records a new monitor, or that none could be opened if m is nil.
func (t *Task) handleMonitorOpened(m *monitor, now time.Time) {
	t.openingMonitor = false
	switch {
	case m == nil:
	case m.target != t.target.Address || !now.Before(t.monitorUntil):
		m.close()
	default:
		t.monitor = m
	}
}

// handleMonitorClosed records that the target closed the monitor. In a crash, the reset of the connection with the call
// may arrive later, so opening a new monitor is delayed until after that.
func (t *Task) handleMonitorClosed(m *monitor, now time.Time) {
	if t.monitor != m {
		return
	}
	t.monitor, t.monitorClosedAt = nil, now
	if t.suspected != nil {
		delete(t.suspected.open, m)
	}
	t.timers.Set(monitorTimer{}, now.Add(2*maxResetDelay))
}
