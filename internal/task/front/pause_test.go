package front_test

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/task/front"
	"jacinthcross/internal/task/router"
)

// Guards against restarting the deadline of a request that waited in the socket during a process pause, and against
// running it if its caller has closed the connection meanwhile.
func TestRequestsReadAfterPause(t *testing.T) {
	for _, test := range []struct {
		name   string
		header string
		closes bool
		want   time.Duration
	}{
		{"with a deadline", "Jacinth-Deadline: 5000\r\n", false, 5 * time.Second},
		{"without a deadline", "", false, 0},
		{"caller disconnected", "", true, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			before := time.Now().Add(-3 * time.Second)
			f := startFixture(t, front.WithArrivalTimeFunc(func(time.Time) (time.Time, bool) { return before, false }))
			c := dial(t, f)
			c.send("GET / HTTP/1.1\r\nHost: a\r\n" + test.header + "\r\n")
			if test.closes {
				qt.Assert(t, c.Close(), qt.IsNil)
				select {
				case m := <-f.router.C():
					t.Fatalf("unexpected message to the router: %T", m)
				case <-time.After(300 * time.Millisecond):
				}
				return
			}
			s := nextMessage[router.Submit](t, f)
			qt.Assert(t, s.Arrived, qt.Equals, before)
			if test.want > 0 {
				qt.Assert(t, s.Request.Deadline, qt.Equals, before.Add(test.want))
			}
			reply(s, "a")
			qt.Assert(t, c.response(http.MethodGet).body, qt.Equals, "a")
		})
	}
}
