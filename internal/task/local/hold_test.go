package local

import (
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/note"
)

// Guards against running calls with keys before the release has been confirmed with peers, and against failing them
// because the daemon of their target has just started.
func TestUnconfirmedRelease(t *testing.T) {
	post := func(key string) call.Request {
		return call.Request{Method: http.MethodPost, Body: []byte("book"), Key: key}
	}
	tests := []struct {
		name     string
		end      func(f *fixture, target note.Target, held call.ID)
		deadline time.Duration
		want     string // the outcome of the held call
		runs     int64
	}{
		{
			"confirmed", func(f *fixture, _ note.Target, _ call.ID) { f.inbox.Put(ReleaseConfirmed{}, nil) },
			time.Minute, `Answered 200 "book"`, 1,
		},
		{
			"confirmed after the caller has gone", func(f *fixture, _ note.Target, held call.ID) {
				f.inbox.Put(Cancel{ID: held}, nil)
				f.inbox.Put(ReleaseConfirmed{}, nil)
			},
			time.Minute, "Refused CallerGone", 0,
		},
		{
			"withdrawn by a newer release", func(f *fixture, _ note.Target, _ call.ID) {
				f.putRelease(note.Target{})
				f.inbox.Put(ReleaseConfirmed{}, nil)
			},
			time.Minute, "Refused Withdrawn", 0,
		},
		{
			"another target by a newer release", func(f *fixture, target note.Target, _ call.ID) {
				target.Name = "b2"
				f.putRelease(target)
				f.inbox.Put(ReleaseConfirmed{}, nil)
			},
			time.Minute, "Refused Withdrawn", 0,
		},
		{
			"stopped as planned", func(f *fixture, _ note.Target, _ call.ID) { f.inbox.Put(Drain{Drained: make(chan struct{})}, nil) },
			time.Minute, "Refused Draining", 0,
		},
		{"never confirmed", func(*fixture, note.Target, call.ID) {}, 500 * time.Millisecond, "Refused DeadlineExceeded", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			target := newRawTarget(t, "127.0.0.1:0", answerOK)
			configured := note.Target{Name: "b1", Address: target.address()}
			f := startFixture(t, configured, WithUnconfirmedRelease())
			request := post(f.key())
			request.Deadline = time.Now().Add(test.deadline)
			reply, id := f.send(request)
			f.load()
			qt.Assert(t, target.runs.Load(), qt.Equals, int64(0))
			test.end(f, configured, id)
			qt.Assert(t, summary(f.wait(reply)), qt.Equals, test.want)
			f.load()
			qt.Assert(t, target.runs.Load(), qt.Equals, test.runs)
		})
	}
}

// Guards against unbounded memory for held calls, and against a resend that counts towards the limit or runs in
// addition to the first send.
func TestHeldCalls(t *testing.T) {
	target := newRawTarget(t, "127.0.0.1:0", answerOK)
	f := startFixture(t, note.Target{Name: "b1", Address: target.address(), Slots: 2 * maxHeldCalls}, WithUnconfirmedRelease())
	send := func(key string) *mail.Box[call.Result] {
		reply, _ := f.send(call.Request{Method: http.MethodPost, Key: key, Deadline: time.Now().Add(time.Minute)})
		return reply
	}
	var held []*mail.Box[call.Result]
	first := f.key()
	held = append(held, send(first))
	for range maxHeldCalls - 1 {
		held = append(held, send(f.key()))
	}
	held = append(held, send(first))
	qt.Assert(t, summary(f.wait(send(f.key()))), qt.Equals, "Refused Unconfirmed")
	f.inbox.Put(ReleaseConfirmed{}, nil)
	for _, reply := range held {
		qt.Assert(t, summary(f.wait(reply)), qt.Equals, `Answered 200 ""`)
	}
	qt.Assert(t, target.runs.Load(), qt.Equals, int64(maxHeldCalls))
}
