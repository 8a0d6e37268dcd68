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

const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"

// limit sets the limits of a release and waits until they hold.
func (f *fixture) limit(t *testing.T, l note.Limits) {
	qt.Assert(t, f.inbox.TryPut(front.LimitsChanged{Limits: l}), qt.IsTrue)
	c := dial(t, f)
	c.send(get)
	answer(next[router.Submit](t, f), "")
	c.response(http.MethodGet)
}

// Guards against limits of a release that are not applied, and against a release that lifts those of the settings.
func TestLimitsOfTheRelease(t *testing.T) {
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
			f := start(t, front.WithMaxBody(1000), front.WithMaxHeader(1000))
			f.limit(t, test.limits)
			c := dial(t, f)
			c.send(test.request)
			if test.want == "" {
				answer(next[router.Submit](t, f), "")
			}
			qt.Assert(t, c.response(http.MethodPost).header.Get("Jacinth-Error"), qt.Equals, string(test.want))
		})
	}
}

// Guards against a sender that gets the time of a request anew for its body.
func TestSendLimitCountsFromTheFirstByte(t *testing.T) {
	const limit = 2 * time.Second
	f := start(t, front.WithSendLimit(limit))
	c := dial(t, f)
	began := time.Now()
	c.send("POST / HTTP/1.1\r\nHost: a\r\n")
	time.Sleep(limit * 4 / 5)
	c.send("Content-Length: 10\r\n\r\nabc")
	c.ended()
	// With the time counted anew the connection ends after 1.8 times the limit.
	qt.Assert(t, time.Since(began) < limit*8/5, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
}

// Guards against connections of callers that hold descriptors longer than the release allows, and against a limit for
// headers that cuts bodies off.
func TestTimesOfTheRelease(t *testing.T) {
	const limit = 200 * time.Millisecond
	for _, test := range []struct {
		name   string
		limits note.Limits
		sent   string
		least  time.Duration
		most   time.Duration
	}{
		{"half a header", note.Limits{HeaderTimeout: limit}, "GET / HT", limit, patience},
		{"half a body", note.Limits{HeaderTimeout: limit}, "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc", 5 * limit, patience},
		{"no request", note.Limits{IdleTimeout: limit}, "", limit, patience},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := start(t, front.WithSendLimit(5*limit))
			f.limit(t, test.limits)
			c := dial(t, f)
			c.send(get)
			answer(next[router.Submit](t, f), "")
			c.response(http.MethodGet)
			began := time.Now()
			c.send(test.sent)
			c.ended()
			// The time that the daemon measures begins a little before the one that the test measures.
			qt.Assert(t, time.Since(began) > test.least*9/10, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
		})
	}
}
