package front_test

import (
	"net"
	"net/http"
	"testing"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/task/front"
	"jacinthcross/internal/task/router"
)

// Guards against a planned stop that cuts callers off, and against calls that a stopping router takes
// after the others were awaited: their outcome would be unknown.
func TestDrainEndsCallsFirst(t *testing.T) {
	f := start(t)
	busy, idle, late := dial(t, f), dial(t, f), dial(t, f)
	for _, c := range []*client{busy, idle, late} {
		// A connection that the front has not accepted when it closes its listening socket is reset by the system.
		c.send("GET /0 HTTP/1.1\r\nHost: a\r\n\r\n")
		answer(next[router.Submit](t, f), "zero")
		qt.Assert(t, c.response(http.MethodGet).close, qt.IsFalse)
	}
	busy.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	s := next[router.Submit](t, f)
	empty := make(chan struct{})
	f.inbox.TryPut(front.Drain{Empty: empty})
	idle.send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	s2 := next[router.Submit](t, f)
	_, err := net.Dial("tcp", f.Addr().String())
	qt.Assert(t, err, qt.IsNotNil)
	answer(s2, "two")
	r := idle.response(http.MethodGet)
	qt.Assert(t, r.body, qt.Equals, "two")
	qt.Assert(t, r.close, qt.IsTrue)
	select {
	case <-empty:
		t.Fatal("a call is outstanding")
	default:
	}
	answer(s, "one")
	<-empty
	r = busy.response(http.MethodGet)
	qt.Assert(t, r.body, qt.Equals, "one")
	qt.Assert(t, r.close, qt.IsTrue)
	busy.ended()
	late.send("GET /3 HTTP/1.1\r\nHost: a\r\n\r\n")
	r = late.response(http.MethodGet)
	qt.Assert(t, r.header.Get("Jacinth-Error"), qt.Equals, string(errs.Draining))
	qt.Assert(t, r.header.Get("Jacinth-Outcome"), qt.Equals, string(errs.NotRun))
	qt.Assert(t, r.close, qt.IsTrue)
}

// Guards against a stop that takes calls until its time is over and then cuts them off: callers that do not
// learn of the stop keep sending.
func TestLingerEndsBeforeTheStop(t *testing.T) {
	f := start(t, front.WithLinger())
	f.inbox.TryPut(front.Drain{})
	c := dial(t, f)
	c.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	running := next[router.Submit](t, f)
	empty := make(chan struct{})
	f.inbox.TryPut(front.Drain{Empty: empty})
	for range 3 {
		late := dial(t, f)
		late.send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
		r := late.response(http.MethodGet)
		qt.Assert(t, r.header.Get("Jacinth-Error"), qt.Equals, string(errs.Draining))
		qt.Assert(t, r.header.Get("Jacinth-Outcome"), qt.Equals, string(errs.NotRun))
		qt.Assert(t, r.close, qt.IsTrue)
	}
	answer(running, "one")
	<-empty
	r := c.response(http.MethodGet)
	qt.Assert(t, r.body, qt.Equals, "one")
	qt.Assert(t, r.close, qt.IsTrue)
}
