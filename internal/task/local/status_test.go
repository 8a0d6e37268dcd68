package local

import (
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

// Guards against passing on a response whose status is not one of a final response, against taking bytes behind such a
// response for the response to this or to the next call, and against sending another call on its connection.
func TestInvalidStatus(t *testing.T) {
	const valid = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nbehind"
	const otherID = header.RequestID + ": other\r\n"
	tests := []struct {
		name   string
		status string // the status code with what surrounds it
		fields string
		rest   string // what follows the header
	}{
		{"000", " 000 None", "Content-Length: 0\r\n", ""},
		{"000 with a body", " 000 None", "Content-Length: 5\r\n", "hello"},
		{"000 before a valid response", " 000 None", "", valid},
		{"000 with a length before a valid response", " 000 None", "Content-Length: 0\r\n", valid},
		{"000 with a body that is a valid response", " 000 None", "Content-Length: 43\r\n", valid},
		{"000 with the ID of another call before a valid response", " 000 None", otherID + "Content-Length: 0\r\n", valid},
		{"001 before a valid response", " 001 One", "", valid},
		{"099 before a valid response", " 099 Ninety-Nine", "", valid},
		{"101 before a valid response", " 101 Switching Protocols", "", valid},
		{"101 with the ID of another call before a valid response", " 101 Switching Protocols", otherID, valid},
		{"-00 before a valid response", " -00 None", "", valid},
		{"+00 before a valid response", " +00 None", "", valid},
		{"+99 before a valid response", " +99 None", "", valid},
		{"+200", " +200 OK", "Content-Length: 5\r\n", "hello"},
		{"600", " 600 None", "Content-Length: 5\r\n", "hello"},
		{"600 without a body", " 600 None", "Content-Length: 0\r\n", ""},
		{"600 with the ID of another call and a body that is a valid response", " 600 None", otherID + "Content-Length: 43\r\n", valid},
		{"999", " 999 None", "Content-Length: 5\r\n", "hello"},
		{"two digits", " 20 OK", "Content-Length: 5\r\n", "hello"},
		{"four digits", " 2000 OK", "Content-Length: 5\r\n", "hello"},
		{"four digits with a zero", " 0200 OK", "Content-Length: 5\r\n", "hello"},
		{"text", " abc OK", "Content-Length: 5\r\n", "hello"},
		{"hexadecimal", " 0xc OK", "Content-Length: 5\r\n", "hello"},
		{"fraction", " 2.0 OK", "Content-Length: 5\r\n", "hello"},
		{"other digits", " ２ OK", "Content-Length: 5\r\n", "hello"},
		{"none", "", "Content-Length: 5\r\n", "hello"},
		{"empty", " ", "Content-Length: 5\r\n", "hello"},
	}
	before := []struct{ name, text string }{
		{"first", ""}, {"after an interim response", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
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
	dialect.AllowBodyUntilClose = true
	for _, test := range tests {
		for _, b := range before {
			for _, method := range methods {
				t.Run(test.name+"/"+b.name+"/"+method.name, func(t *testing.T) {
					t.Parallel()
					target := newRawTarget(t, "127.0.0.1:0", func(w net.Conn, r *http.Request, _ []byte) bool {
						answer := "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nnext"
						if r.URL.Path == "/first" {
							answer = b.text + "HTTP/1.1" + test.status + "\r\n" + test.fields + "\r\n" + test.rest
						}
						_, _ = w.Write([]byte(answer))
						return true
					})
					f := startFixture(t, note.Target{Name: "b1", Address: target.address()}, WithDialect(dialect))
					first := method.request
					first.URI, first.Deadline = "/first", time.Now().Add(2*time.Second)
					o := f.do(first)
					got := summary(o)
					qt.Check(t, got == "Unknown AnswerCut" || got == "Unknown TargetFailed", qt.IsTrue, qt.Commentf("%s", got))
					if unknown, ok := o.(call.Unknown); ok {
						for _, text := range []string{"OK", "None", "hello", "behind"} {
							qt.Check(t, strings.Contains(unknown.Detail, text), qt.IsFalse, qt.Commentf("%s", unknown.Detail))
						}
					}
					// The target may have seemed to crash, so the daemon may connect once more to check it.
					qt.Check(t, summary(f.do(call.Request{ID: "b", URI: "/next"})), qt.Equals, `Answered 200 "next"`)
					qt.Check(t, target.runs.Load(), qt.Equals, int64(2))
					qt.Check(t, target.accepted.Load() >= 2, qt.IsTrue, qt.Commentf("the connection was used again"))
				})
			}
		}
	}
}

// Guards against a status at the edge of the valid range that is refused, and against interim responses that are.
func TestValidStatus(t *testing.T) {
	tests := []struct {
		name, status, want string
	}{
		{"200", "200 OK", `Answered 200 "hello"`},
		{"without a reason", "200", `Answered 200 "hello"`},
		{"299", "299 Other", `Answered 299 "hello"`},
		{"451", "451 Unavailable For Legal Reasons", `Answered 451 "hello"`},
		{"599", "599 Other", `Answered 599 "hello"`},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			target := newRawTarget(t, "127.0.0.1:0", func(w net.Conn, _ *http.Request, _ []byte) bool {
				_, _ = w.Write([]byte(strings.Repeat("HTTP/1.1 199 Other\r\n\r\n", 3) + "HTTP/1.1 " + test.status + "\r\nContent-Length: 5\r\n\r\nhello"))
				return true
			})
			f := startFixture(t, note.Target{Name: "b1", Address: target.address()})
			for range 2 {
				qt.Check(t, summary(f.do(call.Request{})), qt.Equals, test.want)
			}
			qt.Check(t, target.accepted.Load(), qt.Equals, int64(1))
		})
	}
}
