package local

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/wire/header"
)

// Guards against passing on chunks with their framing, or a part of them, as a complete body. HTTP/1.0 has no chunked
// encoding, so the end of such a response is unknown.
func TestChunkedResponseOfHTTP10(t *testing.T) {
	const (
		chunked = "Transfer-Encoding: chunked\r\n"
		unknown = "Unknown TargetFailed"
	)
	tests := []struct {
		name   string
		header string
		body   string
		want   string
	}{
		{"cut in a chunk", chunked, "5\r\nhel", unknown},
		{"cut behind a chunk", chunked, "5\r\nhello\r\n", unknown},
		{"whole", chunked, "5\r\nhello\r\n0\r\n\r\n", unknown},
		{"with a length", "Content-Length: 5\r\n" + chunked, "hello", unknown},
		{"behind another field", "X: y\r\n" + chunked, "5\r\nhel", unknown},
		{"other case", "transfer-encoding: chunked\r\n", "5\r\nhel", unknown},
		{"in the value of another field", "X: " + chunked, "hello", `Answered 200 "hello"`},
		{"in the body", "", chunked, `Answered 200 "Transfer-Encoding: chunked\r\n"`},
		{"long header", "X: " + strings.Repeat("x", 8<<10) + "\r\n", "hello", `Answered 200 "hello"`},
		{"length", "Content-Length: 5\r\n", "hello", `Answered 200 "hello"`},
		{"length, cut", "Content-Length: 5\r\n", "hel", unknown},
		{"neither", "", "hello", `Answered 200 "hello"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			target := newRawTarget(t, "127.0.0.1:0", func(w net.Conn, _ *http.Request, _ []byte) bool {
				fmt.Fprintf(w, "HTTP/1.0 200 OK\r\n%s\r\n%s", test.header, test.body)
				return false
			})
			dialect := header.DefaultDialect()
			dialect.AllowBodyUntilClose = true
			f := startFixture(t, note.Target{Name: "b1", Address: target.address()}, WithDialect(dialect))
			qt.Assert(t, summary(f.do(call.Request{})), qt.Equals, test.want)
		})
	}
}
