package front_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/limit"
	"jacinthcross/internal/base/quota"
	"jacinthcross/internal/task/front"
	"jacinthcross/internal/task/router"
)

// fields returns n fields of different names.
func fields(n int) string {
	var b strings.Builder
	for i := range n {
		b.WriteString("X" + strings.Repeat("y", i%50) + strings.Repeat("z", i/50) + ":\r\n")
	}
	return b.String()
}

// Guards against bytes of callers that are held without being counted, and against counting them after the connection has
// ended.
func TestAccountOfCallers(t *testing.T) {
	const head = "POST / HTTP/1.1\r\nHost: a\r\n"
	many := fields(200)
	tests := []struct {
		name, bytes string
		least       int // the least that is counted while the connection is open
	}{
		{"half a small header", head, 0},
		{"half a large header", head + many + many, 4000},
		{"half a body with a length", head + "Content-Length: 9000\r\n\r\nabc", 9000},
		{"half a chunk", head + "Transfer-Encoding: chunked\r\n\r\n2328\r\n" + strings.Repeat("x", 8000), 8000},
		{"many chunks", head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("a\r\n0123456789\r\n", 800), 8000},
		{"many fields", head + many + "Content-Length: 5\r\n\r\nabc", 200 * 192},
		{"requests ahead", strings.Repeat(head+many+"\r\n", 5), 5 * 200 * 192},
		{"requests ahead and half of one", strings.Repeat(head+many+"\r\n", 3) + head + many + "Content-Length: 9\r\n\r\n", 4 * 200 * 192},
		{"a refused request behind others", strings.Repeat(head+"\r\n", 3) + head + many + "Content-Length: x\r\n\r\n", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := quota.New(1 << 20)
			f := startFixture(t, front.WithQuota(q))
			c := dial(t, f)
			c.send(test.bytes)
			waitUntil(t, func() bool { return q.Used() >= test.least })
			if strings.HasSuffix(test.name, "ahead") {
				// Responses release the memory too.
				for range 5 {
					reply(nextMessage[router.Submit](t, f), "")
					c.response(http.MethodPost)
				}
				waitUntil(t, func() bool { return q.Used() == 0 })
			}
			c.Close()
			waitUntil(t, func() bool { return q.Used() == 0 })
		})
	}
}

// Guards against a caller without progress that keeps others out, and against giving up a connection with a call in flight.
func TestCallersWithoutProgress(t *testing.T) {
	const stalled = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\nabc"
	tests := []struct {
		name  string
		opts  []front.Option
		limit limit.Name
	}{
		{"memory", []front.Option{front.WithQuota(quota.New(1500))}, limit.BodyMemory},
		{"connections", []front.Option{front.WithMaxConnections(2)}, limit.Connections},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			reached := make(chan limit.Name, 100)
			reporter := limit.NewReporter(func(name limit.Name, _ int) {
				select {
				case reached <- name:
				default:
				}
			})
			f := startFixture(t, append(test.opts, front.WithLimitReporter(reporter))...)
			running := dial(t, f)
			running.send("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
			call := nextMessage[router.Submit](t, f)
			held := dial(t, f)
			held.send(stalled)
			time.Sleep(1100 * time.Millisecond) // evict.Grace
			waitUntil(t, func() bool {
				c := dial(t, f)
				defer c.Close()
				if _, err := c.Write([]byte(strings.Replace(stalled, "abc", strings.Repeat("x", 1000), 1))); err != nil {
					return false
				}
				answered := make(chan struct{})
				go func() {
					defer close(answered)
					_, _ = c.reader.Peek(1)
				}()
				select {
				case s := <-f.router.C():
					submit, ok := s.(router.Submit)
					qt.Assert(t, ok, qt.IsTrue)
					reply(submit, "ok")
					<-answered
					return c.response(http.MethodPost).body == "ok"
				case <-answered: // refused or closed
					return false
				}
			})
			held.expectEOF()
			reply(call, "ran")
			qt.Assert(t, running.response(http.MethodGet).body, qt.Equals, "ran")
			qt.Assert(t, <-reached, qt.Equals, test.limit)
		})
	}
}

// Guards against large bodies that take all memory, so that small requests are not served.
func TestLargeBodiesLeaveRoom(t *testing.T) {
	q := quota.New(1 << 20)
	f := startFixture(t, front.WithQuota(q))
	head := "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: "
	for range 9 {
		dial(t, f).send(head + "131072\r\n\r\n")
	}
	waitUntil(t, func() bool { return q.Used() == 7*131072 })
	c := dial(t, f)
	c.send(head + "131072\r\n\r\n")
	qt.Assert(t, c.response(http.MethodPost).header.Get("Jacinth-Error"), qt.Equals, string(errs.Busy))
	c = dial(t, f)
	c.send(head + "2\r\n\r\nok")
	reply(nextMessage[router.Submit](t, f), "small")
	qt.Assert(t, c.response(http.MethodPost).body, qt.Equals, "small")
}
