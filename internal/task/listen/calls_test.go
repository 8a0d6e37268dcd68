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

// dial starts a task and opens a session to it. Its calls arrive in the mailbox.
func dial(t *testing.T, options ...listen.Option) (*listen.Task, *link.Session, *mail.Box[local.Message]) {
	inbox := mail.NewBox[local.Message](8)
	task, err := listen.New(netip.MustParseAddrPort("127.0.0.1:0"), listen.NewServer(inbox, nil, 1<<20, options...), mail.NewBox[listen.Message](4))
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		task.Stop()
		<-task.Done()
	})
	conn, err := net.Dial("tcp", task.Addr().String())
	qt.Assert(t, err, qt.IsNil)
	session, err := link.NewSession(conn, true)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { session.Close() })
	_, err = session.Greet(codec.Hello{Protocol: codec.Protocol})
	qt.Assert(t, err, qt.IsNil)
	return task, session, inbox
}

func open(t *testing.T, s *link.Session) *yamux.Stream {
	stream, err := s.OpenStream()
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, stream.SetDeadline(time.Now().Add(patience)), qt.IsNil)
	return stream
}

func write(t *testing.T, s *yamux.Stream, number uint64) { writeBody(t, s, number, 0) }

func writeBody(t *testing.T, s *yamux.Stream, number uint64, size int) {
	now := time.Now()
	_, err := codec.Write(s, codec.Call{Target: "a", Number: number, Request: call.Request{
		Service: "a", Method: "POST", URI: "/", Rank: ident.Normal, Deadline: now.Add(patience), Caller: netip.MustParseAddr("127.0.0.1"),
		Body: make([]byte, size),
	}}, now)
	qt.Assert(t, err, qt.IsNil)
}

func read(t *testing.T, s *yamux.Stream) codec.Reply {
	t.Helper()
	m, _, err := codec.Read(s, 1<<20, time.Now)
	qt.Assert(t, err, qt.IsNil)
	r, ok := m.(codec.Reply)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%T", m))
	return r
}

func next[M local.Message](t *testing.T, inbox *mail.Box[local.Message]) M {
	t.Helper()
	select {
	case m := <-inbox.C():
		got, ok := m.(M)
		qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%T", m))
		return got
	case <-time.After(patience):
		t.Fatal("nothing arrived")
		panic("unreachable")
	}
}

func answer(r local.Run) {
	r.Reply.TryPut(call.Result{Attempt: r.ID, Outcome: call.Answered{Status: 200}})
}

// Guards against a cancel of a later call on a stream that is lost, or that names the call before it.
func TestCloseCancelsTheCallUnderWay(t *testing.T) {
	_, session, inbox := dial(t)
	stream := open(t, session)
	write(t, stream, 1)
	answer(next[local.Run](t, inbox))
	qt.Assert(t, read(t, stream).Number, qt.Equals, uint64(1))
	write(t, stream, 2)
	second := next[local.Run](t, inbox)
	qt.Assert(t, stream.Close(), qt.IsNil)
	qt.Assert(t, next[local.Cancel](t, inbox).ID, qt.Equals, second.ID)
}

// Guards against two calls at a time on a stream, whose replies could be mixed up.
func TestCallBeforeTheReplyEndsTheStream(t *testing.T) {
	_, session, inbox := dial(t)
	stream := open(t, session)
	write(t, stream, 1)
	first := next[local.Run](t, inbox)
	write(t, stream, 2)
	qt.Assert(t, next[local.Cancel](t, inbox).ID, qt.Equals, first.ID)
	answer(first)
	_, _, err := codec.Read(stream, 1<<20, time.Now)
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, len(inbox.C()), qt.Equals, 0)
}

