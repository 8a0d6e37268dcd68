package front_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/task/front"
	"jacinthcross/internal/task/router"
)

const getRequest = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// setLimits sets the limits of a release and waits until they apply.
func (f *fixture) setLimits(t *testing.T, l note.Limits) {
	qt.Assert(t, f.inbox.TryPut(front.ReleaseChanged{Release: &note.Release{Limits: l}}), qt.IsTrue)
	c := dial(t, f)
	c.send(getRequest)
	reply(nextMessage[router.Submit](t, f), "")
	c.response(http.MethodGet)
}

// Guards against limits of a release that are not applied, and against a release that raises the limits of the
// settings.
func TestReleaseSizeLimits(t *testing.T) {
	for _, test := range []struct {
		name    string
		limits  note.Limits
		request string
		want    errs.Kind
	}{
		{"none", note.Limits{}, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\n" + strings.Repeat("x", 900), ""},
		{"lower for a header", note.Limits{MaxHeader: 500}, "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 500) + "\r\n\r\n", errs.HeaderTooLarge},
		{"lower for a body", note.Limits{MaxBody: 500}, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 501\r\n\r\n", errs.BodyTooLarge},
		{"lower for a body in chunks", note.Limits{MaxBody: 500}, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1f5\r\n" + strings.Repeat("x", 501) + "\r\n", errs.BodyTooLarge},
		{"higher for a body", note.Limits{MaxBody: 5000}, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1001\r\n\r\n", errs.BodyTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := startFixture(t, front.WithMaxBody(1000), front.WithMaxHeader(1000))
			f.setLimits(t, test.limits)
			c := dial(t, f)
			c.send(test.request)
			if test.want == "" {
				reply(nextMessage[router.Submit](t, f), "")
			}
			qt.Assert(t, c.response(http.MethodPost).header.Get("Jacinth-Error"), qt.Equals, string(test.want))
		})
	}
}

// Guards against restarting the request timeout when the body begins.
func TestRequestTimeoutCountsFromTheFirstByte(t *testing.T) {
	const limit = 2 * time.Second
	f := startFixture(t, front.WithRequestTimeout(limit))
	c := dial(t, f)
	began := time.Now()
	c.send("POST / HTTP/1.1\r\nHost: a\r\n")
	time.Sleep(limit * 4 / 5)
	c.send("Content-Length: 10\r\n\r\nabc")
	c.expectEOF()
	// If the timeout restarted with the body, the connection would end after 1.8 times the limit.
	qt.Assert(t, time.Since(began) < limit*8/5, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
}

// Guards against connections that hold file descriptors for longer than the release allows, and against applying the
// header timeout to bodies.
func TestReleaseTimeouts(t *testing.T) {
	const limit = 200 * time.Millisecond
	for _, test := range []struct {
		name   string
		limits note.Limits
		bytes  string
		// The connection must end after atLeast. The upper bound is the read deadline of the client, after which
		// expectEOF fails. atMost only states it and is not read.
		atLeast time.Duration
		atMost  time.Duration
	}{
		{"half a header", note.Limits{HeaderTimeout: limit}, "GET / HT", limit, testTimeout},
		{"half a body", note.Limits{HeaderTimeout: limit}, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc", 5 * limit, testTimeout},
		{"no request", note.Limits{IdleTimeout: limit}, "", limit, testTimeout},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := startFixture(t, front.WithRequestTimeout(5*limit))
			f.setLimits(t, test.limits)
			c := dial(t, f)
			c.send(getRequest)
			reply(nextMessage[router.Submit](t, f), "")
			c.response(http.MethodGet)
			began := time.Now()
			c.send(test.bytes)
			c.expectEOF()
			// The daemon starts measuring a little before the test.
			qt.Assert(t, time.Since(began) > test.atLeast*9/10, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
		})
	}
}
