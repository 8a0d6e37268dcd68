package local

import (
	"net"
	"net/netip"
	"time"
)

const (
	// monitorTime is how long a target is monitored: as long as a crash counts against a request.
	monitorTime = 60 * time.Second
	// monitorRetry is how long a monitored target may be without a monitor that could not be opened.
	monitorRetry = 4 * time.Second
)

// A monitor is a connection to the target without calls. When the only connection with a call ends, it
// tells a crash, which ends both, from the close of one connection, which leaves it open. It is kept only
// while the target is monitored, after an end that could have been either, and only to targets with more than
// one slot: a server that serves one connection at a time would wait for a request on it.
type monitor struct {
	target netip.AddrPort
	stream net.Conn
}

func (m *monitor) close() { _ = m.stream.Close() }

// startMonitoring keeps a monitor for a time.
func (t *Task) startMonitoring(now time.Time) {
	t.monitorUntil = now.Add(monitorTime)
	t.ensureMonitor(now)
}

// ensureMonitor opens a monitor when there is none, until the time is over.
func (t *Task) ensureMonitor(now time.Time) {
	if !t.present || !now.Before(t.monitorUntil) {
		t.stopMonitoring()
		return
	}
	t.alarms.Set(monitorAlarm{}, now.Add(monitorRetry))
	if t.monitor != nil || t.opening || t.down || t.target.Slots < 2 {
		return
	}
	t.opening = true
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
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			// Without a request the target sends nothing, so this returns when the connection ends.
			_, _ = stream.Read(make([]byte, 1))
		}()
		select {
		case <-ended:
			inbox.Put(monitorLost{m}, done)
		case <-done:
		}
	}()
}

func (t *Task) stopMonitoring() {
	t.monitorUntil = time.Time{}
	t.alarms.Clear(monitorAlarm{})
	if t.monitor != nil {
		t.monitor.close()
		t.monitor = nil
	}
}

// monitorReady takes the monitor that was opened, or nil.
func (t *Task) monitorReady(m *monitor, now time.Time) {
	t.opening = false
	switch {
	case m == nil:
	case m.target != t.target.Address || !now.Before(t.monitorUntil):
		m.close()
	default:
		t.monitor = m
	}
}

// loseMonitor notes that the target ended the monitor. In a crash the end of the connection of a call may
// arrive later, and a new monitor only then.
func (t *Task) loseMonitor(m *monitor, now time.Time) {
	if t.monitor != m {
		return
	}
	t.monitor, t.monitorEnd = nil, now
	if t.suspicion != nil {
		delete(t.suspicion.open, m)
	}
	t.alarms.Set(monitorAlarm{}, now.Add(2*settleTime))
}
