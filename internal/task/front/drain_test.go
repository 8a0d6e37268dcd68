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

// Guards against disconnecting callers in a planned stop, and against submitting late calls to a router that is
// stopping, which would make their outcome unknown.
func TestDrainAwaitsCalls(t *testing.T) {
	f := startFixture(t)
	active, idle, late := dial(t, f), dial(t, f), dial(t, f)
	for _, c := range []*client{active, idle, late} {
		// The kernel resets connections that are not accepted before the listening socket is closed.
		c.send("GET /0 HTTP/1.1\r\nHost: a\r\n\r\n")
		reply(nextMessage[router.Submit](t, f), "zero")
		qt.Assert(t, c.response(http.MethodGet).close, qt.IsFalse)
	}
	active.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	s := nextMessage[router.Submit](t, f)
	drained := make(chan struct{})
	f.inbox.TryPut(front.Drain{Drained: drained})
	idle.send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
	s2 := nextMessage[router.Submit](t, f)
	_, err := net.Dial("tcp", f.Addr().String())
	qt.Assert(t, err, qt.IsNotNil)
	reply(s2, "two")
	r := idle.response(http.MethodGet)
	qt.Assert(t, r.body, qt.Equals, "two")
	qt.Assert(t, r.close, qt.IsTrue)
	select {
	case <-drained:
		t.Fatal("drained while a call is in flight")
	default:
	}
	reply(s, "one")
	<-drained
	r = active.response(http.MethodGet)
	qt.Assert(t, r.body, qt.Equals, "one")
	qt.Assert(t, r.close, qt.IsTrue)
	active.expectEOF()
	late.send("GET /3 HTTP/1.1\r\nHost: a\r\n\r\n")
	r = late.response(http.MethodGet)
	qt.Assert(t, r.header.Get("Jacinth-Error"), qt.Equals, string(errs.Draining))
	qt.Assert(t, r.header.Get("Jacinth-Outcome"), qt.Equals, string(errs.NotRun))
	qt.Assert(t, r.close, qt.IsTrue)
}

// Guards against accepting calls until the stop times out and cuts off the calls in flight. Callers that do not learn
// of the stop keep sending.
func TestSecondDrainRefusesCalls(t *testing.T) {
	f := startFixture(t, front.WithAcceptWhileDraining())
	f.inbox.TryPut(front.Drain{})
	c := dial(t, f)
	c.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
	running := nextMessage[router.Submit](t, f)
	drained := make(chan struct{})
	f.inbox.TryPut(front.Drain{Drained: drained})
	for range 3 {
		late := dial(t, f)
		late.send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
		r := late.response(http.MethodGet)
		qt.Assert(t, r.header.Get("Jacinth-Error"), qt.Equals, string(errs.Draining))
		qt.Assert(t, r.header.Get("Jacinth-Outcome"), qt.Equals, string(errs.NotRun))
		qt.Assert(t, r.close, qt.IsTrue)
	}
	reply(running, "one")
	<-drained
	r := c.response(http.MethodGet)
	qt.Assert(t, r.body, qt.Equals, "one")
	qt.Assert(t, r.close, qt.IsTrue)
}
