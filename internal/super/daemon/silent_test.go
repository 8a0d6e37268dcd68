package daemon_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/task/dialer"
	"jacinthcross/internal/task/link"
)

// silence is longer than both ends of a link wait before they give up a silent peer.
const silence = 2500 * time.Millisecond

// TestCallsOnASilentConnection guards against calls that may not be repeated and that end as unknown, or are cancelled at
// the target, because the connection was silent for a while; against calls that may be repeated and wait for it; and
// against a cancellation that does not reach a call on a connection that is no longer in use for new calls.
func TestCallsOnASilentConnection(t *testing.T) {
	for _, test := range []struct {
		name    string
		request call.Request
		// kept is true if the call keeps its connection.
		kept bool
		// end is what happens during or after the silence: "answer", "cancel" or "deadline".
		end string
	}{
		{"not repeatable, answered", call.Request{}, true, "answer"},
		{"not repeatable, cancelled", call.Request{}, true, "cancel"},
		{"not repeatable, until its deadline", call.Request{}, true, "deadline"},
		{"idempotent", call.Request{Idempotent: true}, false, "answer"},
		{"with a key", call.Request{Key: "key"}, false, "answer"},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			p := newPeer(t, hello())
			proxy := newLossyProxy(t, p.task.Addr())
			d := newTestDialer(t)
			test.request.Deadline = time.Now().Add(3 * testTimeout)
			if test.end == "deadline" {
				test.request.Deadline = time.Now().Add(silence)
			}
			id := d.sendRequest(proxy.addr(), test.request)
			run := receive(t, p.calls)
			resume := proxy.hold()
			defer resume()
			if !test.kept {
				r := receive(t, d.results.C())
				unknown, ok := r.Outcome.(call.Unknown)
				qt.Assert(t, ok && r.Attempt == id && unknown.Kind == errs.PeerLost, qt.IsTrue, qt.Commentf("%#v", r))
				qt.Assert(t, receive(t, p.cancels).ID, qt.Equals, run.ID)
				return
			}
			time.Sleep(silence)
			if test.end == "deadline" {
				_, ok := receive(t, d.results.C()).Outcome.(call.Unknown)
				qt.Assert(t, ok, qt.IsTrue)
				qt.Assert(t, receive(t, p.cancels).ID, qt.Equals, run.ID)
				return
			}
			// New calls use another connection meanwhile.
			next := d.send(proxy.addr(), "next")
			answer(receive(t, p.calls))
			qt.Assert(t, receive(t, d.results.C()).Attempt, qt.Equals, next)
			qt.Assert(t, len(p.cancels), qt.Equals, 0)
			if test.end == "cancel" {
				d.inbox.TryPut(dialer.Message{Peer: proxy.addr(), Message: link.Cancel{ID: id}})
				time.Sleep(100 * time.Millisecond)
				resume()
				qt.Assert(t, receive(t, p.cancels).ID, qt.Equals, run.ID)
				return
			}
			answer(run)
			resume()
			r := receive(t, d.results.C())
			_, ok := r.Outcome.(call.Answered)
			qt.Assert(t, ok && r.Attempt == id, qt.IsTrue, qt.Commentf("%#v", r))
		})
	}
}

// TestLateHello guards against a connection that is given up while the Hello of the peer waits behind other bytes, and
// against calls that wait for it.
func TestLateHello(t *testing.T) {
	p := newPeer(t, hello())
	go func() { p.answerAll() }()
	proxy := newLossyProxy(t, p.task.Addr())
	proxy.delay.Store(int64(2 * time.Second))
	d := newTestDialer(t)
	d.send(proxy.addr(), "first")
	refused, ok := receive(t, d.results.C()).Outcome.(call.Refused)
	qt.Assert(t, ok && refused.Kind == errs.PeerUnreachable, qt.IsTrue, qt.Commentf("%#v", refused))
	for {
		if _, ok := receive(t, d.reports).(link.PeerAlive); ok {
			break
		}
	}
	d.send(proxy.addr(), "second")
	_, ok = receive(t, d.results.C()).Outcome.(call.Answered)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, proxy.accepted.Load(), qt.Equals, int64(1))
}

// TestCancelWhileTheLinkIsRetired guards against a cancellation that is lost because it arrives when the link gives up its
// connection.
func TestCancelWhileTheLinkIsRetired(t *testing.T) {
	for i := range 24 {
		t.Run("", func(t *testing.T) {
			t.Parallel()
			p := newPeer(t, hello())
			proxy := newLossyProxy(t, p.task.Addr())
			d := newTestDialer(t)
			id := d.sendRequest(proxy.addr(), call.Request{Deadline: time.Now().Add(3 * testTimeout)})
			run := receive(t, p.calls)
			resume := proxy.hold()
			defer resume()
			// The link gives up 500 ms after the last byte that it received.
			time.Sleep(440*time.Millisecond + time.Duration(i)*4*time.Millisecond)
			d.inbox.TryPut(dialer.Message{Peer: proxy.addr(), Message: link.Cancel{ID: id}})
			time.Sleep(200 * time.Millisecond)
			resume()
			qt.Assert(t, receive(t, p.cancels).ID, qt.Equals, run.ID)
		})
	}
}
