package feed

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/fleet/roster"
	"jacinthcross/internal/task/dialer"
)

// Guards against a daemon that starts calls in a data centre that was evacuated while the daemon was frozen: the read that
// confirms its state brings the evacuation, so the confirmation must not overtake the release.
func TestReleasePrecedesConfirmation(t *testing.T) {
	store := &fakeStore{make(chan storeCall)}
	evacuated := roster.Snapshot{Changes: append(registrations(3, 1, 2), roster.DataCentreEvacuated{DataCentre: "d", Revision: 4}), Revision: 4}
	inbox := mail.NewBox[Message](64)
	reply := mail.NewBox[bool](1)
	refusals := 0
	announced := make(chan map[ident.DataCentre]bool, 8)
	task := New(Config{
		Inbox: inbox, Dialer: mail.NewBox[dialer.Message](64), StoreReader: store,
		Announce: func(r *note.Release) bool {
			// The mailbox of a task is full twice.
			if refusals++; refusals <= 2 {
				return false
			}
			announced <- r.Evacuated
			return true
		},
	})
	t.Cleanup(func() {
		task.Stop()
		<-task.Done()
	})
	// The request precedes the answer in the mailbox.
	q := <-store.calls
	inbox.TryPut(ConfirmRequest{Reply: reply})
	q.answer <- evacuated
	go func() {
		for q := range store.calls {
			q.answer <- evacuated
		}
	}()
	select {
	case <-reply.C():
	case <-time.After(testTimeout):
		t.Fatal("not confirmed")
	}
	qt.Assert(t, announced, qt.HasLen, 1)
	qt.Assert(t, <-announced, qt.DeepEquals, map[ident.DataCentre]bool{"d": true})
}
