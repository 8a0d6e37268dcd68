package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/quota"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/task/front"
	"jacinthcross/internal/task/router"
)

// startPipelineFixture starts a front task with a release in which requests below /safe/ are idempotent and those below
// /once/ are not.
func startPipelineFixture(t *testing.T, options ...front.Option) *fixture {
	f := startFixture(t, options...)
	shares := []note.Share{{Service: "a", Weight: 1}}
	r := note.NewRelease()
	r.Services["a"] = note.Service{Name: "a"}
	for _, route := range []note.Route{
		{Name: "safe", Host: "a", Prefix: "/safe/", Split: shares, Idempotent: true},
		{Name: "once", Host: "a", Prefix: "/once/", Split: shares},
	} {
		r.Routes[route.Name] = route
	}
	qt.Assert(t, f.inbox.TryPut(front.ReleaseChanged{Release: r}), qt.IsTrue)
	return f
}

func pipelined(paths ...string) string {
	var b strings.Builder
	for _, path := range paths {
		path, fields, _ := strings.Cut(path, " ")
		if fields != "" {
			fields += "\r\n"
		}
		fmt.Fprintf(&b, "GET %s HTTP/1.1\r\nHost: a\r\n%s\r\n", path, fields)
	}
	return b.String()
}

// submits returns the next n calls that are submitted.
func submits(t *testing.T, f *fixture, n int) []router.Submit {
	t.Helper()
	var list []router.Submit
	for range n {
		list = append(list, nextMessage[router.Submit](t, f))
	}
	return list
}

// expectNoMessage asserts that the router gets no message for a while.
func expectNoMessage(t *testing.T, f *fixture) {
	t.Helper()
	select {
	case m := <-f.router.C():
		t.Fatalf("unexpected message to the router: %#v", m)
	case <-time.After(100 * time.Millisecond):
	}
}

// Guards against a slow request that delays those behind it on the connection, against responses in the order in which
// the calls end, and against a refused call that is mixed up with its neighbours.
func TestIdempotentRequestsRunSideBySide(t *testing.T) {
	for _, test := range []struct {
		name  string
		order []int
	}{
		{"first to last", []int{0, 1, 2, 3}},
		{"last to first", []int{3, 2, 1, 0}},
		{"mixed", []int{2, 0, 3, 1}},
	} {
		for refused := range 5 {
			t.Run(fmt.Sprintf("%s, refused %d", test.name, refused), func(t *testing.T) {
				f := startPipelineFixture(t)
				c := dial(t, f)
				c.send(pipelined("/safe/0", "/safe/1", "/safe/2", "/safe/3"))
				calls := submits(t, f, 4)
				for i, s := range calls {
					qt.Assert(t, s.Request.URI, qt.Equals, fmt.Sprintf("/safe/%d", i))
					qt.Assert(t, s.OnlyIdempotent, qt.Equals, i > 0)
				}
				for _, i := range test.order {
					if i == refused {
						calls[i].Reply.TryPut(router.Answer{ID: calls[i].ID, Outcome: call.Refused{Kind: errs.Busy}})
						continue
					}
					reply(calls[i], calls[i].Request.URI)
				}
				for i := range 4 {
					r := c.response(http.MethodGet)
					if i == refused {
						qt.Assert(t, r.header.Get("Jacinth-Error"), qt.Equals, string(errs.Busy))
						continue
					}
					qt.Assert(t, r.body, qt.Equals, fmt.Sprintf("/safe/%d", i))
				}
				c.send(pipelined("/safe/again"))
				reply(nextMessage[router.Submit](t, f), "again")
				qt.Assert(t, c.response(http.MethodGet).body, qt.Equals, "again")
			})
		}
	}
}

// Guards against a non-idempotent request that runs while the caller may still have to send it again, since a response
// before it is missing, and against requests that overtake it.
func TestNonIdempotentRequestsRunAlone(t *testing.T) {
	for _, test := range []struct {
		name   string
		paths  []string
		stages []int
	}{
		{"in the middle", []string{"/safe/0", "/safe/1", "/once/2", "/safe/3", "/safe/4"}, []int{2, 1, 2}},
		{"first", []string{"/once/0", "/safe/1", "/safe/2"}, []int{1, 2}},
		{"several", []string{"/once/0", "/once/1", "/safe/2"}, []int{1, 1, 1}},
		{"no route", []string{"/safe/0", "/other/1", "/safe/2"}, []int{1, 1, 1}},
		{"a key request", []string{"/safe/0", "/.well-known/jacinthcross/key?service=a"}, []int{1}},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := startPipelineFixture(t)
			c := dial(t, f)
			c.send(pipelined(test.paths...))
			for _, n := range test.stages {
				calls := submits(t, f, n)
				expectNoMessage(t, f)
				qt.Assert(t, calls[0].OnlyIdempotent, qt.IsFalse)
				for _, s := range calls {
					reply(s, s.Request.URI)
					qt.Assert(t, c.response(http.MethodGet).body, qt.Equals, s.Request.URI)
				}
			}
		})
	}
}

