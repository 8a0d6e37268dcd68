package listen_test

import (
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/yamux"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/base/quota"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/listen"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/wire/codec"
)

// startSession starts a task and opens a session to it. The calls that it forwards arrive in the returned mailbox.
func startSession(t *testing.T, options ...listen.Option) (*listen.Task, *link.Session, *mail.Box[local.Message]) {
	inbox := mail.NewBox[local.Message](8)
	task, err := listen.New(netip.MustParseAddrPort("127.0.0.1:0"), listen.NewServer(inbox, nil, 1<<20, options...), mail.NewBox[listen.Message](4))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		task.Stop()
		<-task.Done()
	})
	return task, dialSession(t, task), inbox
}

// dialSession opens a session to a task.
func dialSession(t *testing.T, task *listen.Task) *link.Session {
	conn, err := net.Dial("tcp", task.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	session, err := link.NewSession(conn, true)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { session.Close() })
	_, err = session.InitiateHello(codec.Hello{Protocol: codec.Protocol})
	qt.Assert(t, err, qt.IsNil)
	return session
}

func openStream(t *testing.T, s *link.Session) *yamux.Stream {
	stream, err := s.OpenStream()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, stream.SetDeadline(time.Now().Add(testTimeout)), qt.IsNil)
	return stream
}

func writeCall(t *testing.T, s *yamux.Stream, number uint64) { writeCallWithBody(t, s, number, 0) }

func writeCallWithBody(t *testing.T, s *yamux.Stream, number uint64, size int) {
	qt.Assert(t, tryWriteCall(s, number, size), qt.IsNil)
}

func tryWriteCall(s *yamux.Stream, number uint64, size int) error {
	now := time.Now()
	_, err := codec.Write(s, codec.Call{Target: "a", Number: number, Request: call.Request{
		Service: "a", Method: "POST", URI: "/", Rank: ident.Normal, Deadline: now.Add(testTimeout), Caller: netip.MustParseAddr("127.0.0.1"),
		Body: make([]byte, size),
	}}, now)
	return err
}

func readReply(t *testing.T, s *yamux.Stream) codec.Reply {
	t.Helper()
	m, _, err := codec.Read(s, 1<<20, time.Now)
	qt.Assert(t, err, qt.IsNil)
	r, ok := m.(codec.Reply)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%T", m))
	return r
}

func nextMessage[M local.Message](t *testing.T, inbox *mail.Box[local.Message]) M {
	t.Helper()
	select {
	case m := <-inbox.C():
		got, ok := m.(M)
		qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%T", m))
		return got
	case <-time.After(testTimeout):
		t.Fatal("no message within testTimeout")
		panic("unreachable")
	}
}

func replyOK(r local.Run) {
	r.Reply.TryPut(call.Result{Attempt: r.ID, Outcome: call.Answered{Status: 200}})
}

// Guards against losing the cancellation of a later call on a stream, and against cancelling the previous call instead.
func TestCloseCancelsTheCallInProgress(t *testing.T) {
	_, session, inbox := startSession(t)
	stream := openStream(t, session)
	writeCall(t, stream, 1)
	replyOK(nextMessage[local.Run](t, inbox))
	qt.Assert(t, readReply(t, stream).Number, qt.Equals, uint64(1))
	writeCall(t, stream, 2)
	second := nextMessage[local.Run](t, inbox)
	qt.Assert(t, stream.Close(), qt.IsNil)
	qt.Assert(t, nextMessage[local.Cancel](t, inbox).ID, qt.Equals, second.ID)
}

// Guards against concurrent calls on one stream, whose replies could be mixed up.
func TestCallBeforeTheReplyEndsTheStream(t *testing.T) {
	_, session, inbox := startSession(t)
	stream := openStream(t, session)
	writeCall(t, stream, 1)
	first := nextMessage[local.Run](t, inbox)
	writeCall(t, stream, 2)
	qt.Assert(t, nextMessage[local.Cancel](t, inbox).ID, qt.Equals, first.ID)
	replyOK(first)
	_, _, err := codec.Read(stream, 1<<20, time.Now)
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, len(inbox.C()), qt.Equals, 0)
}

// Guards against replying to the call in progress with the result of another call.
func TestResultOfAnotherCallEndsTheStream(t *testing.T) {
	_, session, inbox := startSession(t)
	stream := openStream(t, session)
	writeCall(t, stream, 1)
	first := nextMessage[local.Run](t, inbox)
	first.Reply.TryPut(call.Result{Attempt: first.ID + 1000, Outcome: call.Answered{Status: 200}})
	_, _, err := codec.Read(stream, 1<<20, time.Now)
	qt.Assert(t, err, qt.IsNotNil)
}

