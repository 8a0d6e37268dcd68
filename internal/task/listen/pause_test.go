package listen_test

import (
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/listen"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/wire/codec"
)

// testTimeout bounds waits in tests. It checks no latency.
const testTimeout = 10 * time.Second

// Guards against giving a call its full timeout although it waited in the socket during a process pause, and against
// running a call although the peer closed its stream during the pause.
func TestCallsReadAfterAPause(t *testing.T) {
	for _, test := range []struct {
		name   string
		closes bool
	}{
		{"the peer still waits", false},
		{"the peer has closed the stream", true},
	} {
		t.Run(test.name, func(t *testing.T) {
			before := time.Now().Add(-3 * time.Second)
			inbox := mail.NewBox[local.Message](4)
			server := listen.NewServer(inbox, nil, 1<<20,
				listen.WithArrivalTimeFunc(func(time.Time) (time.Time, bool) { return before, false }))
			task, err := listen.New(netip.MustParseAddrPort("127.0.0.1:0"), server, mail.NewBox[listen.Message](4))
			qt.Assert(t, err, qt.IsNil)
			t.Cleanup(func() {
				task.Stop()
				<-task.Done()
			})
			conn, err := net.Dial("tcp", task.Addr().String())
			qt.Assert(t, err, qt.IsNil)
			session, err := link.NewSession(conn, true)
			qt.Assert(t, err, qt.IsNil)
			defer session.Close()
			_, err = session.InitiateHello(codec.Hello{Protocol: codec.Protocol})
			qt.Assert(t, err, qt.IsNil)
			stream, err := session.OpenStream()
			qt.Assert(t, err, qt.IsNil)
			defer stream.Close()
			now := time.Now()
			_, err = codec.Write(stream, codec.Call{Target: "a", Request: call.Request{
				Service: "a", Method: "GET", URI: "/", Rank: ident.Normal, Deadline: now.Add(time.Second), Caller: netip.MustParseAddr("127.0.0.1"),
			}}, now)
			qt.Assert(t, err, qt.IsNil)
			if test.closes {
				qt.Assert(t, stream.Close(), qt.IsNil)
				select {
				case m := <-inbox.C():
					t.Fatalf("unexpected %T to the local task", m)
				case <-time.After(300 * time.Millisecond):
				}
				return
			}
			select {
			case m := <-inbox.C():
				r, ok := m.(local.Run)
				qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%T", m))
				qt.Assert(t, r.Request.Deadline, qt.Equals, before.Add(time.Second))
				r.Reply.TryPut(call.Result{Attempt: r.ID, Outcome: call.Answered{Status: 200}})
			case <-time.After(testTimeout):
				t.Fatal("no call within testTimeout")
			}
		})
	}
}
