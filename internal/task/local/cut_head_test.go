package local

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/wire/header"
)

// Guards against a response whose head ends early and that is passed on as complete, with an empty or short body. Where a
// body may end with its connection, the end of the head must still be seen.
func TestHeadCutAnywhere(t *testing.T) {
	heads := []struct {
		name string
		head string
		body string
	}{
		{"length", "HTTP/1.1 200 OK\r\nStamp: 3e1b\r\nContent-Length: 15\r\n\r\n", "five five five."},
		{"length first", "HTTP/1.1 200 OK\r\nContent-Length: 15\r\nStamp: 3e1b\r\n\r\n", "five five five."},
		{"chunked", "HTTP/1.1 200 OK\r\nStamp: 3e1b\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nfive.\r\n0\r\n\r\n"},
		{"until the connection ends", "HTTP/1.1 200 OK\r\nStamp: 3e1b\r\nX: y\r\n\r\n", ""},
		{"after an interim response", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nStamp: 3e1b\r\n\r\n", ""},
		{"bare line feeds", "HTTP/1.1 200 OK\nStamp: 3e1b\nContent-Length: 15\n\n", "five five five."},
	}
	methods := []struct {
		name    string
		request call.Request
	}{
		{"GET", call.Request{ID: "a"}},
		{"conditional GET", call.Request{ID: "a", Header: []call.Field{{Name: "If-None-Match", Value: `"1"`}}}},
		{"HEAD", call.Request{ID: "a", Method: http.MethodHead}},
	}
	dialect := header.DefaultDialect()
	dialect.AllowBodyUntilClose, dialect.ResponseStamp = true, "Stamp"
	for _, test := range heads {
		for _, method := range methods {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s/%s/reset %t", test.name, method.name, reset), func(t *testing.T) {
					t.Parallel()
					whole := test.head + test.body
					// Without a body, the response is complete only after its head.
					for end := range len(whole) {
						if end >= len(test.head) && method.request.Method == http.MethodHead {
							break
						}
						target := newRawTarget(t, "127.0.0.1:0", func(w net.Conn, _ *http.Request, _ []byte) bool {
							_, _ = w.Write([]byte(whole[:end]))
							if reset {
								_ = w.(*net.TCPConn).SetLinger(0)
							}
							return false
						})
						f := startFixture(t, note.Target{Name: "b1", Address: target.address()}, WithDialect(dialect))
						request := method.request
						request.Deadline = time.Now().Add(5 * time.Second)
						got := summary(f.do(request))
						qt.Check(t, strings.HasPrefix(got, "Unknown"), qt.IsTrue, qt.Commentf("cut after %q: %s", whole[:end], got))
						target.crash()
					}
				})
			}
		}
	}
}