// Guards against accepting calls on idle streams during a planned stop and then losing them, and against cutting off a
// call in progress.
func TestStopRefusesCallsOnIdleStreams(t *testing.T) {
	task, session, inbox := startSession(t)
	idle, busy := openStream(t, session), openStream(t, session)
	writeCall(t, idle, 1)
	replyOK(nextMessage[local.Run](t, inbox))
	qt.Assert(t, readReply(t, idle).Number, qt.Equals, uint64(1))
	writeCall(t, busy, 2)
	second := nextMessage[local.Run](t, inbox)
	task.Stop()
	for {
		stream, err := session.OpenStream()
		if err != nil {
			qt.Assert(t, err, qt.ErrorIs, yamux.ErrRemoteGoAway)
			break
		}
		stream.Close()
		time.Sleep(time.Millisecond)
	}
	writeCall(t, idle, 3)
	r := readReply(t, idle)
	qt.Assert(t, r.Number, qt.Equals, uint64(3))
	refused, ok := r.Result.Outcome.(call.Refused)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%#v", r.Result.Outcome))
	qt.Assert(t, refused.Kind, qt.Equals, errs.Draining)
	replyOK(second)
	qt.Assert(t, readReply(t, busy).Number, qt.Equals, uint64(2))
	qt.Assert(t, len(inbox.C()), qt.Equals, 0)
}

// Guards against a stop that hangs on sessions whose Hello exchange ends during the stop. Peers keep sessions open for
// as long as they use them.
func TestStopEndsLateSessions(t *testing.T) {
	const rounds, peers = 40, 8
	for round := range rounds {
		task, err := listen.New(netip.MustParseAddrPort("127.0.0.1:0"), listen.NewServer(mail.NewBox[local.Message](8), nil, 1<<20),
			mail.NewBox[listen.Message](4))
		qt.Assert(t, err, qt.IsNil)
		var dialled sync.WaitGroup
		for range peers {
			dialled.Go(func() {
				conn, err := net.Dial("tcp", task.Addr().String())
				if err != nil {
					return
				}
				t.Cleanup(func() { conn.Close() })
				session, err := link.NewSession(conn, true)
				qt.Check(t, err, qt.IsNil)
				// The task may have stopped already.
				_, _ = session.InitiateHello(codec.Hello{Protocol: codec.Protocol})
			})
		}
		time.Sleep(time.Duration(round) * 50 * time.Microsecond)
		task.Stop()
		select {
		case <-task.Done():
		case <-time.After(testTimeout):
			t.Fatal("the task has not stopped within testTimeout")
		}
		dialled.Wait()
	}
}

// Guards against unbounded memory for the bodies of peers, and against leaking reserved memory.
func TestBodiesOfPeersAreBounded(t *testing.T) {
	for _, test := range []struct {
		name string
		end  func(t *testing.T, stream *yamux.Stream, run local.Run, inbox *mail.Box[local.Message])
	}{
		{"answered", func(t *testing.T, stream *yamux.Stream, run local.Run, _ *mail.Box[local.Message]) {
			replyOK(run)
			readReply(t, stream)
		}},
		{"cancelled", func(t *testing.T, stream *yamux.Stream, _ local.Run, inbox *mail.Box[local.Message]) {
			qt.Assert(t, stream.Close(), qt.IsNil)
			nextMessage[local.Cancel](t, inbox)
		}},
		{"sent twice on a stream", func(t *testing.T, stream *yamux.Stream, _ local.Run, inbox *mail.Box[local.Message]) {
			writeCallWithBody(t, stream, 9, 400)
			nextMessage[local.Cancel](t, inbox)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			q := quota.New(1500)
			_, session, inbox := startSession(t, listen.WithQuota(q))
			first, second := openStream(t, session), openStream(t, session)
			writeCallWithBody(t, first, 1, 1000)
			run := nextMessage[local.Run](t, inbox)
			writeCallWithBody(t, second, 2, 1000)
			refused, ok := readReply(t, second).Result.Outcome.(call.Refused)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, refused.Kind, qt.Equals, errs.Busy)
			qt.Assert(t, q.Used(), qt.Equals, 1000)
			test.end(t, first, run, inbox)
			for until := time.Now().Add(testTimeout); q.Used() != 0; time.Sleep(time.Millisecond) {
				qt.Assert(t, time.Now().Before(until), qt.IsTrue, qt.Commentf("%d bytes are still reserved", q.Used()))
			}
			writeCallWithBody(t, second, 3, 1000)
			replyOK(nextMessage[local.Run](t, inbox))
			qt.Assert(t, readReply(t, second).Number, qt.Equals, uint64(3))
		})
	}
}
