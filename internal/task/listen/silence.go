package listen

import (
	"time"

	"jacinthcross/internal/base/event"
	"jacinthcross/internal/task/link"
)

// checkSessions closes inactive sessions and pings peers that are silent while a request is in progress.
func (t *Task) checkSessions() {
	for s, p := range t.sessions {
		now := time.Now()
		silent := now.Sub(s.LastReceived())
		switch {
		case p.silent:
			endSilent(s)
			if !p.pinging {
				p.pinging = true
				t.startPing(s)
			}
		case silent > inactivityTimeout:
			event.PeerSilent.Log("peer", s.RemoteAddr(), "vm", p.hello.VM, "silent", silent)
			s.Close()
		case s.ActiveRequests() > 0 && silent > pingAfter && !p.pinging:
			p.pinging = true
			t.startPing(s)
		}
	}
}

// endSilent closes the session of a silent peer, unless calls are in progress that may not be repeated. Those continue
// until their deadline, since the peer waits for their replies as well; the others end.
func endSilent(s *link.Session) {
	if s.HasKeptCalls(time.Now()) {
		s.EndRepeatableCalls()
		return
	}
	s.Close()
}

// startPing pings a peer in a new goroutine and reports when the answer is overdue and when the ping has ended.
func (t *Task) startPing(s *link.Session) {
	answered, check := make(chan error, 1), link.NewPingCheck(s.Progress())
	go func() {
		_, err := s.Ping()
		answered <- err
	}()
	go func() {
		for busy := true; busy; {
			since := time.Now()
			select {
			case err := <-answered:
				t.inbox.Put(pingEnded{s, err}, t.Stopping())
				return
			case <-time.After(pingTimeout):
				// After a pause of this process, the answer may wait in the socket.
				late := time.Since(since) > 2*pingTimeout
				busy = check.IsBusy(s.Progress()) || late
			}
		}
		t.inbox.Put(pingOverdue{s}, t.Stopping())
		t.inbox.Put(pingEnded{s, <-answered}, t.Stopping())
	}()
}
