package daemon_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/yamux"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/task/dialer"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/wire/codec"
)

// A receivedCall is a call that was read by the peer of manualPeer, with the stream on which it arrived.
type receivedCall struct {
	codec.Call
	stream *yamux.Stream
}

func (r receivedCall) answer(t *testing.T, number uint64, body string) {
	_, err := codec.Write(r.stream, codec.Reply{Number: number, Result: call.Result{Outcome: call.Answered{Status: 200, Body: []byte(body)}}}, time.Now())
	qt.Assert(t, err, qt.IsNil)
}

// manualPeer starts a peer that exchanges Hello messages, and returns the calls of all streams, which the test may
// answer.
func manualPeer(t *testing.T) (netip.AddrPort, <-chan receivedCall) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { l.Close() })
	calls := make(chan receivedCall, 64)
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
		for {
			stream, err := s.AcceptStream()
			if err != nil {
				return
			}
			go func() {
				for {
					m, _, err := codec.Read(stream, 1<<20, time.Now)
					if err != nil {
						return
					}
					if c, ok := m.(codec.Call); ok {
						calls <- receivedCall{c, stream}
					}
				}
			}()
		}
	}()
	return l.Addr().(*net.TCPAddr).AddrPort(), calls
}

func answeredBody(t *testing.T, r call.Result) string {
	t.Helper()
	answered, ok := r.Outcome.(call.Answered)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%#v", r.Outcome))
	return string(answered.Body)
}

// sleepForDelivery sleeps to give written frames time to arrive, and idle streams time to return to their pool.
func sleepForDelivery() { time.Sleep(100 * time.Millisecond) }

// TestCallsReuseAStream guards against a new stream for each call, which would cost three frames in each direction.
func TestCallsReuseAStream(t *testing.T) {
	to, calls := manualPeer(t)
	d := newTestDialer(t)
	streams := map[uint32]bool{}
	for range 5 {
		d.send(to, "call")
		r := receive(t, calls)
		streams[r.stream.StreamID()] = true
		r.answer(t, r.Number, "answer")
		qt.Assert(t, answeredBody(t, receive(t, d.results.C())), qt.Equals, "answer")
		sleepForDelivery()
	}
	qt.Assert(t, len(streams), qt.Equals, 1)
}

// TestReplyAfterCancelReachesNoOtherCall guards against a late reply to a cancelled call that is delivered to the next
// call.
func TestReplyAfterCancelReachesNoOtherCall(t *testing.T) {
	to, calls := manualPeer(t)
	d := newTestDialer(t)
	d.send(to, "before")
	first := receive(t, calls)
	first.answer(t, first.Number, "before")
	receive(t, d.results.C())
	sleepForDelivery()
	cancelled := d.send(to, "cancelled")
	late := receive(t, calls)
	qt.Assert(t, late.stream.StreamID(), qt.Equals, first.stream.StreamID())
	d.inbox.TryPut(dialer.Message{Peer: to, Message: link.Cancel{ID: cancelled}})
	sleepForDelivery()
	id := d.send(to, "next")
	next := receive(t, calls)
	qt.Assert(t, next.stream.StreamID(), qt.Not(qt.Equals), late.stream.StreamID())
	late.answer(t, late.Number, "late")
	next.answer(t, next.Number, "next")
	for {
		r := receive(t, d.results.C())
		if r.Attempt == id {
			qt.Assert(t, answeredBody(t, r), qt.Equals, "next")
			return
		}
		qt.Assert(t, r.Attempt, qt.Equals, cancelled)
	}
}

// TestUnexpectedReplyOrClose guards against a reply to an earlier call that is delivered to the next call on the same
// stream, and against a wrong outcome: refused for a call that was sent, or unknown for a call that was not.
func TestUnexpectedReplyOrClose(t *testing.T) {
	unknown := call.Outcome(call.Unknown{Kind: errs.PeerLost})
	refused := call.Outcome(call.Refused{Kind: errs.PeerUnreachable})
	for _, test := range []struct {
		name string
		// idle is called while the stream of the first call is idle, sent after the second call has arrived.
		idle, sent func(*testing.T, receivedCall)
		want       call.Outcome
	}{
		{"reply repeated while idle", func(t *testing.T, r receivedCall) { r.answer(t, r.Number, "old") }, nil, refused},
		{"closed by the peer while idle", func(_ *testing.T, r receivedCall) { r.stream.Close() }, nil, refused},
		{"session closed while idle", func(_ *testing.T, r receivedCall) { r.stream.Session().Close() }, nil, refused},
		{"reply to another call", nil, func(t *testing.T, r receivedCall) { r.answer(t, r.Number-1, "old") }, unknown},
		{"closed by the peer after the call", nil, func(_ *testing.T, r receivedCall) { r.stream.Close() }, unknown},
		{"session closed after the call", nil, func(_ *testing.T, r receivedCall) { r.stream.Session().Close() }, unknown},
	} {
		t.Run(test.name, func(t *testing.T) {
			to, calls := manualPeer(t)
			d := newTestDialer(t)
			d.send(to, "first")
			first := receive(t, calls)
			first.answer(t, first.Number, "first")
			qt.Assert(t, answeredBody(t, receive(t, d.results.C())), qt.Equals, "first")
			sleepForDelivery()
			if test.idle != nil {
				test.idle(t, first)
				sleepForDelivery()
			}
			d.send(to, "second")
			if test.sent != nil {
				second := receive(t, calls)
				qt.Assert(t, second.stream.StreamID(), qt.Equals, first.stream.StreamID())
				test.sent(t, second)
			}
			outcome := receive(t, d.results.C()).Outcome
			switch want := test.want.(type) {
			case call.Unknown:
				got, ok := outcome.(call.Unknown)
				qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%#v", outcome))
				qt.Assert(t, got.Kind, qt.Equals, want.Kind)
			case call.Refused:
				got, ok := outcome.(call.Refused)
				qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%#v", outcome))
				qt.Assert(t, got.Kind, qt.Equals, want.Kind)
				qt.Assert(t, len(calls), qt.Equals, 0)
			}
		})
	}
}

// TestPeerRestartDuringACallOnAReusedStream guards against a second run, and against an outcome other than unknown,
// when a restart of the peer closes the connection during a call on a reused stream.
func TestPeerRestartDuringACallOnAReusedStream(t *testing.T) {
	p := newPeer(t, hello())
	proxy := newLossyProxy(t, p.task.Addr())
	d := newTestDialer(t)
	d.send(proxy.addr(), "first")
	answer(receive(t, p.calls))
	qt.Assert(t, answeredBody(t, receive(t, d.results.C())), qt.Equals, "first")
	sleepForDelivery()
	id := d.send(proxy.addr(), "second")
	receive(t, p.calls)
	proxy.mutex.Lock()
	for _, c := range proxy.connections {
		c.server.Close()
		c.client.Close()
	}
	proxy.mutex.Unlock()
	result := receive(t, d.results.C())
	qt.Assert(t, result.Attempt, qt.Equals, id)
	lost, ok := result.Outcome.(call.Unknown)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%#v", result.Outcome))
	qt.Assert(t, lost.Kind, qt.Equals, errs.PeerLost)
	d.send(proxy.addr(), "third")
	third := receive(t, p.calls)
	qt.Assert(t, string(third.Request.Body), qt.Equals, "third")
	answer(third)
	qt.Assert(t, answeredBody(t, receive(t, d.results.C())), qt.Equals, "third")
	qt.Assert(t, len(p.calls), qt.Equals, 0)
}
