package local

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/wire/header"
)

// Guards against delaying each call by a measurement of a target that does not report its load, and against not
// measuring a target that does. Calls start at intervals longer than a measurement remains valid.
func TestMeasure(t *testing.T) {
	const calls = 12
	for _, test := range []struct {
		name string
		// health responds to the health path, or returns false to close the connection.
		health      func(w net.Conn) bool
		least, most int64
	}{
		{"reports its load", func(w net.Conn) bool {
			fmt.Fprint(w, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nTest-Load: 0,0,4,100\r\n\r\n")
			return true
		}, calls, calls},
		{"reports no load", func(w net.Conn) bool {
			fmt.Fprint(w, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
			return true
		}, 1, 1},
		{"refuses the health path without a load", func(w net.Conn) bool {
			fmt.Fprint(w, "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n")
			return true
		}, 1, 1},
		{"closes the connection", func(net.Conn) bool { return false }, calls, 2 * calls},
	} {
		t.Run(test.name, func(t *testing.T) {
			var asked atomic.Int64
			target := newRawTarget(t, "127.0.0.1:0", func(w net.Conn, r *http.Request, body []byte) bool {
				if r.URL.Path == "/health" {
					asked.Add(1)
					return test.health(w)
				}
				return answerOK(w, r, body)
			})
			d := *header.DefaultDialect()
			d.Load = "Test-Load"
			f := startFixture(t, note.Target{Name: "b1", Address: target.address(), HealthPath: "/health"}, WithDialect(&d), WithoutInternalKeys())
			for range calls {
				request := call.Request{Method: http.MethodGet, Route: "r", Idempotent: true, Deadline: time.Now().Add(time.Minute)}
				qt.Assert(t, summary(f.do(request)), qt.Equals, `Answered 200 ""`)
				time.Sleep(10 * time.Millisecond)
			}
			qt.Assert(t, asked.Load() >= test.least && asked.Load() <= test.most, qt.IsTrue, qt.Commentf("asked %d times", asked.Load()))
		})
	}
}
