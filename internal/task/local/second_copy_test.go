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

// Guards against giving a call the second copy of the answer to an earlier one, which the target sends late, when its
// connection already carries the call.
func TestLateSecondCopyOfAnswer(t *testing.T) {
	answer := func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s", header.RequestID, id, len(body), body)
	}
	chunked := func(id, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", header.RequestID, id, len(body), body)
	}
	const own = `Answered 200 "own b"`
	for _, test := range []struct {
		name string
		// copies is written when the second request has arrived, before its answer.
		copies string
		// ends is true if the target closes the connection behind the copies.
		ends bool
		want []string
	}{
		{"one copy", answer("a", "first"), false, []string{own}},
		{"chunked", chunked("a", "first"), false, []string{own}},
		{"two copies", strings.Repeat(answer("a", "first"), 2), false, []string{own}},
		{"many copies", strings.Repeat(answer("a", "first"), 10), false, []string{own, "Unknown AnswerForeign"}},
		{"without an ID", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nfirst", false, []string{own, "Unknown AnswerForeign"}},
		{"half of a copy", answer("a", "first")[:40], true, []string{own, "Unknown TargetFailed", "Unknown AnswerInvalid", "Unknown AnswerTruncated"}},
		{"a copy with a part of its body", strings.TrimSuffix(answer("a", "first"), "rst"), true, []string{own, "Unknown TargetFailed", "Unknown AnswerInvalid", "Unknown AnswerTruncated"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			var answeredOn, last net.Conn
			target := newRawTarget(t, "127.0.0.1:0", func(w net.Conn, r *http.Request, _ []byte) bool {
				id := r.Header.Get(header.RequestID)
				last = w
				if id == "a" {
					answeredOn = w
				} else if w == answeredOn {
					_, _ = w.Write([]byte(test.copies))
					if test.ends {
						return false
					}
					time.Sleep(20 * time.Millisecond)
				}
				_, err := w.Write([]byte(answer(id, "own "+id)))
				return err == nil
			})
			f := startFixture(t, note.Target{Name: "b1", Address: target.address()})
			qt.Assert(t, summary(f.do(call.Request{ID: "a"})), qt.Equals, `Answered 200 "own a"`)
			qt.Assert(t, test.want, qt.Contains, summary(f.do(call.Request{ID: "b"})))
			// The connection is not used again, since more copies may follow.
			qt.Assert(t, summary(f.do(call.Request{ID: "c"})), qt.Equals, `Answered 200 "own c"`)
			qt.Assert(t, last != answeredOn, qt.IsTrue)
		})
	}
}
