package listen_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/clock"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/wire/codec"
)

// Guards against a call that waited on a slow link and then runs after its caller has left, since its deadline counts from
// its arrival.
func TestDelayOnTheLinkCounts(t *testing.T) {
	for _, test := range []struct {
		name  string
		delay time.Duration
	}{
		{"a call without delay", 0},
		{"a call that waited on the link", 700 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, session, inbox := startSession(t)
			stream := openStream(t, session)
			send := func(delay time.Duration) local.Run {
				now := time.Now()
				write(t, stream, codec.Call{Target: "a", Sent: clock.SinceBoot() - delay, Request: call.Request{
					Service: "a", Method: "GET", URI: "/", Rank: ident.Normal, Deadline: now.Add(testTimeout), SoftDeadline: now.Add(testTimeout), HoldUntil: now.Add(testTimeout),
				}})
				r := nextMessage[local.Run](t, inbox)
				r.Reply.TryPut(call.Result{Attempt: r.ID, Outcome: call.Answered{Status: 200}})
				readReply(t, stream)
				return r
			}
			send(0)
			before := time.Now()
			got := send(test.delay)
			for _, at := range []time.Time{got.Request.Deadline, got.Request.SoftDeadline, got.Request.HoldUntil} {
				// The measured delay is that beyond the delay of the first call.
				qt.Check(t, at.Before(time.Now().Add(testTimeout-test.delay/2)), qt.IsTrue)
				qt.Check(t, at.After(before.Add(testTimeout/2-test.delay)), qt.IsTrue)
			}
		})
	}
}
