package local

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
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/wire/header"
)

// endDelay separates the bytes of a response from the end of its connection, and the end of one direction from a reset.
const endDelay = 20 * time.Millisecond

// An ending is how a target ends a connection behind its response.
type ending string

const (
	// endReset resets the connection.
	endReset ending = "Reset"
	// endClose closes the connection with bytes of the request unread, which resets it.
	endClose ending = "Close"
	// endOrderly ends the target's direction and leaves the other one open.
	endOrderly ending = "Orderly"
	// endOrderlyReset ends the target's direction, and then resets the connection.
	endOrderlyReset ending = "OrderlyReset"
	// endOpen leaves the connection open and reads no more.
	endOpen ending = "Open"
)

// startEarlyTarget starts a target that answers each connection once. It reads the whole request before, or only its
// header.
func startEarlyTarget(t *testing.T, response string, end ending, readsAll bool) netip.AddrPort {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	stopped := make(chan struct{})
	t.Cleanup(func() {
		close(stopped)
		l.Close()
	})
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go func() {
				defer c.Close()
				r, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				if readsAll {
					io.Copy(io.Discard, r.Body)
				}
				io.WriteString(c, response)
				time.Sleep(endDelay)
				tcp := c.(*net.TCPConn)
				if end == endOrderly || end == endOrderlyReset {
					tcp.CloseWrite()
				}
				switch end {
				case endOrderly, endOpen:
					<-stopped
				case endOrderlyReset:
					time.Sleep(endDelay)
					tcp.SetLinger(0)
				case endReset:
					tcp.SetLinger(0)
				case endClose:
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// Guards against passing on a part of a response as complete because the connection is reset while the request is still
// being written, or behind it, and against losing a response that arrived whole, or waiting for its request to be written.
func TestResponseBeforeEndOfRequest(t *testing.T) {
	const (
		length  = "HTTP/1.1 %s\r\nStamp: 3e1b\r\nContent-Length: 5\r\n\r\n"
		chunked = "HTTP/1.1 %s\r\nStamp: 3e1b\r\nTransfer-Encoding: chunked\r\n\r\n"
		open    = "HTTP/1.1 %s\r\nStamp: 3e1b\r\n\r\n"
	)
	tests := []struct {
		name     string
		response string
		body     string
		// wholeAfter lists the endings after which the response is complete.
		wholeAfter []ending
	}{
		{"length", length + "hello", "hello", []ending{endReset, endClose, endOrderly, endOrderlyReset}},
		{"length, cut", length + "hel", "", nil},
		{"chunked", chunked + "5\r\nhello\r\n0\r\n\r\n", "hello", []ending{endReset, endClose, endOrderly, endOrderlyReset}},
		{"chunked, cut in a chunk", chunked + "5\r\nhel", "", nil},
		{"chunked, cut behind a chunk", chunked + "5\r\nhello\r\n", "", nil},
		{"chunked, cut in the trailer", chunked + "5\r\nhello\r\n0\r\nT: u\r\n", "", nil},
		{"no length", open + "hello", "hello", []ending{endOrderly, endOrderlyReset}},
		{"no length, interim response before", "HTTP/1.1 103 Early Hints\r\n\r\n" + open + "hello", "hello", []ending{endOrderly, endOrderlyReset}},
		{"no length and no body", open, "", []ending{endOrderly, endOrderlyReset}},
	}
	requests := []struct {
		name     string
		request  call.Request
		readsAll bool
	}{
		{"on a kept connection", call.Request{Method: http.MethodPost}, false},
		{"on its own connection", call.Request{Method: http.MethodPut, Header: []call.Field{{Name: "If-None-Match", Value: "*"}}}, false},
		{"read whole, on a kept connection", call.Request{Method: http.MethodPost}, true},
		{"read whole, on its own connection", call.Request{Method: http.MethodPut, Header: []call.Field{{Name: "If-None-Match", Value: "*"}}}, true},
	}
	upload := make([]byte, 16<<20) // exceeds the buffers of a loopback connection
	dialect := header.DefaultDialect()
	dialect.AllowBodyUntilClose, dialect.ResponseStamp = true, "Stamp"
	for _, test := range tests {
		for _, status := range []string{"200 OK", "404 Not Found", "503 Service Unavailable"} {
			for _, end := range []ending{endReset, endClose, endOrderly, endOrderlyReset} {
				for _, r := range requests {
					if end == endClose && r.readsAll {
						// With nothing unread, this is an orderly end.
						continue
					}
					t.Run(fmt.Sprintf("%s/%s/%s/%s", test.name, status, end, r.name), func(t *testing.T) {
						t.Parallel()
						address := startEarlyTarget(t, fmt.Sprintf(test.response, status), end, r.readsAll)
						f := startFixture(t, note.Target{Name: "b1", Address: address}, WithDialect(dialect))
						request := r.request
						request.Body, request.Deadline = upload, time.Now().Add(10*time.Second)
						got, want := summary(f.do(request)), fmt.Sprintf("Answered %s %q", status[:3], test.body)
						for _, e := range test.wholeAfter {
							if e == end {
								qt.Assert(t, got, qt.Equals, want)
								return
							}
						}
						qt.Assert(t, strings.HasPrefix(got, "Unknown"), qt.IsTrue, qt.Commentf("%s", got))
						qt.Assert(t, got, qt.Not(qt.Equals), "Unknown DeadlineInFlight")
					})
				}
			}
		}
	}
}

// Guards against a call that waits, on the connection of an earlier call, until the target has read the rest of a request
// that it has answered already.
func TestCallBehindUnfinishedUpload(t *testing.T) {
	const response = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
	address := startEarlyTarget(t, response, endOpen, false)
	f := startFixture(t, note.Target{Name: "b1", Address: address})
	first := f.do(call.Request{Method: http.MethodPost, Body: make([]byte, 16<<20), Deadline: time.Now().Add(4 * time.Second)})
	qt.Assert(t, summary(first), qt.Equals, `Answered 200 "hello"`)
	second := f.do(call.Request{Deadline: time.Now().Add(4 * time.Second)})
	qt.Assert(t, summary(second), qt.Equals, `Answered 200 "hello"`)
}
