package listen_test

import (
	"bytes"
	"io"
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

func write(t *testing.T, s io.Writer, m codec.Message) {
	t.Helper()
	_, err := codec.Write(s, m, time.Now())
	qt.Assert(t, err, qt.IsNil)
}

func writePendingCall(t *testing.T, s *yamux.Stream, number uint64) {
	write(t, s, codec.Call{Target: "a", Number: number, BodySize: pendingSize, Request: call.Request{
		Service: "a", Method: "POST", URI: "/", Rank: ident.Normal, Deadline: time.Now().Add(testTimeout),
	}})
}

// A pendingCall is a call that a test handles as the local task.
type pendingCall struct {
	*testing.T
	task   *listen.Task
	stream *yamux.Stream
	run    local.Run
	inbox  *mail.Box[local.Message]
}

// request requests the body.
func (c pendingCall) request() {
	qt.Assert(c, c.run.Pending.Requests.TryPut(c.run.ID), qt.IsTrue)
	m, _, err := codec.Read(c.stream, 1<<20, time.Now)
	qt.Assert(c, err, qt.IsNil)
	qt.Assert(c, m, qt.Equals, codec.Message(codec.BodyRequest{Number: 1}))
}

func (c pendingCall) refuse() {
	c.run.Reply.TryPut(call.Result{Attempt: c.run.ID, Outcome: call.Refused{Kind: errs.Busy}})
	qt.Assert(c, readReply(c.T, c.stream).Number, qt.Equals, uint64(1))
}

func (c pendingCall) answer() {
	replyOK(c.run)
	qt.Assert(c, readReply(c.T, c.stream).Number, qt.Equals, uint64(1))
}

func (c pendingCall) expectFailed() {
	qt.Assert(c, nextMessage[local.BodyFailed](c.T, c.inbox).ID, qt.Equals, c.run.ID)
}

func (c pendingCall) expectCancel() {
	qt.Assert(c, nextMessage[local.Cancel](c.T, c.inbox).ID, qt.Equals, c.run.ID)
}

// Guards against bodies that are sent for calls that are refused, against calls that run with a part of their body, against
// slots of the target that are held for a body that does not arrive, and against memory that is not reserved or not
// released.
func TestPendingBody(t *testing.T) {
	body := make([]byte, pendingSize)
	for _, test := range []struct {
		name   string
		memory int
		play   func(c pendingCall)
		// reusable is true if the stream then carries another call.
		reusable bool
	}{
		{"refused before the body", pendingSize, func(c pendingCall) { c.refuse() }, true},
		{"answered", pendingSize, func(c pendingCall) {
			c.request()
			write(c.T, c.stream, codec.RequestBody{Number: 1, Body: body})
			qt.Assert(c, nextMessage[local.BodyReceived](c.T, c.inbox), qt.DeepEquals, local.BodyReceived{ID: c.run.ID, Body: body})
			c.answer()
		}, true},
		{"answered while the daemon stops", pendingSize, func(c pendingCall) {
			c.request()
			c.task.Stop()
			time.Sleep(50 * time.Millisecond)
			write(c.T, c.stream, codec.RequestBody{Number: 1, Body: body})
			nextMessage[local.BodyReceived](c.T, c.inbox)
			c.answer()
		}, false},
		{"body that stops", pendingSize, func(c pendingCall) {
			c.request()
			var whole bytes.Buffer
			write(c.T, &whole, codec.RequestBody{Number: 1, Body: body})
			_, err := c.stream.Write(whole.Next(pendingSize / 2))
			qt.Assert(c, err, qt.IsNil)
			c.expectFailed()
			c.refuse()
		}, false},
		{"body that does not start", pendingSize, func(c pendingCall) {
			c.request()
			c.expectFailed()
			c.refuse()
		}, false},
		{"no memory", pendingSize - 1, func(c pendingCall) {
			qt.Assert(c, c.run.Pending.Requests.TryPut(c.run.ID), qt.IsTrue)
			c.expectFailed()
			c.refuse()
		}, true},
		{"cancelled before the body", pendingSize, func(c pendingCall) {
			c.request()
			qt.Assert(c, c.stream.Close(), qt.IsNil)
			c.expectCancel()
		}, false},
		{"body that was not requested", pendingSize, func(c pendingCall) {
			write(c.T, c.stream, codec.RequestBody{Number: 1, Body: body})
			c.expectCancel()
		}, false},
		{"body of another size", pendingSize, func(c pendingCall) {
			c.request()
			write(c.T, c.stream, codec.RequestBody{Number: 1, Body: body[1:]})
			c.expectCancel()
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
			test.play(pendingCall{t, task, stream, run, inbox})
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
