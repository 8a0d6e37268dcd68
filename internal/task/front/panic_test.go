package front_test

import (
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/task/front"
	"jacinthcross/internal/task/router"
)

// Guards against an unexpected error in the handling of one request that ends the process, and with it all connections.
func TestPanicClosesOneConnection(t *testing.T) {
	for _, test := range []struct{ name, request string }{
		{"header", "GET /bad HTTP/1.1\r\nHost: a\r\n\r\n"},
		{"header before a body", "POST /bad HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n\r\nabc"},
	} {
		t.Run(test.name, func(t *testing.T) {
			var armed atomic.Bool
			f := startFixture(t, front.WithArrivalTimeFunc(func(read time.Time) (time.Time, bool) {
				if armed.Load() {
					panic("test")
				}
				return read, true
			}))
			other := dial(t, f)
			other.send("GET /1 HTTP/1.1\r\nHost: a\r\n\r\n")
			s := nextMessage[router.Submit](t, f)
			armed.Store(true)
			bad := dial(t, f)
			bad.send(test.request)
			bad.expectEOF()
			armed.Store(false)
			reply(s, "one")
			qt.Assert(t, other.response(http.MethodGet).body, qt.Equals, "one")
			other.send("GET /2 HTTP/1.1\r\nHost: a\r\n\r\n")
			reply(nextMessage[router.Submit](t, f), "two")
			qt.Assert(t, other.response(http.MethodGet).body, qt.Equals, "two")
		})
	}
}
