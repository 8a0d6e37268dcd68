package front_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/base/quota"
	"jacinthcross/internal/task/front"
	"jacinthcross/internal/task/router"
)

// testTimeout limits waits in tests. It checks no latency.
const testTimeout = 10 * time.Second

func TestMain(m *testing.M) {
	event.RedirectLibraryLogs()
	m.Run()
}

// A fixture is a front task whose router is simulated by the test.
type fixture struct {
	*front.Task
	inbox  *mail.Box[front.Message]
	router *mail.Box[router.Message]
}

func startFixture(t *testing.T, options ...front.Option) *fixture {
	f := &fixture{inbox: mail.NewBox[front.Message](64), router: mail.NewBox[router.Message](64)}
	var err error
	f.Task, err = front.New(netip.MustParseAddrPort("127.0.0.1:0"), f.inbox, f.router, options...)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		f.Stop()
		<-f.Done()
	})
	return f
}

// nextMessage returns the next message to the router.
func nextMessage[M router.Message](t *testing.T, f *fixture) M {
	t.Helper()
	select {
	case m := <-f.router.C():
		typed, ok := m.(M)
		qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%T", m))
		return typed
	case <-time.After(testTimeout):
		t.Fatal("no message to the router")
		panic("unreachable")
	}
}

func reply(s router.Submit, body string) {
	s.Reply.TryPut(router.Answer{ID: s.ID, Outcome: call.Answered{Status: 200, Body: []byte(body)}})
}

// A client is a raw TCP connection of a caller.
type client struct {
	t *testing.T
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, f *fixture) *client {
	c, err := net.Dial("tcp", f.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { c.Close() })
	qt.Assert(t, c.SetDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	return &client{t, c, bufio.NewReader(c)}
}

func (c *client) send(text string) {
	c.t.Helper()
	_, err := io.WriteString(c, text)
	qt.Assert(c.t, err, qt.IsNil)
}

// A response is an HTTP response with its body.
type response struct {
	status int
	header http.Header
	close  bool
	body   string
}

// response reads one response.
func (c *client) response(method string) response {
	c.t.Helper()
	r, err := http.ReadResponse(c.reader, &http.Request{Method: method})
	qt.Assert(c.t, err, qt.IsNil)
	defer r.Body.Close()
	body, err := io.ReadAll(r.Body)
	qt.Assert(c.t, err, qt.IsNil)
	return response{r.StatusCode, r.Header, r.Close, string(body)}
}

// expectEOF asserts that the connection is closed without more bytes.
func (c *client) expectEOF() {
	c.t.Helper()
	rest, err := io.ReadAll(c.reader)
	qt.Assert(c.t, err, qt.IsNil)
	qt.Assert(c.t, string(rest), qt.Equals, "")
}

// Guards against responses to pipelined requests in the wrong order.
func TestPipelinedRequestsAreAnsweredInOrder(t *testing.T) {
	f := startFixture(t)
	c := dial(t, f)
	var b strings.Builder
	for i := range 10 {
		fmt.Fprintf(&b, "POST /%d HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\n%d", i, i)
	}
	c.send(b.String())
	for i := range 10 {
		s := nextMessage[router.Submit](t, f)
		qt.Assert(t, s.Request.URI, qt.Equals, fmt.Sprintf("/%d", i))
		reply(s, string(s.Request.Body))
		body := c.response(http.MethodPost).body
		qt.Assert(t, body, qt.Equals, fmt.Sprint(i))
	}
}

// Guards against unbounded queueing of requests on one connection.
func TestTooManyPipelinedRequestsAreRefused(t *testing.T) {
	f := startFixture(t)
	c := dial(t, f)
	c.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	first := nextMessage[router.Submit](t, f)
	c.send(strings.Repeat("GET / HTTP/1.1\r\nHost: a\r\n\r\n", 30))
	time.Sleep(200 * time.Millisecond)
	for i := range 17 {
		if i > 0 {
			first = nextMessage[router.Submit](t, f)
		}
		reply(first, "")
		r := c.response(http.MethodGet)
		qt.Assert(t, r.header.Get("Jacinth-Outcome"), qt.Equals, "Answered")
	}
	r := c.response(http.MethodGet)
	qt.Assert(t, r.header.Get("Jacinth-Error"), qt.Equals, string(errs.Busy))
	c.expectEOF()
}

// Guards against accepting a request behind a chunked body without a check of its header.
func TestRequestBehindChunkedBodyIsRefused(t *testing.T) {
	f := startFixture(t)
	c := dial(t, f)
	c.send("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nPOST / HTTP/1.1\r\nHost: a\r\nContent-Length : 3\r\n\r\nabc")
	reply(nextMessage[router.Submit](t, f), "first")
	body := c.response(http.MethodPost).body
	qt.Assert(t, body, qt.Equals, "first")
	r := c.response(http.MethodPost)
	qt.Assert(t, r.header.Get("Jacinth-Error"), qt.Equals, string(errs.BadRequest))
	c.expectEOF()
}

// Guards against a caller that waits in vain for 100 Continue.
func TestExpectContinue(t *testing.T) {
	f := startFixture(t)
	c := dial(t, f)
	c.send("POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")
	line, err := c.reader.ReadString('\n')
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, line, qt.Equals, "HTTP/1.1 100 Continue\r\n")
	_, err = c.reader.ReadString('\n')
	qt.Assert(t, err, qt.IsNil)
	c.send("ok")
	s := nextMessage[router.Submit](t, f)
	qt.Assert(t, string(s.Request.Body), qt.Equals, "ok")
	for _, field := range s.Request.Header {
		qt.Assert(t, field.Name, qt.Not(qt.Equals), "Expect")
	}
}

