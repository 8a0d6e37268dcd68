package listen_test

import (
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/task/listen"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/wire/codec"
)

// Guards against an unexpected error in the handling of one message of a peer that ends the process.
func TestPanicClosesOneSession(t *testing.T) {
	for _, test := range []struct {
		name string
		// earlier is the number of calls on the stream before the one whose handling fails.
		earlier int
	}{
		{"first message of a stream", 0},
		{"later call of a stream", 1},
	} {
		t.Run(test.name, func(t *testing.T) {
			var armed atomic.Bool
			task, session, inbox := startSession(t, listen.WithArrivalTimeFunc(func(read time.Time) (time.Time, bool) {
				if armed.Load() {
					panic("test")
				}
				return read, true
			}))
			stream := openStream(t, session)
			for n := range test.earlier {
				writeCall(t, stream, uint64(n))
				r := nextMessage[local.Run](t, inbox)
				r.Reply.TryPut(call.Result{Attempt: r.ID, Outcome: call.Answered{Status: 200}})
				readReply(t, stream)
			}
			armed.Store(true)
			// The server closes the session as soon as it reads the first bytes of the call, which may be before the write
			// has returned.
			err := tryWriteCall(stream, 7, 0)
			if err == nil {
				_, _, err = codec.Read(stream, 1<<20, time.Now)
			}
			qt.Assert(t, err, qt.IsNotNil)
			armed.Store(false)
			again := dialSession(t, task)
			next := openStream(t, again)
			writeCall(t, next, 8)
			r := nextMessage[local.Run](t, inbox)
			r.Reply.TryPut(call.Result{Attempt: r.ID, Outcome: call.Answered{Status: 200}})
			qt.Assert(t, readReply(t, next).Number, qt.Equals, uint64(8))
		})
	}
}
