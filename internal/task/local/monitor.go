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
	// monitorRetryInterval is the delay before another attempt to open a monitor connection.
	monitorRetryInterval = 4 * time.Second
)

// A monitorConn is a connection to the target that carries no calls. If the only connection with a call is closed, it
// distinguishes a crash, which closes both, from the close of a single connection. It is opened only for a limited time
// after such an ambiguous close, and only to targets with more than one slot: a server that serves one connection at a
// time would wait for a request on it.
type monitorConn struct {
	target netip.AddrPort
	stream net.Conn
}

func (m *monitorConn) close() { _ = m.stream.Close() }

// startMonitoring opens a monitor connection and keeps it open for monitorDuration.
func (t *Task) startMonitoring(now time.Time) {
	t.monitorUntil = now.Add(monitorDuration)
	t.ensureMonitorConn(now)
}

// ensureMonitorConn opens a monitor connection if there is none, and stops monitoring when its time is over.
func (t *Task) ensureMonitorConn(now time.Time) {
	if !t.hasTarget || !now.Before(t.monitorUntil) {
		t.stopMonitoring()
		return
	}
	t.timers.Set(monitorTimer{}, now.Add(monitorRetryInterval))
	if t.monitorConn != nil || t.openingMonitorConn || t.down || t.target.Slots < 2 {
		return
	}
	t.openingMonitorConn = true
	address, inbox, done := t.target.Address, t.inbox, t.Stopping()
	go func() {
		stream, err := net.DialTimeout("tcp", address.String(), dialTimeout)
		if err != nil {
			inbox.Put(monitorConnOpened{}, done)
			return
		}
		defer stream.Close()
		m := &monitorConn{target: address, stream: stream}
		inbox.Put(monitorConnOpened{m}, done)
		closed := make(chan struct{})
		go func() {
			defer close(closed)
			// The target sends nothing without a request, so this returns when the connection is closed.
			_, _ = stream.Read(make([]byte, 1))
		}()
		select {
		case <-closed:
			inbox.Put(monitorConnClosed{m}, done)
		case <-done:
		}
	}()
}

func (t *Task) stopMonitoring() {
	t.monitorUntil = time.Time{}
	t.timers.Remove(monitorTimer{})
	if t.monitorConn != nil {
		t.monitorConn.close()
		t.monitorConn = nil
	}
}

// handleMonitorConnOpened records a new monitor connection, or that none could be opened if m is nil.
func (t *Task) handleMonitorConnOpened(m *monitorConn, now time.Time) {
	t.openingMonitorConn = false
	switch {
	case m == nil:
	case m.target != t.target.Address || !now.Before(t.monitorUntil):
		m.close()
	default:
		t.monitorConn = m
	}
}

// handleMonitorConnClosed records that the target closed the monitor connection. In a crash, the reset of the connection
// with the call may arrive later, so opening a new monitor connection is delayed until after that.
func (t *Task) handleMonitorConnClosed(m *monitorConn, now time.Time) {
	if t.monitorConn != m {
		return
	}
	t.monitorConn, t.monitorClosedAt = nil, now
	if t.suspectedCrash != nil {
		delete(t.suspectedCrash.open, m)
	}
	t.timers.Set(monitorTimer{}, now.Add(2*maxResetDelay))
}
