package listen_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/hashicorp/yamux"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/base/quota"
	"jacinthcross/internal/task/listen"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/wire/codec"
)

// pendingSize is the size of the bodies that are sent on request in tests.
const pendingSize = 50_000

func write(t *testing.T, s *yamux.Stream, m codec.Message) {
	t.Helper()
	_, err := codec.Write(s, m, time.Now())
	qt.Assert(t, err, qt.IsNil)
}

func writePendingCall(t *testing.T, s *yamux.Stream, number uint64) {
	write(t, s, codec.Call{Target: "a", Number: number, BodySize: pendingSize, Request: call.Request{
		Service: "a", Method: "POST", URI: "/", Rank: ident.Normal, Deadline: time.Now().Add(testTimeout),
	}})
}

func readMessage(t *testing.T, s *yamux.Stream) codec.Message {
	t.Helper()
	m, _, err := codec.Read(s, 1<<20, time.Now)
	qt.Assert(t, err, qt.IsNil)
	return m
}

func refuse(r local.Run) {
	r.Reply.TryPut(call.Result{Attempt: r.ID, Outcome: call.Refused{Kind: errs.Busy}})
}

// Guards against bodies that are sent for calls that are refused, against calls that run with a part of their body, against
// slots of the target that are held for a body that does not arrive, and against memory that is not reserved or not
// released.
func TestPendingBody(t *testing.T) {
	body := make([]byte, pendingSize)
	request := func(t *testing.T, stream *yamux.Stream, run local.Run) {
		qt.Assert(t, run.Pending.Requests.TryPut(run.ID), qt.IsTrue)
		qt.Assert(t, readMessage(t, stream), qt.Equals, codec.Message(codec.BodyRequest{Number: 1}))
	}
	for _, test := range []struct {
		name   string
		memory int
		play   func(t *testing.T, task *listen.Task, stream *yamux.Stream, run local.Run, inbox *mail.Box[local.Message])
		// reusable is true if the stream then carries another call.
		reusable bool
	}{
		{"refused before the body", pendingSize, func(t *testing.T, _ *listen.Task, stream *yamux.Stream, run local.Run, _ *mail.Box[local.Message]) {
			refuse(run)
			qt.Assert(t, readReply(t, stream).Number, qt.Equals, uint64(1))
		}, true},
		{"answered", pendingSize, func(t *testing.T, _ *listen.Task, stream *yamux.Stream, run local.Run, inbox *mail.Box[local.Message]) {
			request(t, stream, run)
			write(t, stream, codec.RequestBody{Number: 1, Body: body})
			qt.Assert(t, nextMessage[local.BodyReceived](t, inbox), qt.DeepEquals, local.BodyReceived{ID: run.ID, Body: body})
			replyOK(run)
			qt.Assert(t, readReply(t, stream).Number, qt.Equals, uint64(1))
		}, true},
		{"answered while the daemon stops", pendingSize, func(t *testing.T, task *listen.Task, stream *yamux.Stream, run local.Run, inbox *mail.Box[local.Message]) {
			request(t, stream, run)
			task.Stop()
			time.Sleep(50 * time.Millisecond)
			write(t, stream, codec.RequestBody{Number: 1, Body: body})
			nextMessage[local.BodyReceived](t, inbox)
			replyOK(run)
			qt.Assert(t, readReply(t, stream).Number, qt.Equals, uint64(1))
		}, false},
		{"body that stops", pendingSize, func(t *testing.T, _ *listen.Task, stream *yamux.Stream, run local.Run, inbox *mail.Box[local.Message]) {
			request(t, stream, run)
			_, err := codec.Write(&partWriter{stream, pendingSize / 2}, codec.RequestBody{Number: 1, Body: body}, time.Now())
			qt.Assert(t, err, qt.IsNil)
			qt.Assert(t, nextMessage[local.BodyFailed](t, inbox).ID, qt.Equals, run.ID)
			refuse(run)
			qt.Assert(t, readReply(t, stream).Number, qt.Equals, uint64(1))
		}, false},
		{"body that does not start", pendingSize, func(t *testing.T, _ *listen.Task, stream *yamux.Stream, run local.Run, inbox *mail.Box[local.Message]) {
			request(t, stream, run)
			qt.Assert(t, nextMessage[local.BodyFailed](t, inbox).ID, qt.Equals, run.ID)
			refuse(run)
			qt.Assert(t, readReply(t, stream).Number, qt.Equals, uint64(1))
		}, false},
		{"no memory", pendingSize - 1, func(t *testing.T, _ *listen.Task, stream *yamux.Stream, run local.Run, inbox *mail.Box[local.Message]) {
			qt.Assert(t, run.Pending.Requests.TryPut(run.ID), qt.IsTrue)
			qt.Assert(t, nextMessage[local.BodyFailed](t, inbox).ID, qt.Equals, run.ID)
			refuse(run)
			qt.Assert(t, readReply(t, stream).Number, qt.Equals, uint64(1))
		}, true},
		{"cancelled before the body", pendingSize, func(t *testing.T, _ *listen.Task, stream *yamux.Stream, run local.Run, inbox *mail.Box[local.Message]) {
			request(t, stream, run)
			qt.Assert(t, stream.Close(), qt.IsNil)
			qt.Assert(t, nextMessage[local.Cancel](t, inbox).ID, qt.Equals, run.ID)
		}, false},
		{"body that was not requested", pendingSize, func(t *testing.T, _ *listen.Task, stream *yamux.Stream, run local.Run, inbox *mail.Box[local.Message]) {
			write(t, stream, codec.RequestBody{Number: 1, Body: body})
			qt.Assert(t, nextMessage[local.Cancel](t, inbox).ID, qt.Equals, run.ID)
		}, false},
		{"body of another size", pendingSize, func(t *testing.T, _ *listen.Task, stream *yamux.Stream, run local.Run, inbox *mail.Box[local.Message]) {
			request(t, stream, run)
			write(t, stream, codec.RequestBody{Number: 1, Body: body[1:]})
			qt.Assert(t, nextMessage[local.Cancel](t, inbox).ID, qt.Equals, run.ID)
		}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			q := quota.New(test.memory)
			task, session, inbox := startSession(t, listen.WithQuota(q))
			stream := openStream(t, session)
			writePendingCall(t, stream, 1)
			run := nextMessage[local.Run](t, inbox)
			qt.Assert(t, run.Pending.Size, qt.Equals, pendingSize)
			qt.Assert(t, q.Used(), qt.Equals, 0)
			test.play(t, task, stream, run, inbox)
			for until := time.Now().Add(testTimeout); q.Used() != 0; time.Sleep(time.Millisecond) {
				qt.Assert(t, time.Now().Before(until), qt.IsTrue, qt.Commentf("%d bytes are still reserved", q.Used()))
			}
			if test.reusable {
				writeCall(t, stream, 2)
				replyOK(nextMessage[local.Run](t, inbox))
				qt.Assert(t, readReply(t, stream).Number, qt.Equals, uint64(2))
			}
		})
	}
}

// A partWriter writes the first bytes only.
type partWriter struct {
	*yamux.Stream
	left int
}

func (w *partWriter) Write(b []byte) (int, error) {
	n := min(w.left, len(b))
	w.left -= n
	if _, err := w.Stream.Write(b[:n]); err != nil {
		return 0, err
	}
	return len(b), nil
}