// Guards against running requests that their caller sends again, since the connection is closed before they are answered.
func TestRequestsBehindTheLastResponseAreNotRun(t *testing.T) {
	for _, test := range []struct {
		name    string
		paths   []string
		started int
		drain   bool
	}{
		{"the caller closes", []string{"/safe/0", "/safe/1 Connection: close", "/safe/2"}, 2, false},
		{"planned stop", []string{"/safe/0", "/safe/1", "/once/2"}, 2, true},
		{"planned stop, one request", []string{"/once/0", "/safe/1"}, 1, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := startPipelineFixture(t)
			c := dial(t, f)
			c.send(pipelined(test.paths...))
			calls := submits(t, f, test.started)
			drained := make(chan struct{})
			if test.drain {
				f.inbox.TryPut(front.Drain{Drained: drained})
				c.send(pipelined("/safe/late"))
			}
			expectNoMessage(t, f)
			for i, s := range calls {
				reply(s, s.Request.URI)
				r := c.response(http.MethodGet)
				qt.Assert(t, r.body, qt.Equals, s.Request.URI)
				qt.Assert(t, r.close, qt.Equals, i == test.started-1)
			}
			c.expectEOF()
			expectNoMessage(t, f)
			if test.drain {
				<-drained
			}
		})
	}
}

// Guards against calls that go on after their caller has left, and against memory of responses that no one awaits.
func TestPipeliningCallerLeaves(t *testing.T) {
	q := quota.New(1 << 20)
	f := startPipelineFixture(t, front.WithQuota(q))
	c := dial(t, f)
	c.send(pipelined("/safe/0", "/safe/1", "/safe/2"))
	calls := submits(t, f, 3)
	reply(calls[1], strings.Repeat("x", 1000))
	waitUntil(t, func() bool { return q.Used() == 1000 })
	c.Close()
	for _, i := range []int{0, 2} {
		qt.Assert(t, nextMessage[router.Cancel](t, f).ID, qt.Equals, calls[i].ID)
	}
	waitUntil(t, func() bool { return q.Used() == 0 })
}

// Guards against unbounded memory for responses that wait for an earlier one.
func TestHeldResponsesAreBounded(t *testing.T) {
	q := quota.New(8 << 20)
	f := startPipelineFixture(t, front.WithQuota(q))
	c := dial(t, f)
	const size = 300 << 10
	c.send(pipelined("/safe/0", "/safe/1"))
	calls := submits(t, f, 2)
	reply(calls[1], strings.Repeat("x", size))
	waitUntil(t, func() bool { return q.Used() == size })
	c.send(pipelined("/safe/2"))
	expectNoMessage(t, f)
	reply(calls[0], "first")
	qt.Assert(t, c.response(http.MethodGet).body, qt.Equals, "first")
	qt.Assert(t, len(c.response(http.MethodGet).body), qt.Equals, size)
	reply(nextMessage[router.Submit](t, f), "third")
	qt.Assert(t, c.response(http.MethodGet).body, qt.Equals, "third")
	waitUntil(t, func() bool { return q.Used() == 0 })
}

// Guards against a connection that occupies the daemon with all of its requests at once.
func TestConcurrentRequestsOfAConnectionAreBounded(t *testing.T) {
	f := startPipelineFixture(t)
	c := dial(t, f)
	var paths []string
	for i := range 20 {
		paths = append(paths, fmt.Sprintf("/safe/%d", i))
	}
	c.send(pipelined(paths...))
	calls := submits(t, f, 16)
	expectNoMessage(t, f)
	for i := range 20 {
		reply(calls[i], fmt.Sprint(i))
		qt.Assert(t, c.response(http.MethodGet).body, qt.Equals, fmt.Sprint(i))
		if i < 4 {
			calls = append(calls, nextMessage[router.Submit](t, f))
		}
	}
}

// Guards against a stop that ends the process while responses wait to be sent.
func TestDrainAwaitsTheBytesOfResponses(t *testing.T) {
	const size = 8 << 20 // exceeds the buffers of a loopback connection
	for _, test := range []struct {
		name   string
		finish func(slow *client)
	}{
		{"read late", func(slow *client) {
			qt.Assert(t, len(slow.response(http.MethodGet).body), qt.Equals, size)
		}},
		{"caller disconnects", func(slow *client) { slow.Close() }},
	} {
		for _, before := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s, drain before the answer %t", test.name, before), func(t *testing.T) {
				f := startFixture(t, front.WithAcceptWhileDraining())
				slow := dial(t, f)
				slow.send("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
				s := nextMessage[router.Submit](t, f)
				drained := make(chan struct{})
				if before {
					f.inbox.TryPut(front.Drain{Drained: drained})
				}
				s.Reply.TryPut(router.Answer{ID: s.ID, Outcome: call.Answered{Status: 200, Body: make([]byte, size)}})
				time.Sleep(50 * time.Millisecond)
				if !before {
					f.inbox.TryPut(front.Drain{Drained: drained})
				}
				select {
				case <-drained:
					t.Fatal("drained while a response is being sent")
				case <-time.After(100 * time.Millisecond):
				}
				test.finish(slow)
				select {
				case <-drained:
				case <-time.After(testTimeout):
					t.Fatal("not drained")
				}
			})
		}
	}
}
