package daemon_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/task/dialer"
	"jacinthcross/internal/task/link"
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

// TestSmallCallsPassLargeBodies guards against small calls that wait behind the bodies of others.
func TestSmallCallsPassLargeBodies(t *testing.T) {
	const size, uploads, small = 600_000, 4, 20
	p := newPeer(t, hello())
	go func() { p.answerAll() }()
	proxy := newLossyProxy(t, p.task.Addr())
	proxy.rate.Store(uploads * size * 5 / 12)
	d := newTestDialer(t)
	large := map[call.ID]bool{}
	for range uploads {
		large[d.sendRequest(proxy.addr(), call.Request{Body: make([]byte, size), Deadline: time.Now().Add(testTimeout)})] = true
	}
	for range small {
		id := d.send(proxy.addr(), "small")
		r := receive(t, d.results.C())
		qt.Assert(t, r.Attempt, qt.Equals, id, qt.Commentf("large: %v", large[r.Attempt]))
	}
	for range uploads {
		r := receive(t, d.results.C())
		_, ok := r.Outcome.(call.Answered)
		qt.Assert(t, ok && large[r.Attempt], qt.IsTrue, qt.Commentf("%#v", r.Outcome))
	}
}

func waitForBytes(t *testing.T, proxy *lossyProxy, n int64) {
	t.Helper()
	for until := time.Now().Add(testTimeout); proxy.bytes.Load() < n; time.Sleep(time.Millisecond) {
		qt.Assert(t, time.Now().Before(until), qt.IsTrue)
	}
}

// TestCancelledBodyIsNotSent guards against a body that takes the link after its caller has left.
func TestCancelledBodyIsNotSent(t *testing.T) {
	const size, rate = 1_000_000, 1_000_000
	p := newPeer(t, hello())
	proxy := newLossyProxy(t, p.task.Addr())
	proxy.rate.Store(rate)
	d := newTestDialer(t)
	id := d.sendRequest(proxy.addr(), call.Request{Body: make([]byte, size), Deadline: time.Now().Add(testTimeout)})
	waitForBytes(t, proxy, size/20)
	d.inbox.TryPut(dialer.Message{Peer: proxy.addr(), Message: link.Cancel{ID: id}})
	// The whole body would take one second.
	time.Sleep(2 * time.Second)
	qt.Assert(t, proxy.bytes.Load() < size/2, qt.IsTrue, qt.Commentf("%d bytes of %d were sent", proxy.bytes.Load(), size))
	qt.Assert(t, len(p.calls), qt.Equals, 0)
}
