package daemon_test

import (
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/wire/codec"
)

// TestBodyOnRequest guards against bodies that are sent for refused calls, and against calls that end as unknown although
// the target's daemon has not got their whole body, or as not run although it has. Also guards against bodies that stay
// counted as waiting.
func TestBodyOnRequest(t *testing.T) {
	const size = 200_000
	for _, test := range []struct {
		name string
		rate int64
		// play handles the call at the peer. It returns when the sender must have a result.
		play func(t *testing.T, p *peer, proxy *lossyProxy, r local.Run)
		want string
		// maxBytes limits what is sent over the network.
		maxBytes int64
	}{
		{"refused", 0, func(_ *testing.T, _ *peer, _ *lossyProxy, r local.Run) {
			r.Reply.TryPut(call.Result{Attempt: r.ID, Outcome: call.Refused{Kind: errs.Overloaded}})
		}, "refused Overloaded", 4000},
		{"answered", 0, func(t *testing.T, p *peer, _ *lossyProxy, r local.Run) {
			r.Pending.Requests.TryPut(r.ID)
			qt.Assert(t, len(receive(t, p.bodies).Body), qt.Equals, size)
			r.Reply.TryPut(call.Result{Attempt: r.ID, Outcome: call.Answered{Status: 200}})
		}, "answered 200", 2 * size},
		{"connection lost before the request", 0, func(_ *testing.T, _ *peer, proxy *lossyProxy, _ local.Run) {
			proxy.stop()
		}, "refused PeerUnreachable", 4000},
		{"connection lost in the body", size, func(t *testing.T, _ *peer, proxy *lossyProxy, r local.Run) {
			r.Pending.Requests.TryPut(r.ID)
			waitForBytes(t, proxy, size/10)
			proxy.stop()
		}, "refused PeerUnreachable", size / 2},
		{"connection silent in the body", size, func(t *testing.T, _ *peer, proxy *lossyProxy, r local.Run) {
			r.Pending.Requests.TryPut(r.ID)
			waitForBytes(t, proxy, size/10)
			t.Cleanup(proxy.hold())
		}, "refused PeerUnreachable", size / 2},
		{"connection lost behind the body", 0, func(t *testing.T, p *peer, proxy *lossyProxy, r local.Run) {
			r.Pending.Requests.TryPut(r.ID)
			receive(t, p.bodies)
			proxy.stop()
		}, "unknown PeerLost", 2 * size},
		{"refused in the body", size, func(t *testing.T, _ *peer, proxy *lossyProxy, r local.Run) {
			r.Pending.Requests.TryPut(r.ID)
			waitForBytes(t, proxy, size/10)
			r.Reply.TryPut(call.Result{Attempt: r.ID, Outcome: call.Refused{Kind: errs.DeadlineExceeded}})
		}, "refused DeadlineExceeded", size / 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			p := newPeer(t, hello())
			p.holdBodies.Store(true)
			proxy := newLossyProxy(t, p.task.Addr())
			proxy.rate.Store(test.rate)
			var waiting, most atomic.Int64
			d := newTestDialer(t, link.WithWaitingFunc(func(_ netip.AddrPort, bytes int) {
				most.Store(max(most.Load(), waiting.Add(int64(bytes))))
			}))
			id := d.sendRequest(proxy.addr(), call.Request{Body: make([]byte, size), Deadline: time.Now().Add(testTimeout)})
			test.play(t, p, proxy, receive(t, p.calls))
			r := receive(t, d.results.C())
			qt.Assert(t, r.Attempt, qt.Equals, id)
			qt.Assert(t, outcomeText(r.Outcome), qt.Equals, test.want)
			qt.Assert(t, proxy.bytes.Load() <= test.maxBytes, qt.IsTrue, qt.Commentf("%d bytes", proxy.bytes.Load()))
			for until := time.Now().Add(testTimeout); waiting.Load() != 0; time.Sleep(time.Millisecond) {
				qt.Assert(t, time.Now().Before(until), qt.IsTrue, qt.Commentf("%d bytes are counted as waiting", waiting.Load()))
			}
			qt.Assert(t, most.Load(), qt.Equals, int64(size))
		})
	}
}

