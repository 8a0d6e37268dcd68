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

// TestUnconfirmed guards against bookings that run before the release was compared with peers, and
// against bookings that fail because the daemon beside their target has just started.
func TestUnconfirmed(t *testing.T) {
	post := func(key string) call.Request {
		return call.Request{Method: http.MethodPost, Body: []byte("book"), Key: key}
	}
	tests := []struct {
		name     string
		end      func(b *bench, target note.Target, held call.ID)
		deadline time.Duration
		want     string // of the held call
		runs     int64
	}{
		{
			"confirmed", func(b *bench, _ note.Target, _ call.ID) { b.inbox.Put(Confirmed{}, nil) },
			time.Minute, `Answered 200 "book"`, 1,
		},
		{
			"confirmed after the caller has gone", func(b *bench, _ note.Target, held call.ID) {
				b.inbox.Put(Cancel{ID: held}, nil)
				b.inbox.Put(Confirmed{}, nil)
			},
			time.Minute, "Refused CallerGone", 0,
		},
		{
			"withdrawn by a newer release", func(b *bench, _ note.Target, _ call.ID) {
				b.release(note.Target{})
				b.inbox.Put(Confirmed{}, nil)
			},
			time.Minute, "Refused Withdrawn", 0,
		},
		{
			"another target by a newer release", func(b *bench, target note.Target, _ call.ID) {
				target.Name = "b2"
				b.release(target)
				b.inbox.Put(Confirmed{}, nil)
			},
			time.Minute, "Refused Withdrawn", 0,
		},
		{
			"stopped as planned", func(b *bench, _ note.Target, _ call.ID) { b.inbox.Put(Drain{Empty: make(chan struct{})}, nil) },
			time.Minute, "Refused Draining", 0,
		},
		{"never confirmed", func(*bench, note.Target, call.ID) {}, 500 * time.Millisecond, "Refused DeadlineExceeded", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			target := newRawTarget(t, "127.0.0.1:0", answerOK)
			place := note.Target{Name: "b1", Address: target.address()}
			b := newBench(t, place, WithConfirmation())
			request := post(b.key())
			request.Deadline = time.Now().Add(test.deadline)
			reply, id := b.send(request)
			b.load()
			qt.Assert(t, target.runs.Load(), qt.Equals, int64(0))
			test.end(b, place, id)
			qt.Assert(t, summary(b.wait(reply)), qt.Equals, test.want)
			b.load()
			qt.Assert(t, target.runs.Load(), qt.Equals, test.runs)
		})
	}
}

// TestHeldCalls guards against memory without bound for calls that wait, and against a resend that
// takes a place or runs beside its first send.
func TestHeldCalls(t *testing.T) {
	target := newRawTarget(t, "127.0.0.1:0", answerOK)
	b := newBench(t, note.Target{Name: "b1", Address: target.address(), Slots: 2 * maxHeld}, WithConfirmation())
	send := func(key string) *mail.Box[call.Result] {
		reply, _ := b.send(call.Request{Method: http.MethodPost, Key: key, Deadline: time.Now().Add(time.Minute)})
		return reply
	}
	var held []*mail.Box[call.Result]
	first := b.key()
	held = append(held, send(first))
	for range maxHeld - 1 {
		held = append(held, send(b.key()))
	}
	held = append(held, send(first))
	qt.Assert(t, summary(b.wait(send(b.key()))), qt.Equals, "Refused Unconfirmed")
	b.inbox.Put(Confirmed{}, nil)
	for _, reply := range held {
		qt.Assert(t, summary(b.wait(reply)), qt.Equals, `Answered 200 ""`)
	}
	qt.Assert(t, target.runs.Load(), qt.Equals, int64(maxHeld))
}