// Guards against a reply on a stream that answers another call than the one under way.
func TestResultOfAnotherCallEndsTheStream(t *testing.T) {
	_, session, inbox := dial(t)
	stream := open(t, session)
	write(t, stream, 1)
	first := next[local.Run](t, inbox)
	first.Reply.TryPut(call.Result{Attempt: first.ID + 1000, Outcome: call.Answered{Status: 200}})
	_, _, err := codec.Read(stream, 1<<20, time.Now)
	qt.Assert(t, err, qt.IsNotNil)
}

// Guards against calls on idle streams that are accepted during a planned stop and then lost, and
// against a stop that cuts a call under way.
func TestStopRefusesCallsOnIdleStreams(t *testing.T) {
	task, session, inbox := dial(t)
	idle, busy := open(t, session), open(t, session)
	write(t, idle, 1)
	answer(next[local.Run](t, inbox))
	qt.Assert(t, read(t, idle).Number, qt.Equals, uint64(1))
	write(t, busy, 2)
	second := next[local.Run](t, inbox)
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
	write(t, idle, 3)
	r := read(t, idle)
	qt.Assert(t, r.Number, qt.Equals, uint64(3))
	refused, ok := r.Result.Outcome.(call.Refused)
	qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%#v", r.Result.Outcome))
	qt.Assert(t, refused.Kind, qt.Equals, errs.Draining)
	answer(second)
	qt.Assert(t, read(t, busy).Number, qt.Equals, uint64(2))
	qt.Assert(t, len(inbox.C()), qt.Equals, 0)
}

// Guards against a stop that waits for peers to close sessions which were greeted while the task stopped. Peers keep
// sessions open for as long as they use them.
func TestStopEndsSessionsJustGreeted(t *testing.T) {
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
				// The task may stop first.
				_, _ = session.Greet(codec.Hello{Protocol: codec.Protocol})
			})
		}
		time.Sleep(time.Duration(round) * 50 * time.Microsecond)
		task.Stop()
		select {
		case <-task.Done():
		case <-time.After(patience):
			t.Fatal("the task has not stopped")
		}
		dialled.Wait()
	}
}

// Guards against a sum of bodies of peers without bound, and against memory that is never given back.
func TestBodiesOfPeersAreBounded(t *testing.T) {
	for _, test := range []struct {
		name string
		end  func(t *testing.T, stream *yamux.Stream, run local.Run, inbox *mail.Box[local.Message])
	}{
		{"answered", func(t *testing.T, stream *yamux.Stream, run local.Run, _ *mail.Box[local.Message]) {
			answer(run)
			read(t, stream)
		}},
		{"cancelled", func(t *testing.T, stream *yamux.Stream, _ local.Run, inbox *mail.Box[local.Message]) {
			qt.Assert(t, stream.Close(), qt.IsNil)
			next[local.Cancel](t, inbox)
		}},
		{"sent twice on a stream", func(t *testing.T, stream *yamux.Stream, _ local.Run, inbox *mail.Box[local.Message]) {
			writeBody(t, stream, 9, 400)
			next[local.Cancel](t, inbox)
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			q := quota.New(1500)
			_, session, inbox := dial(t, listen.WithQuota(q))
			first, second := open(t, session), open(t, session)
			writeBody(t, first, 1, 1000)
			run := next[local.Run](t, inbox)
			writeBody(t, second, 2, 1000)
			refused, ok := read(t, second).Result.Outcome.(call.Refused)
			qt.Assert(t, ok, qt.IsTrue)
			qt.Assert(t, refused.Kind, qt.Equals, errs.Busy)
			qt.Assert(t, q.Used(), qt.Equals, 1000)
			test.end(t, first, run, inbox)
			for until := time.Now().Add(patience); q.Used() != 0; time.Sleep(time.Millisecond) {
				qt.Assert(t, time.Now().Before(until), qt.IsTrue, qt.Commentf("%d bytes are taken", q.Used()))
			}
			writeBody(t, second, 3, 1000)
			answer(next[local.Run](t, inbox))
			qt.Assert(t, read(t, second).Number, qt.Equals, uint64(3))
		})
	}
}
