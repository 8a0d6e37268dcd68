package front_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/quota"
	"jacinthcross/internal/task/front"
	"jacinthcross/internal/task/router"
)

// Guards against unbounded memory for responses that callers do not read, and against losing a response because of the
// memory limit.
func TestResponsesCountAgainstTheBodyMemory(t *testing.T) {
	const size = 8 << 20 // exceeds the buffers of a loopback connection
	tests := []struct {
		name   string
		finish func(slow *client)
	}{
		{"read late", func(slow *client) {
			qt.Assert(t, len(slow.response(http.MethodGet).body), qt.Equals, size)
		}},
		{"caller disconnects", func(slow *client) { slow.Close() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := quota.New(1000)
			f := startFixture(t, front.WithQuota(q))
			slow := dial(t, f)
			slow.send("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
			reply(nextMessage[router.Submit](t, f), strings.Repeat("x", size))
			waitUntil(t, func() bool { return q.Used() == size })
			other := dial(t, f)
			other.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody")
			qt.Assert(t, other.response(http.MethodPost).header.Get("Jacinth-Error"), qt.Equals, string(errs.Busy))
			test.finish(slow)
			waitUntil(t, func() bool { return q.Used() == 0 })
			after := dial(t, f)
			after.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody")
			reply(nextMessage[router.Submit](t, f), "ok")
			qt.Assert(t, after.response(http.MethodPost).body, qt.Equals, "ok")
		})
	}
}

// waitUntil waits until condition returns true.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("condition not met within the test timeout")
		}
	}
}
