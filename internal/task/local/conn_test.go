package local

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/wire/header"
)

// Guards against giving a call the bytes that the target sent after the response to an earlier call, and against sending
// a call on a connection that the target is closing.
func TestCallAfterResponse(t *testing.T) {
	response := func(body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	}
	tests := []struct {
		name   string
		answer string // the response to the first call
		keep   bool   // the target keeps the connection open after the response
		opened int
	}{
		{"one response", response("first"), true, 1},
		{"a second response", response("first") + response("forged"), true, 2},
		{"the beginning of a second response", response("first") + "HTTP/1.1 200 O", true, 2},
		{"an empty line after the response", response("first") + "\r\n", true, 2},
		{"closed as the response says", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nfirst", false, 2},
		{"closed as the response says among other tokens", "HTTP/1.1 200 OK\r\nConnection: x, Close\r\nContent-Length: 5\r\n\r\nfirst", false, 2},
		{"closed as HTTP/1.0 says", "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nfirst", false, 2},
		{"kept with HTTP/1.0", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 5\r\n\r\nfirst", true, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			target := newRawTarget(t, "127.0.0.1:0", func(w net.Conn, r *http.Request, _ []byte) bool {
				if r.URL.Path == "/first" {
					_, _ = w.Write([]byte(test.answer))
					return test.keep
				}
				_, _ = w.Write([]byte(response("second")))
				return true
			})
			f := startFixture(t, note.Target{Name: "b1", Address: target.address()})
			qt.Assert(t, summary(f.do(call.Request{URI: "/first"})), qt.Equals, `Answered 200 "first"`)
			qt.Assert(t, summary(f.do(call.Request{URI: "/second"})), qt.Equals, `Answered 200 "second"`)
			qt.Assert(t, target.acceptedSinceReset(), qt.Equals, test.opened)
			qt.Assert(t, target.runs.Load(), qt.Equals, int64(2))
		})
	}
}

// Guards against opening connections indefinitely for one call if the target accepts and closes them.
func TestTargetClosesAtOnce(t *testing.T) {
	tests := []struct {
		name string
		body string
	}{
		{"no body", ""},
		{"a body that the system does not take at once", string(make([]byte, 4<<20))},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			qt.Assert(t, err, qt.IsNil)
			defer l.Close()
			var accepted atomic.Int64
			go func() {
				for c, err := l.Accept(); err == nil; c, err = l.Accept() {
					accepted.Add(1)
					_ = c.Close()
				}
			}()
			f := startFixture(t, note.Target{Name: "b1", Address: netip.MustParseAddrPort(l.Addr().String())})
			o := f.do(call.Request{Body: []byte(test.body), Deadline: time.Now().Add(2 * time.Second)})
			qt.Assert(t, summary(o), qt.Equals, "Unknown TargetFailed")
			// The second connection is the probe after the suspected crash.
			qt.Assert(t, accepted.Load() <= 2, qt.IsTrue, qt.Commentf("%d connections", accepted.Load()))
		})
	}
}

// Guards against reusing a connection that the target closes, or on which more bytes follow the response, since they
// could be taken for the next response.
func TestReuseAfterResponse(t *testing.T) {
	const whole = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst"
	tests := []struct {
		name string
		text string
		want bool
	}{
		{"one response", whole, true},
		{"a second response", whole + whole, false},
		{"one byte more", whole + "H", false},
		{"closed as the response says", "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 5\r\n\r\nfirst", false},
		{"HTTP/1.0", "HTTP/1.0 200 OK\r\nContent-Length: 5\r\n\r\nfirst", false},
		{"HTTP/1.0 that is kept", "HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 5\r\n\r\nfirst", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := &conn{bodies: newBodyReader(100), dialect: header.DefaultDialect()}
			limited := &io.LimitedReader{R: strings.NewReader(test.text), N: maxResponseHeader}
			m := c.receive(job{request: call.Request{Method: http.MethodGet}}, bufio.NewReader(limited), limited)
			qt.Assert(t, summary(m.outcome), qt.Equals, `Answered 200 "first"`)
			qt.Assert(t, m.reusable, qt.Equals, test.want)
		})
	}
}
