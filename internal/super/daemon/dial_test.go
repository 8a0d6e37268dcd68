package daemon_test

import (
	"net"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/task/dialer"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/listen"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/wire/codec"
)

// TestDialsToUnreachablePeerBackOff guards against a dial for each call to an unreachable peer.
func TestDialsToUnreachablePeerBackOff(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer l.Close()
	dials := make(chan struct{}, 4096)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			dials <- struct{}{}
			c.Close()
		}
	}()
	d := newTestDialer(t)
	for range 300 {
		d.send(l.Addr().(*net.TCPAddr).AddrPort(), "call")
		refused, ok := receive(t, d.results.C()).Outcome.(call.Refused)
		qt.Assert(t, ok, qt.IsTrue)
		qt.Assert(t, refused.Kind, qt.Equals, errs.PeerUnreachable)
		time.Sleep(2 * time.Millisecond)
	}
	// In 0.6 s the back-off delays of 50 to 100, 100 to 200 and 200 to 400 ms allow at most 5 dials. A slow machine
	// takes longer and allows a few more.
	qt.Assert(t, len(dials) < 12, qt.IsTrue, qt.Commentf("%d dials", len(dials)))
}

// TestExchangeWaitsForTheNextDial guards against a peer that stays unreachable after its start: an exchange during the
// dial back-off must wait for the next dial instead of failing.
func TestExchangeWaitsForTheNextDial(t *testing.T) {
	d := newTestDialer(t)
	to := freePort(t)
	for range 5 {
		d.send(to, "call")
		_, ok := receive(t, d.results.C()).Outcome.(call.Refused)
		qt.Assert(t, ok, qt.IsTrue)
		time.Sleep(60 * time.Millisecond)
	}
	inbox := mail.NewBox[local.Message](1)
	task, err := listen.New(to, listen.NewServer(inbox, nil, 1<<20, listen.WithHelloFunc(hello)), mail.NewBox[listen.Message](1))
	qt.Assert(t, err, qt.IsNil)
	defer task.Stop()
	reply := mail.NewBox[link.Answer](1)
	d.inbox.TryPut(dialer.Message{Peer: to, Message: link.Exchange{Message: codec.LoadRequest{}, Reply: reply}})
	request, ok := receive(t, inbox.C()).(local.LoadRequest)
	qt.Assert(t, ok, qt.IsTrue)
	request.Reply.TryPut(call.Load{InFlight: 7})
	qt.Assert(t, receive(t, reply.C()), qt.DeepEquals, link.Answer{Message: codec.LoadReply{Load: call.Load{InFlight: 7}}})
}

// TestVersionMismatchRefusesCalls guards against calls between daemons with different protocol versions, which could
// misread each other's messages.
func TestVersionMismatchRefusesCalls(t *testing.T) {
	for _, test := range []struct {
		name      string
		own, peer int
	}{
		{"newer peer", codec.Protocol, codec.Protocol + 1},
		{"older peer", codec.Protocol + 1, codec.Protocol},
	} {
		t.Run(test.name, func(t *testing.T) {
			p := newPeer(t, codec.Hello{Protocol: test.peer})
			d := newTestDialer(t, link.WithHelloFunc(func() codec.Hello { return codec.Hello{Protocol: test.own} }))
			d.send(p.task.Addr(), "call")
			refused, ok := receive(t, d.results.C()).Outcome.(call.Refused)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, refused.Kind, qt.Equals, errs.PeerUnreachable)
			qt.Assert(t, len(p.calls), qt.Equals, 0)
		})
	}
}