func outcomeText(o call.Outcome) string {
	switch o := o.(type) {
	case call.Answered:
		return fmt.Sprintf("answered %d", o.Status)
	case call.Refused:
		return "refused " + string(o.Kind)
	case call.Unknown:
		return "unknown " + string(o.Kind)
	}
	return ""
}

// TestBodyForAPeerOfTheVersionBefore guards against a call without its body at a peer that does not request bodies.
func TestBodyForAPeerOfTheVersionBefore(t *testing.T) {
	const size = 200_000
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	calls := make(chan codec.Call, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		s, err := link.NewSession(c, false)
		if err != nil {
			return
		}
		if _, err := s.AcceptHello(hello()); err != nil {
			return
		}
		stream, err := s.AcceptStream()
		if err != nil {
			return
		}
		m, _, _ := codec.Read(stream, 1<<20, time.Now)
		request, _ := m.(codec.Call)
		calls <- request
		_, _ = codec.Write(stream, codec.Reply{Number: request.Number, Result: call.Result{Outcome: call.Answered{Status: 200}}}, time.Now())
		<-s.CloseChan()
	}()
	d := newTestDialer(t)
	d.sendRequest(netip.MustParseAddrPort(l.Addr().String()), call.Request{Body: make([]byte, size), Deadline: time.Now().Add(testTimeout)})
	qt.Assert(t, len(receive(t, calls).Request.Body), qt.Equals, size)
	qt.Assert(t, outcomeText(receive(t, d.results.C()).Outcome), qt.Equals, "answered 200")
}

// TestLargeCallsWithAKey guards against a second run of a call whose body is sent on request, and against a body that is
// sent for a call that has run before.
func TestLargeCallsWithAKey(t *testing.T) {
	const size = 300_000
	nodes := cluster(t, 2, 0)
	entry, remote := nodes[0], nodes[1]
	before := remote.target.runs.Load()
	key, body := entry.key(t), strings.Repeat("x", size)
	for _, test := range []struct {
		name, body string
		status     int
		maxBytes   int64
	}{
		{"first", body, 200, 2 * size},
		{"again", body, 200, size / 10},
		{"with another body", body[1:] + "y", 422, size / 10},
	} {
		t.Run(test.name, func(t *testing.T) {
			bytes := remote.proxy.bytes.Load()
			r, err := entry.call(http.MethodPost, key, test.body)
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, r.status, qt.Equals, test.status, qt.Commentf("%+v", r))
			sent := remote.proxy.bytes.Load() - bytes
			qt.Assert(t, sent <= test.maxBytes, qt.IsTrue, qt.Commentf("%d bytes", sent))
			qt.Assert(t, remote.target.runs.Load()-before, qt.Equals, int64(1))
		})
	}
}

// TestLostBulkLink guards against a peer that is reported as lost although only its connection for large bodies is silent,
// and against a lost peer that is not reported because it only gets calls with large bodies.
func TestLostBulkLink(t *testing.T) {
	for _, test := range []struct {
		name string
		gone bool
	}{{"silent connection", false}, {"lost peer", true}} {
		t.Run(test.name, func(t *testing.T) {
			p := newPeer(t, hello())
			p.holdBodies.Store(true)
			proxy := newLossyProxy(t, p.task.Addr())
			if test.gone {
				proxy.stop()
			}
			d := newTestDialer(t)
			d.sendRequest(proxy.addr(), call.Request{Body: make([]byte, 50_000), Deadline: time.Now().Add(testTimeout)})
			if !test.gone {
				receive(t, p.calls)
				t.Cleanup(proxy.hold())
			}
			qt.Assert(t, outcomeText(receive(t, d.results.C()).Outcome), qt.Equals, "refused PeerUnreachable")
			for {
				switch r := receive(t, d.reports).(type) {
				case link.PeerLost:
					qt.Assert(t, test.gone, qt.IsTrue, qt.Commentf("%+v", r))
					return
				case link.PeerAlive:
					if !test.gone && r.RoundTrip == 0 {
						// The link for small messages works.
						return
					}
				}
			}
		})
	}
}
