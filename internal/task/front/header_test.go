package front_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/task/front"
	"jacinthcross/internal/task/router"
)

// partDelay separates the parts of a request, so that the front reads them one by one.
const partDelay = 20 * time.Millisecond

// headOf returns the header of a request with the given fields, filled up to size bytes.
func headOf(fields string, size int) string {
	start := "POST /once HTTP/1.1\r\nHost: a\r\n" + fields + "X: "
	return start + strings.Repeat("x", size-len(start)-len("\r\n\r\n")) + "\r\n\r\n"
}

// A split is a way to send a header in parts. ends has the ends of all parts but the last one.
type split struct {
	name string
	ends []int
}

func splitsOf(head string) []split {
	n := len(head)
	return []split{
		{"one part", nil},
		{"after the first byte", []int{1}},
		{"in the middle", []int{n / 2}},
		{"before its end", []int{n - 4}},
		{"in its end", []int{n - 3, n - 2, n - 1}},
		{"behind its end", []int{n}},
		{"many parts", []int{2, n / 4, n / 2, n - 5, n - 2}},
	}
}

// sendInParts sends a header in parts, the last one together with rest.
func (c *client) sendInParts(head string, s split, rest string) {
	from := 0
	for _, end := range s.ends {
		c.send(head[from:end])
		time.Sleep(partDelay)
		from = end
	}
	c.send(head[from:] + rest)
}

// Guards against refusing a request whose header is within the limit because of the bytes that arrive behind it, and
// against losing or changing those bytes.
func TestHeaderInPartsIsMeasuredAlone(t *testing.T) {
	const limit = 1000
	body := strings.Repeat("0123456789", 3*limit/10)
	next := "GET /next HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("y", limit/2) + "\r\n\r\n"
	tests := []struct {
		name   string
		fields string
		rest   string
		body   string
		next   int // the number of requests behind the first one
	}{
		{"body", fmt.Sprintf("Content-Length: %d\r\n", len(body)), body, body, 0},
		{"chunk", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body), body, 0},
		{"short chunks", "Transfer-Encoding: chunked\r\n", strings.Repeat("a\r\n0123456789\r\n", 3*limit/10) + "0\r\n\r\n", body, 0},
		{"trailer", "Transfer-Encoding: chunked\r\n", "1\r\na\r\n0\r\nT: " + strings.Repeat("t", 3*limit) + "\r\n\r\n", "a", 0},
		{"requests", "", strings.Repeat(next, 8), "", 8},
		{"body and requests", fmt.Sprintf("Content-Length: %d\r\n", len(body)), body + strings.Repeat(next, 2), body, 2},
		{"chunk and requests", "Transfer-Encoding: chunked\r\n", fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body) + strings.Repeat(next, 2), body, 2},
	}
	for _, test := range tests {
		for _, size := range []int{130, limit} {
			head := headOf(test.fields, size)
			for _, sp := range splitsOf(head) {
				t.Run(fmt.Sprintf("%s/%d bytes/%s", test.name, size, sp.name), func(t *testing.T) {
					t.Parallel()
					f := startFixture(t, front.WithMaxHeader(limit))
					c := dial(t, f)
					c.sendInParts(head, sp, test.rest)
					s := nextMessage[router.Submit](t, f)
					qt.Assert(t, s.Request.URI, qt.Equals, "/once")
					qt.Assert(t, string(s.Request.Body), qt.Equals, test.body)
					reply(s, "first")
					qt.Assert(t, c.response(http.MethodPost).body, qt.Equals, "first")
					for range test.next {
						s := nextMessage[router.Submit](t, f)
						qt.Assert(t, s.Request.URI, qt.Equals, "/next")
						reply(s, "next")
						qt.Assert(t, c.response(http.MethodGet).body, qt.Equals, "next")
					}
				})
			}
		}
	}
}

// Guards against running a request whose header exceeds the limit, however it arrives.
func TestLongHeaderInPartsIsRefused(t *testing.T) {
	const limit = 1000
	tests := []struct {
		name   string
		fields string
		size   int
		rest   string
	}{
		{"one byte more", "", limit + 1, ""},
		{"one byte more before a body", "Content-Length: 3000\r\n", limit + 1, strings.Repeat("x", 3*limit)},
		{"one byte more before a chunk", "Transfer-Encoding: chunked\r\n", limit + 1, "1\r\na\r\n0\r\n\r\n"},
		{"one byte more before a request", "", limit + 1, getRequest},
		{"far more before a body", "Content-Length: 3000\r\n", 5 * limit, strings.Repeat("x", 3*limit)},
	}
	for _, test := range tests {
		head := headOf(test.fields, test.size)
		for _, sp := range splitsOf(head) {
			t.Run(test.name+"/"+sp.name, func(t *testing.T) {
				t.Parallel()
				f := startFixture(t, front.WithMaxHeader(limit))
				c := dial(t, f)
				c.sendInParts(head, sp, test.rest)
				r := c.response(http.MethodPost)
				qt.Assert(t, r.status, qt.Equals, http.StatusRequestHeaderFieldsTooLarge)
				qt.Assert(t, r.header.Get("Jacinth-Error"), qt.Equals, string(errs.HeaderTooLarge))
				c.expectEOF()
				select {
				case m := <-f.router.C():
					t.Fatalf("unexpected message to the router: %T", m)
				default:
				}
			})
		}
	}
}
