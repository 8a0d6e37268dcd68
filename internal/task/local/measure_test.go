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

// Guards against taking a part of one response for the response to the next measurement, against waiting for more bytes
// than a response has, and against reading without end.
func TestMeasurementsReadOneResponse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTest-Load: 0,0,4,%d\r\n"
	for _, test := range []struct {
		name   string
		health func(w net.Conn, n int64)
		want   bool // the load is reported
	}{
		{"without a body", func(w net.Conn, n int64) { fmt.Fprintf(w, head+"Content-Length: 0\r\n\r\n", 100*n) }, true},
		{"with a body", func(w net.Conn, n int64) { fmt.Fprintf(w, head+"Content-Length: 5\r\n\r\nhello", 100*n) }, true},
		{"twice", func(w net.Conn, n int64) {
			fmt.Fprintf(w, head+"Content-Length: 0\r\n\r\n"+head+"Content-Length: 0\r\n\r\n", 100*n, 100*n)
		}, true},
		{"endless body", func(w net.Conn, n int64) {
			fmt.Fprintf(w, head+"\r\n", 100*n)
			writeEndlessly(w)
		}, true},
		{"endless header", func(w net.Conn, _ int64) {
			fmt.Fprint(w, "HTTP/1.1 200 OK\r\nX: ")
			writeEndlessly(w)
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			var asked atomic.Int64
			target := newRawTarget(t, "127.0.0.1:0", func(w net.Conn, _ *http.Request, _ []byte) bool {
				test.health(w, asked.Add(1))
				return true
			})
			d := *header.DefaultDialect()
			d.Load = "Test-Load"
			c := &loadClient{dialect: &d}
			defer c.close()
			fastest, reports := time.Minute, 0
			for range 20 {
				started := time.Now()
				switch got := c.measure(measureRequest{target.address(), "/health", time.Now()}).(type) {
				case loadReported:
					reports++
					qt.Assert(t, got.load.Slowness, qt.Equals, float64(asked.Load()))
				case loadMissing:
					t.Fatal("the load is missing")
				case noResponse: // the machine is slow, or the response is invalid
				}
				fastest = min(fastest, time.Since(started))
			}
			qt.Assert(t, reports > 0, qt.Equals, test.want)
			qt.Assert(t, !test.want || fastest < measureTimeout, qt.IsTrue, qt.Commentf("%s", fastest))
		})
	}
}

// writeEndlessly writes until the daemon closes the connection.
func writeEndlessly(w net.Conn) {
	b := make([]byte, 64<<10)
	for range 4096 {
		if _, err := w.Write(b); err != nil {
			return
		}
	}
}
