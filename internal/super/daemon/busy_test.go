package daemon_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
)

// TestBusyLinkIsNotDead guards against connections that are closed as silent although they are only busy with bodies.
func TestBusyLinkIsNotDead(t *testing.T) {
	const size, calls = 600_000, 4
	for _, test := range []struct {
		name string
		// body is the size of the bodies of the requests, and answer that of the responses.
		body, answer int
	}{
		{"uploads", size, 0},
		{"downloads", 0, size},
		{"both", size, size},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			p := newPeer(t, hello())
			go func() {
				for {
					select {
					case r := <-p.calls:
						r.Reply.TryPut(call.Result{Attempt: r.ID, Outcome: call.Answered{Status: 200, Body: make([]byte, test.answer)}})
					case <-p.task.Done():
						return
					}
				}
			}()
			proxy := newLossyProxy(t, p.task.Addr())
			// All bodies together take 2.4 s, and a ping that waits behind them up to 0.3 s.
			proxy.rate.Store(calls * size * 5 / 12)
			d := newTestDialer(t)
			for range calls {
				d.sendRequest(proxy.addr(), call.Request{Body: make([]byte, test.body), Deadline: time.Now().Add(3 * testTimeout)})
			}
			for range calls {
				select {
				case r := <-d.results.C():
					_, ok := r.Outcome.(call.Answered)
					qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%#v", r.Outcome))
				case <-time.After(3 * testTimeout):
					t.Fatal("no result in time")
				}
			}
			qt.Assert(t, proxy.accepted.Load(), qt.Equals, int64(1))
			qt.Assert(t, len(p.cancels), qt.Equals, 0)
		})
	}
}