// Guards against slow senders that hold connections indefinitely.
func TestSlowSendersAreDisconnected(t *testing.T) {
	for _, test := range []struct{ name, bytes string }{
		{"nothing", ""},
		{"half a header", "GET / HT"},
		{"half a body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\nabc"},
		{"half a chunk", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab"},
	} {
		for _, earlier := range []int{0, 1} {
			t.Run(fmt.Sprintf("%s after %d requests", test.name, earlier), func(t *testing.T) {
				if test.bytes == "" && earlier > 0 {
					// Idle connections are kept between requests, see TestRequestTimeoutEndsWithTheRequest.
					return
				}
				f := startFixture(t, front.WithRequestTimeout(200*time.Millisecond))
				c := dial(t, f)
				for range earlier {
					c.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
					reply(nextMessage[router.Submit](t, f), "")
					c.response(http.MethodGet)
				}
				c.send(test.bytes)
				c.expectEOF()
			})
		}
	}
}

// Guards against closing a refused connection while the caller is still sending, so that it cannot read the response.
func TestRefusalReachesASender(t *testing.T) {
	f := startFixture(t, front.WithMaxBody(1000))
	for range 5 {
		c := dial(t, f)
		c.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 10000000\r\n\r\n")
		c.send(strings.Repeat("x", 10_000_000))
		qt.Assert(t, c.response(http.MethodPost).header.Get("Jacinth-Error"), qt.Equals, string(errs.BodyTooLarge))
	}
}

// Guards against a request timeout that closes a connection with a call in flight or without a request.
func TestRequestTimeoutEndsWithTheRequest(t *testing.T) {
	f := startFixture(t, front.WithRequestTimeout(200*time.Millisecond))
	c := dial(t, f)
	for range 2 {
		c.send("GET / HT")
		c.send("TP/1.1\r\nHost: a\r\n\r\n")
		s := nextMessage[router.Submit](t, f)
		time.Sleep(500 * time.Millisecond)
		reply(s, "late")
		body := c.response(http.MethodGet).body
		qt.Assert(t, body, qt.Equals, "late")
		time.Sleep(500 * time.Millisecond)
	}
}

// Guards against delivering a late response to a new connection that reuses the file descriptor of a closed one.
func TestLateResponseIsDiscarded(t *testing.T) {
	f := startFixture(t)
	for i := range 20 {
		gone := dial(t, f)
		gone.send("GET /gone HTTP/1.1\r\nHost: a\r\n\r\n")
		s := nextMessage[router.Submit](t, f)
		gone.Close()
		cancel := nextMessage[router.Cancel](t, f)
		qt.Assert(t, cancel.ID, qt.Equals, s.ID)
		// The next connection is likely to reuse the file descriptor of the closed one.
		c := dial(t, f)
		c.send("GET /here HTTP/1.1\r\nHost: a\r\n\r\n")
		mine := nextMessage[router.Submit](t, f)
		reply(s, "late")
		reply(mine, fmt.Sprintf("answer %d", i))
		body := c.response(http.MethodGet).body
		qt.Assert(t, body, qt.Equals, fmt.Sprintf("answer %d", i))
		c.Close()
	}
}

// Guards against unbounded memory for request bodies, and against leaking reserved memory.
func TestBodyMemoryIsBounded(t *testing.T) {
	f := startFixture(t, front.WithQuota(quota.New(1500)))
	request := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n"
	for range 3 {
		half := dial(t, f)
		half.send(request + "half")
		time.Sleep(50 * time.Millisecond)
		c := dial(t, f)
		c.send(request)
		r := c.response(http.MethodPost)
		qt.Assert(t, r.header.Get("Jacinth-Error"), qt.Equals, string(errs.Busy))
		half.send(strings.Repeat("x", 996))
		reply(nextMessage[router.Submit](t, f), "ok")
		body := half.response(http.MethodPost).body
		qt.Assert(t, body, qt.Equals, "ok")
		left := dial(t, f)
		left.send(request + "left")
		left.Close()
		time.Sleep(50 * time.Millisecond)
	}
}

// Guards against callers that wait while the router cannot accept their calls, and against a refusal that claims that
// no earlier send of a key has run.
func TestFullRouterMailboxIsBusy(t *testing.T) {
	f := startFixture(t)
	for f.router.TryPut(router.Cancel{}) {
	}
	c := dial(t, f)
	for _, test := range []struct {
		path, key string
		kind      errs.Kind
		outcome   errs.Outcome
	}{
		{"/", "", errs.Busy, errs.NotRun},
		{"/", "Idempotency-Key: k\r\n", errs.OwnerUnreachable, errs.NotRunEarlierUnknown},
		{"/.well-known/jacinthcross/key?service=a", "", errs.Busy, errs.NotRun},
	} {
		c.send("GET " + test.path + " HTTP/1.1\r\nHost: a\r\n" + test.key + "\r\n")
		r := c.response(http.MethodGet)
		qt.Assert(t, r.status, qt.Equals, 503)
		qt.Assert(t, r.header.Get("Jacinth-Error"), qt.Equals, string(test.kind))
		qt.Assert(t, r.header.Get("Jacinth-Outcome"), qt.Equals, string(test.outcome))
		qt.Assert(t, r.header.Get("Retry-After"), qt.Equals, "1")
	}
}

// Guards against responses that break the framing, and against passing on header fields that only the daemon may set.
func TestResponseFraming(t *testing.T) {
	for _, test := range []struct {
		name, method string
		outcome      call.Answered
		body         string
	}{
		{"body", "GET", call.Answered{Status: 200, Body: []byte("abc")}, "abc"},
		{"head", "HEAD", call.Answered{Status: 200}, ""},
		{"no content", "GET", call.Answered{Status: 204}, ""},
		{"not modified", "GET", call.Answered{Status: 304}, ""},
		{"line break in a value", "GET", call.Answered{Status: 200, Header: []call.Field{{Name: "X", Value: "a\r\nY: b"}}}, ""},
		{"line break in a name", "GET", call.Answered{Status: 200, Header: []call.Field{{Name: "X\r\nY", Value: "a"}}}, ""},
		{"large", "GET", call.Answered{Status: 200, Body: make([]byte, 5<<20)}, string(make([]byte, 5<<20))},
	} {
		t.Run(test.name, func(t *testing.T) {
			f := startFixture(t)
			c := dial(t, f)
			for range 2 {
				c.send(test.method + " / HTTP/1.1\r\nHost: a\r\nJacinth-Outcome: x\r\nJacinth-Target: y\r\n\r\n")
				s := nextMessage[router.Submit](t, f)
				for _, field := range s.Request.Header {
					qt.Assert(t, strings.HasPrefix(field.Name, "Jacinth-"), qt.IsFalse)
				}
				s.Reply.TryPut(router.Answer{ID: s.ID, Outcome: test.outcome})
				r := c.response(test.method)
				qt.Assert(t, r.body == test.body, qt.IsTrue)
				qt.Assert(t, r.status, qt.Equals, test.outcome.Status)
				qt.Assert(t, r.header.Get("Y"), qt.Equals, "")
				qt.Assert(t, r.header.Get("Jacinth-Outcome"), qt.Equals, "Answered")
			}
		})
	}
}
