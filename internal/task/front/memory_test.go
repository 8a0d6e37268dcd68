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

// Guards against memory without bound for answers that callers do not read, and against an answer
// that is lost for that bound.
func TestAnswersCountAgainstTheBodyMemory(t *testing.T) {
	const size = 8 << 20 // more than the buffers of a loopback connection take
	tests := []struct {
		name string
		end  func(slow *client)
	}{
		{"read in the end", func(slow *client) {
			qt.Assert(t, len(slow.response(http.MethodGet).body), qt.Equals, size)
		}},
		{"caller goes", func(slow *client) { slow.Close() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := quota.New(1000)
			f := start(t, front.WithQuota(q))
			slow := dial(t, f)
			slow.send("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n")
			answer(next[router.Submit](t, f), strings.Repeat("x", size))
			waitUntil(t, func() bool { return q.Used() == size })
			other := dial(t, f)
			other.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody")
			qt.Assert(t, other.response(http.MethodPost).header.Get("Jacinth-Error"), qt.Equals, string(errs.Busy))
			test.end(slow)
			waitUntil(t, func() bool { return q.Used() == 0 })
			after := dial(t, f)
			after.send("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody")
			answer(next[router.Submit](t, f), "ok")
			qt.Assert(t, after.response(http.MethodPost).body, qt.Equals, "ok")
		})
	}
}

// waitUntil waits for a condition that the task brings about.
func waitUntil(t *testing.T, condition func() bool) {
	t.Helper()
	for end := time.Now().Add(patience); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			t.Fatal("the condition was not reached")
		}
	}
}
