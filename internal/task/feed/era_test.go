package feed

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/fleet/roster"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/wire/codec"
)

// restored is the state of era 1 after the restore: it has one target more, at a revision below that of startedHarness.
func restored() roster.Changes {
	return roster.Changes{Changes: registrations(1, 1, 2, 3), Revision: 2, Era: 1}
}

// nextSnapshotCall returns the next read of a snapshot. Reads of changes before it were in progress.
func (h *harness) nextSnapshotCall() storeCall {
	h.t.Helper()
	for {
		if q := h.nextStoreCall(); q.snapshot {
			return q
		}
	}
}

func (h *harness) assertRestored(r *note.Release) {
	h.t.Helper()
	qt.Assert(h.t, r.Head, qt.Equals, ident.Head{Serial: 2, Era: 1})
	qt.Assert(h.t, r.Targets, qt.HasLen, 3)
}

// Guards against a daemon that does not learn from the store, or from a daemon that asks it, that the store was restored,
// and against one that takes state of the older era for that of the newer one.
func TestReaderFollowsRestoredStore(t *testing.T) {
	reader, _ := readerAndFollower()
	ask := func(h *harness) {
		h.inbox.TryPut(PeerRequest{ChangesRequest: codec.ChangesRequest{Era: 1, After: 2}, Reply: mail.NewBox[codec.ChangesReply](1)})
	}
	for _, test := range []struct {
		name    string
		restore func(*harness)
	}{
		{"a watch ends with a higher revision", func(h *harness) {
			h.nextStoreCall().answer <- roster.Changes{Changes: registrations(5, 9), Revision: 5, Era: 1}
		}},
		{"a watch ends with a lower revision", func(h *harness) { h.nextStoreCall().answer <- roster.Changes{Revision: 2, Era: 1} }},
		{"a watch ends with status 410", func(h *harness) { h.nextStoreCall().answer <- ErrHistoryGone }},
		{"a peer of the newer era asks", ask},
		{"a stale replica answers", func(h *harness) {
			ask(h)
			h.nextSnapshotCall().answer <- roster.Snapshot{Changes: registrations(5, 9), Revision: 5}
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := startedHarness(t, reader)
			test.restore(h)
			// A reader that was answered by a stale replica may also ask a peer.
			var q storeCall
			for !q.snapshot {
				select {
				case q = <-h.store.calls:
				case m := <-h.dialerInbox.C():
					m.Message.(link.Exchange).Reply.TryPut(link.Answer{Message: codec.ChangesReply{Changes: roster.Changes{Revision: 3}}})
				}
			}
			qt.Assert(t, q.stale, qt.IsFalse)
			q.answer <- roster.Snapshot(restored())
			h.assertRestored(h.nextRelease())
		})
	}
}

// Guards against changes of the newer era that are missed: the answer to a check of the store that was sent in the older era
// has the changes after a revision of that era, and the daemon has learnt of the newer era from its peer meanwhile.
func TestCheckSentInOlderEra(t *testing.T) {
	_, follower := readerAndFollower()
	h := startedHarness(t, follower)
	_, _, e := h.nextPeerCall()
	check := h.nextStoreCall()
	qt.Assert(t, check.after, qt.Equals, roster.Revision(3))
	e.Reply.TryPut(link.Answer{Message: codec.ChangesReply{Changes: restored(), Complete: true}})
	h.assertRestored(h.nextRelease())
	check.answer <- roster.Changes{Changes: registrations(5, 9), Revision: 5, Era: 1}
	// The next check starts after the answer to this one has been handled.
	qt.Assert(t, h.nextStoreCall().after, qt.Equals, roster.Revision(2))
	qt.Assert(t, h.releases, qt.HasLen, 0)
}

// Guards against daemons of different eras that do not end up in the newer one.
func TestPeersOfOtherEras(t *testing.T) {
	reader, follower := readerAndFollower()
	t.Run("the peer that is asked is in the newer era", func(t *testing.T) {
		h := startedHarness(t, follower)
		_, request, e := h.nextPeerCall()
		qt.Assert(t, request.Era, qt.Equals, roster.Era(0))
		e.Reply.TryPut(link.Answer{Message: codec.ChangesReply{Changes: restored(), Complete: true}})
		h.assertRestored(h.nextRelease())
		_, request, _ = h.nextPeerCall()
		qt.Assert(t, request.Era, qt.Equals, roster.Era(1))
		qt.Assert(t, request.After, qt.Equals, roster.Revision(2))
	})
	t.Run("a peer reports a lower revision of the newer era", func(t *testing.T) {
		h := startedHarness(t, reader)
		h.nextStoreCall()
		h.inbox.TryPut(RevisionReported{Era: 1, Revision: 2, Peer: address(7)})
		peer, request, e := h.nextPeerCall()
		qt.Assert(t, peer, qt.Equals, address(7))
		qt.Assert(t, request.Era, qt.Equals, roster.Era(0))
		e.Reply.TryPut(link.Answer{Message: codec.ChangesReply{Changes: restored(), Complete: true}})
		h.assertRestored(h.nextRelease())
	})
	t.Run("the peer that is asked is in the older era", func(t *testing.T) {
		h := newHarness(t, follower)
		h.nextStoreCall().answer <- roster.Snapshot(restored())
		h.assertRestored(h.nextRelease())
		_, _, e := h.nextPeerCall()
		e.Reply.TryPut(link.Answer{Message: codec.ChangesReply{Changes: roster.Changes{Changes: registrations(5, 9), Revision: 5}}})
		q := h.nextStoreCall()
		qt.Assert(t, q.after, qt.Equals, roster.Revision(2))
		q.answer <- roster.Changes{Changes: registrations(3, 4), Revision: 3, Era: 1}
		r := h.nextRelease()
		qt.Assert(t, r.Head, qt.Equals, ident.Head{Serial: 3, Era: 1})
		qt.Assert(t, r.Targets, qt.HasLen, 4)
	})
	t.Run("a peer of the older era asks", func(t *testing.T) {
		h := newHarness(t, reader)
		h.nextStoreCall().answer <- roster.Snapshot(restored())
		h.nextRelease()
		reply := mail.NewBox[codec.ChangesReply](1)
		h.inbox.TryPut(PeerRequest{ChangesRequest: codec.ChangesRequest{After: 30, Wait: peerWait}, Reply: reply})
		p := <-reply.C()
		qt.Assert(t, p.Complete, qt.IsTrue)
		qt.Assert(t, p.Era, qt.Equals, roster.Era(1))
		qt.Assert(t, p.Changes.Changes, qt.HasLen, 3)
	})
}
