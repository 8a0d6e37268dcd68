package front_test

import (
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/task/front"
	"jacinthcross/internal/task/router"
)

// Guards against requests that two HTTP implementations can parse differently, and against refusals without the outcome
// and the error kind.
func TestBadRequestsAreRefused(t *testing.T) {
	large := strings.Repeat("x", 3000)
	for _, test := range []struct {
		name, bytes string
		kind        errs.Kind
	}{
		{"two lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", errs.BadRequest},
		{"the same length twice", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nContent-Length: 1\r\n\r\na", errs.BadRequest},
		{"list of lengths", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1, 1\r\n\r\na", errs.BadRequest},
		{"signed length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: +1\r\n\r\na", errs.BadRequest},
		{"negative length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -1\r\n\r\na", errs.BadRequest},
		{"empty length", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length:\r\n\r\na", errs.BadRequest},
		{"length and coding", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", errs.BadRequest},
		{"unknown coding", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: xchunked\r\n\r\n0\r\n\r\n", errs.BadRequest},
		{"coding list", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", errs.BadRequest},
		{"coding twice", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", errs.BadRequest},
		{"coding in HTTP/1.0", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", errs.BadRequest},
		{"space before colon", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length : 1\r\n\r\na", errs.BadRequest},
		{"space before name", "GET / HTTP/1.1\r\nHost: a\r\n X: b\r\n\r\n", errs.BadRequest},
		{"name with a bracket", "GET / HTTP/1.1\r\nHost: a\r\nX(y): b\r\n\r\n", errs.BadRequest},
		{"line without colon", "GET / HTTP/1.1\r\nHost: a\r\nX\r\n\r\n", errs.BadRequest},
		{"bare line feed", "GET / HTTP/1.1\r\nHost: a\nX: b\r\n\r\n", errs.BadRequest},
		{"bare carriage return", "GET / HTTP/1.1\r\nHost: a\r\nX: b\rContent-Length: 5\r\n\r\n", errs.BadRequest},
		{"zero byte", "GET / HTTP/1.1\r\nHost: a\r\nX: b\x00c\r\n\r\n", errs.BadRequest},
		{"no host", "GET / HTTP/1.1\r\n\r\n", errs.BadRequest},
		{"two hosts", "GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n", errs.BadRequest},
		{"control byte in the URI", "GET /\x01 HTTP/1.1\r\nHost: a\r\n\r\n", errs.BadRequest},
		{"bad escape in the URI", "GET /%zz HTTP/1.1\r\nHost: a\r\n\r\n", errs.BadRequest},
		{"URI of a proxy", "GET http://a/ HTTP/1.1\r\nHost: a\r\n\r\n", errs.BadRequest},
		{"unknown method", "FETCH / HTTP/1.1\r\nHost: a\r\n\r\n", errs.BadRequest},
		{"method in lower case", "get / HTTP/1.1\r\nHost: a\r\n\r\n", errs.BadRequest},
		{"chunk size with a sign", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n+1\r\na\r\n0\r\n\r\n", errs.BadRequest},
		{"bare line feed behind a chunk size", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\na\r\n0\r\n\r\n", errs.BadRequest},
		{"endless chunk size", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("0", 300), errs.BadRequest},
		{"tunnel", "CONNECT a:80 HTTP/1.1\r\nHost: a\r\n\r\n", errs.BadRequest},
		{"unknown version", "GET / HTTP/3.0\r\nHost: a\r\n\r\n", errs.BadRequest},
		{"HTTP/2 preface", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n", errs.BadRequest},
		{"extra space in the request line", "GET  / HTTP/1.1\r\nHost: a\r\n\r\n", errs.BadRequest},
		{"bad chunk size", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", errs.BadRequest},
		{"chunk without its end", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nabc\r\n", errs.BadRequest},
		{"unknown expectation", "POST / HTTP/1.1\r\nHost: a\r\nExpect: 200-ok\r\nContent-Length: 1\r\n\r\n", errs.BadRequest},
		{"deadline without a number", "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nJacinth-Deadline: soon\r\n\r\n", errs.BadRequest},
		{"unknown rank", "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nJacinth-Rank: Highest\r\n\r\n", errs.BadRequest},
		{"two keys", "POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nIdempotency-Key: a\r\nIdempotency-Key: b\r\n\r\n", errs.BadRequest},
		{"long header", "GET / HTTP/1.1\r\nHost: a\r\nX: " + large + "\r\n\r\n", errs.HeaderTooLarge},
		{"long header without an end", "GET / HTTP/1.1\r\nHost: a\r\nX: " + large, errs.HeaderTooLarge},
		{"long body", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3000\r\n\r\n" + large, errs.BodyTooLarge},
		{"long body that is only announced", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3000\r\n\r\n", errs.BodyTooLarge},
		{"length beyond 64 bits", "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999999999999999\r\n\r\n", errs.BadRequest},
		{"long chunked body", "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nbb8\r\n" + large + "\r\n0\r\n\r\n", errs.BodyTooLarge},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := startFixture(t, front.WithMaxHeader(2000), front.WithMaxBody(2000))
			c := dial(t, f)
			c.send(test.bytes)
			r := c.response(http.MethodGet)
			a := errs.ResponseFor(test.kind)
			qt.Assert(t, r.header.Get("Jacinth-Error"), qt.Equals, string(test.kind))
			qt.Assert(t, r.status, qt.Equals, a.Status)
			qt.Assert(t, r.header.Get("Jacinth-Outcome"), qt.Equals, string(a.Outcome))
			qt.Assert(t, r.header.Get("Jacinth-Advice"), qt.Equals, a.Advice)
			qt.Assert(t, r.close, qt.IsTrue)
			c.expectEOF()
			select {
			case m := <-f.router.C():
				t.Fatalf("unexpected message to the router: %T", m)
			default:
			}
		})
	}
}

// Guards against bodies that are parsed wrongly, for any framing and any split into packets.
func TestBodies(t *testing.T) {
	head := "POST /a?b=c HTTP/1.1\r\nHost: a\r\n"
	for _, test := range []struct{ name, bytes, body string }{
		{"none", head + "\r\n", ""},
		{"empty", head + "Content-Length: 0\r\n\r\n", ""},
		{"length", head + "Content-Length: 5\r\n\r\nhello", "hello"},
		{"chunks", head + "Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n", "hello"},
		{"empty line before", "\r\n" + head + "Content-Length: 1\r\n\r\na", "a"},
		{"body like a request", head + "Content-Length: 18\r\n\r\nGET / HTTP/1.1\r\n\r\n", "GET / HTTP/1.1\r\n\r\n"},
	} {
		for _, size := range []int{1, 7, 1000} {
			t.Run(fmt.Sprintf("%s/%d bytes a packet", test.name, size), func(t *testing.T) {
				f := startFixture(t)
				c := dial(t, f)
				for i := 0; i < len(test.bytes); i += size {
					c.send(test.bytes[i:min(i+size, len(test.bytes))])
				}
				s := nextMessage[router.Submit](t, f)
				qt.Assert(t, string(s.Request.Body), qt.Equals, test.body)
				qt.Assert(t, s.Request.URI, qt.Equals, "/a?b=c")
				qt.Assert(t, s.Host, qt.Equals, "a")
				reply(s, "done")
				r := c.response(http.MethodPost)
				qt.Assert(t, r.header.Get("Jacinth-Outcome"), qt.Equals, "Answered")
				qt.Assert(t, r.body, qt.Equals, "done")
				qt.Assert(t, r.close, qt.IsFalse)
			})
		}
	}
}

// Guards against writing a status that is not one of a final response, and against passing on its header or body.
func TestInvalidStatusIsNotWritten(t *testing.T) {
	for _, status := range []int{-200, 0, 1, 99, 100, 101, 199, 600, 999, 2000} {
		t.Run(strconv.Itoa(status), func(t *testing.T) {
			f := startFixture(t)
			c := dial(t, f)
			c.send(getRequest)
			s := nextMessage[router.Submit](t, f)
			s.Reply.TryPut(router.Answer{ID: s.ID, Outcome: call.Answered{Status: status, Header: []call.Field{{Name: "Leaked", Value: "x"}}, Body: []byte("leaked")}})
			r := c.response(http.MethodGet)
			qt.Assert(t, r.status, qt.Equals, http.StatusBadGateway)
			qt.Assert(t, r.header.Get("Jacinth-Outcome"), qt.Equals, string(errs.Unknown))
			qt.Assert(t, r.header.Get("Leaked")+r.body, qt.Not(qt.Contains), "leaked")
			qt.Assert(t, r.header.Get("Leaked"), qt.Equals, "")
			c.send(getRequest)
			reply(nextMessage[router.Submit](t, f), "next")
			qt.Assert(t, c.response(http.MethodGet).body, qt.Equals, "next")
		})
	}
}
