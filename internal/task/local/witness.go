package local

import (
	"net"
	"net/netip"
	"time"
)

const (
	// watchTime is how long a target is watched: as long as a crash counts against a request.
	watchTime = 60 * time.Second
	// rewatchGap is how long a watched target may be without a witness that could not be opened.
	rewatchGap = 4 * time.Second
)

// A witness is a connection to the target without calls. When the only connection with a call ends, it
// tells a crash, which ends both, from the close of one connection, which leaves it open. It is kept only
// while the target is watched, after an end that could have been either, and only to targets with more than
// one slot: a server that serves one connection at a time would wait for a request on it.
type witness struct {
	target netip.AddrPort
	stream net.Conn
}

func (w *witness) close() { _ = w.stream.Close() }

// watch keeps a witness for a time.
func (t *Task) watch(now time.Time) {
	t.watchUntil = now.Add(watchTime)
	t.rewatch(now)
}

// rewatch opens a witness when there is none, until the time is over.
func (t *Task) rewatch(now time.Time) {
	if !t.present || !now.Before(t.watchUntil) {
		t.unwatch()
		return
	}
	t.alarms.Set(watchAlarm{}, now.Add(rewatchGap))
	if t.witness != nil || t.summoning || t.down || t.target.Slots < 2 {
		return
	}
	t.summoning = true
	address, inbox, done := t.target.Address, t.inbox, t.Stopping()
	go func() {
		stream, err := net.DialTimeout("tcp", address.String(), dialTimeout)
		if err != nil {
			inbox.Put(witnessed{}, done)
			return
		}
		defer stream.Close()
		w := &witness{target: address, stream: stream}
		inbox.Put(witnessed{w}, done)
		ended := make(chan struct{})
		go func() {
			defer close(ended)
			// Without a request the target sends nothing, so this returns when the connection ends.
			_, _ = stream.Read(make([]byte, 1))
		}()
		select {
		case <-ended:
			inbox.Put(witnessLost{w}, done)
		case <-done:
		}
	}()
}

func (t *Task) unwatch() {
	t.watchUntil = time.Time{}
	t.alarms.Clear(watchAlarm{})
	if t.witness != nil {
		t.witness.close()
		t.witness = nil
	}
}

// witnessed takes the witness that was opened, or nil.
func (t *Task) witnessed(w *witness, now time.Time) {
	t.summoning = false
	switch {
	case w == nil:
	case w.target != t.target.Address || !now.Before(t.watchUntil):
		w.close()
	default:
		t.witness = w
	}
}

// loseWitness notes that the target ended the witness. In a crash the end of the connection of a call may
// arrive later, and a new witness only then.
func (t *Task) loseWitness(w *witness, now time.Time) {
	if t.witness != w {
		return
	}
	t.witness, t.witnessEnd = nil, now
	if t.suspicion != nil {
		delete(t.suspicion.open, w)
	}
	t.alarms.Set(watchAlarm{}, now.Add(2*settleTime))
}
