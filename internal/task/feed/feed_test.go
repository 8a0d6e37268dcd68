package feed

import (
	"context"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/follow"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/fleet/roster"
	"jacinthcross/internal/task/dialer"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/wire/codec"
)

// testTimeout limits waits in tests. It checks no latency.
const testTimeout = 10 * time.Second

// A storeCall is a read of the store that waits for its answer from the test.
type storeCall struct {
	snapshot, stale bool
	after           roster.Revision
	wait            time.Duration
	answer          chan any
}

// A fakeStore passes each read to the test, which answers it with a Snapshot, Changes or an error.
type fakeStore struct{ calls chan storeCall }

func (f *fakeStore) await(ctx context.Context, q storeCall) any {
	q.answer = make(chan any, 1)
	select {
	case f.calls <- q:
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case a := <-q.answer:
		return a
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (f *fakeStore) Snapshot(ctx context.Context, stale bool) (roster.Snapshot, error) {
	switch a := f.await(ctx, storeCall{snapshot: true, stale: stale}).(type) {
	case roster.Snapshot:
		return a, nil
	case func():
		a()
	case error:
		return roster.Snapshot{}, a
	}
	return roster.Snapshot{}, errors.New("the test answered without a snapshot")
}

func (f *fakeStore) Changes(ctx context.Context, after roster.Revision, wait time.Duration) (roster.Changes, error) {
	switch a := f.await(ctx, storeCall{after: after, wait: wait}).(type) {
	case roster.Changes:
		return a, nil
	case error:
		return roster.Changes{}, a
	}
	return roster.Changes{}, errors.New("the test answered without changes")
}

// A harness runs a feed task. The test takes the place of the store and of the dialer task.
type harness struct {
	t           *testing.T
	store       *fakeStore
	inbox       *mail.Box[Message]
	dialerInbox *mail.Box[dialer.Message]
	releases    chan *note.Release
}

func address(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7000)
}

func vm(n byte) ident.VM { return ident.VM(address(n).Addr().String()) }

func newHarness(t *testing.T, own byte) *harness {
	h := &harness{
		t: t, store: &fakeStore{make(chan storeCall)}, inbox: mail.NewBox[Message](64), dialerInbox: mail.NewBox[dialer.Message](64),
		releases: make(chan *note.Release, 64),
	}
	task := New(Config{
		Self:  follow.Peer{VM: vm(own), DataCentre: "d", Region: "r", Daemon: address(own)},
		Inbox: h.inbox, Dialer: h.dialerInbox, StoreReader: h.store,
		Announce: func(r *note.Release) bool {
			h.releases <- r
			return true
		},
	})
	t.Cleanup(func() {
		task.Stop()
		<-task.Done()
	})
	return h
}

// nextStoreCall returns the next read of the store.
func (h *harness) nextStoreCall() storeCall {
	h.t.Helper()
	select {
	case q := <-h.store.calls:
		return q
	case <-time.After(testTimeout):
		h.t.Fatal("the store was not read")
		return storeCall{}
	}
}

// nextPeerCall returns the next request to a peer.
func (h *harness) nextPeerCall() (netip.AddrPort, codec.ChangesRequest, link.Exchange) {
	h.t.Helper()
	select {
	case m := <-h.dialerInbox.C():
		e := m.Message.(link.Exchange)
		return m.Peer, e.Message.(codec.ChangesRequest), e
	case <-time.After(testTimeout):
		h.t.Fatal("no request was sent to a peer")
		return netip.AddrPort{}, codec.ChangesRequest{}, link.Exchange{}
	}
}

func (h *harness) nextRelease() *note.Release {
	h.t.Helper()
	select {
	case r := <-h.releases:
		return r
	case <-time.After(testTimeout):
		h.t.Fatal("no release was announced")
		return nil
	}
}

// registrations returns entries of one target on each of the VMs.
func registrations(revision roster.Revision, vms ...byte) []roster.Change {
	var out []roster.Change
	for _, n := range vms {
		out = append(out, roster.TargetRegistered{Revision: revision, Sequence: 1, Target: note.Target{
			Name: ident.Target("t" + vm(n)), Service: "s", VM: vm(n), DataCentre: "d", Region: "r", Slots: 9, Daemon: address(n),
			Address: netip.AddrPortFrom(address(n).Addr(), 80),
		}})
	}
	return out
}

// readerAndFollower returns the numbers of two VMs, 1 and 2 or 2 and 1: the daemon on the first VM reads the store, and
// the daemon on the second VM reads from that peer.
func readerAndFollower() (reader, follower byte) {
	peers := []follow.Peer{
		{VM: vm(1), DataCentre: "d", Region: "r", Daemon: address(1)}, {VM: vm(2), DataCentre: "d", Region: "r", Daemon: address(2)},
	}
	if follow.PositionOf(peers[0], peers).ReadsStore {
		return 1, 2
	}
	return 2, 1
}

// startedHarness returns a harness whose feed task has read a snapshot with targets on the VMs 1 and 2.
func startedHarness(t *testing.T, own byte) *harness {
	h := newHarness(t, own)
	h.nextStoreCall().answer <- roster.Snapshot{Changes: registrations(3, 1, 2), Revision: 3}
	h.nextRelease()
	return h
}

// Guards against a daemon that keeps an old release after the store has dropped its history, or because the changes are
// too large to be read.
func TestUnreadableChangesCauseFreshSnapshot(t *testing.T) {
	reader, _ := readerAndFollower()
	for _, err := range []error{ErrHistoryGone, ErrChangesTooLarge} {
		t.Run(err.Error(), func(t *testing.T) {
			h := startedHarness(t, reader)
			h.nextStoreCall().answer <- err
			q := h.nextStoreCall()
			qt.Assert(t, q.snapshot, qt.IsTrue)
			qt.Assert(t, q.stale, qt.IsFalse)
			q.answer <- roster.Snapshot{Changes: registrations(9, 1), Revision: 9}
			qt.Assert(t, h.nextRelease().Targets, qt.HasLen, 1)
		})
	}
}

// Guards against a store outage that removes live targets, and against entries that lapsed during the outage and are
// never removed.
func TestOutageKeepsTargets(t *testing.T) {
	reader, _ := readerAndFollower()
	h := startedHarness(t, reader)
	outageStart := time.Now()
	for time.Since(outageStart) < minLapseOutage+200*time.Millisecond {
		select {
		case q := <-h.store.calls:
			q.answer <- errors.New("down")
		case m := <-h.dialerInbox.C():
			m.Message.(link.Exchange).Reply.TryPut(link.Answer{Message: codec.ChangesReply{Changes: roster.Changes{Revision: 3}, StoreUnreachable: true}})
		case <-time.After(time.Second):
		}
	}
	for {
		select {
		case q := <-h.store.calls:
			q.answer <- roster.Changes{Changes: []roster.Change{roster.TargetRemoved{Name: ident.Target("t" + vm(2)), Revision: 4}}, Revision: 4}
		case m := <-h.dialerInbox.C():
			m.Message.(link.Exchange).Reply.TryPut(link.Answer{Message: codec.ChangesReply{Changes: roster.Changes{Revision: 3}, StoreUnreachable: true}})
			continue
		}
		break
	}
	recovered := time.Now()
	for {
		select {
		case q := <-h.store.calls:
			q.answer <- roster.Changes{Revision: 4}
		case r := <-h.releases:
			qt.Assert(t, r.Targets, qt.HasLen, 1)
			qt.Assert(t, time.Since(recovered) >= roster.LapseGrace-100*time.Millisecond, qt.IsTrue, qt.Commentf("after %s", time.Since(recovered)))
			return
		case <-time.After(testTimeout):
			t.Fatal("the entry that lapsed is still there")
		}
	}
}

// Guards against a follower that reads the store although its peer answers, and against a follower that ignores the
// changes of its peer.
func TestFollowerAsksItsPeer(t *testing.T) {
	reader, follower := readerAndFollower()
	h := startedHarness(t, follower)
	peer, request, e := h.nextPeerCall()
	qt.Assert(t, peer, qt.Equals, address(reader))
	qt.Assert(t, request.After, qt.Equals, roster.Revision(3))
	qt.Assert(t, request.Wait, qt.Equals, peerWait)
	e.Reply.TryPut(link.Answer{Message: codec.ChangesReply{Changes: roster.Changes{Changes: registrations(5, 3), Revision: 5}}})
	qt.Assert(t, h.nextRelease().Targets, qt.HasLen, 3)
	_, request, e = h.nextPeerCall()
	qt.Assert(t, request.After, qt.Equals, roster.Revision(5))
	e.Reply.TryPut(link.Answer{Message: codec.ChangesReply{Changes: roster.Changes{Revision: 5}}})
	select {
	case q := <-h.store.calls:
		t.Fatalf("the store was read: %+v", q)
	case <-time.After(100 * time.Millisecond):
	}
}

// Guards against a follower that keeps reading from a peer which cannot reach the store, has old data, is behind, or
// does not answer.
func TestFollowerStopsUsingBadPeer(t *testing.T) {
	_, follower := readerAndFollower()
	for _, test := range []struct {
		name   string
		answer link.Answer
	}{
		{"store unreachable", link.Answer{Message: codec.ChangesReply{Changes: roster.Changes{Revision: 3}, StoreUnreachable: true}}},
		{"too old", link.Answer{Message: codec.ChangesReply{Changes: roster.Changes{Revision: 3}, Age: maxPeerAge + time.Millisecond}}},
		{"behind", link.Answer{Message: codec.ChangesReply{Changes: roster.Changes{Revision: 2}}}},
		{"unreachable", link.Answer{Err: errors.New("refused")}},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := startedHarness(t, follower)
			_, _, e := h.nextPeerCall()
			e.Reply.TryPut(test.answer)
			q := h.nextStoreCall()
			qt.Assert(t, q.snapshot, qt.IsFalse)
			q.answer <- roster.Changes{Changes: registrations(5, 3), Revision: 5}
			qt.Assert(t, h.nextRelease().Targets, qt.HasLen, 3)
		})
	}
}

// Guards against peers that receive a change late, that wait for a daemon which cannot reach the store, or that take old
// data for current data.
func TestPeersAreAnswered(t *testing.T) {
	reader, _ := readerAndFollower()
	send := func(h *harness, after roster.Revision) *mail.Box[codec.ChangesReply] {
		reply := mail.NewBox[codec.ChangesReply](1)
		h.inbox.TryPut(PeerRequest{ChangesRequest: codec.ChangesRequest{After: after, Wait: peerWait}, Reply: reply})
		return reply
	}
	receive := func(t *testing.T, reply *mail.Box[codec.ChangesReply]) codec.ChangesReply {
		select {
		case p := <-reply.C():
			return p
		case <-time.After(testTimeout):
			t.Fatal("no answer")
			return codec.ChangesReply{}
		}
	}
	t.Run("behind", func(t *testing.T) {
		h := startedHarness(t, reader)
		p := receive(t, send(h, 0))
		qt.Assert(t, p.Complete, qt.IsTrue)
		qt.Assert(t, p.Changes.Changes, qt.HasLen, 2)
		qt.Assert(t, p.StoreUnreachable, qt.IsFalse)
	})
	t.Run("as soon as there is a change", func(t *testing.T) {
		h := startedHarness(t, reader)
		q := h.nextStoreCall()
		reply := send(h, 3)
		q.answer <- roster.Changes{Changes: registrations(5, 3), Revision: 5}
		p := receive(t, reply)
		qt.Assert(t, p.Revision, qt.Equals, roster.Revision(5))
		qt.Assert(t, p.Changes.Changes, qt.HasLen, 1)
	})
	t.Run("without a change after the wait", func(t *testing.T) {
		h := startedHarness(t, reader)
		p := receive(t, send(h, 3))
		qt.Assert(t, p.Changes.Changes, qt.HasLen, 0)
		qt.Assert(t, p.StoreUnreachable, qt.IsFalse)
	})
	t.Run("at once when the store is unreachable", func(t *testing.T) {
		h := startedHarness(t, reader)
		q := h.nextStoreCall()
		reply := send(h, 3)
		q.answer <- errors.New("down")
		qt.Assert(t, receive(t, reply).StoreUnreachable, qt.IsTrue)
	})
}

// Guards against a daemon that resumes after a process pause without confirming its release: a ConfirmRequest has to
// replace the read that waits for a change.
func TestConfirmDoesNotWait(t *testing.T) {
	reader, _ := readerAndFollower()
	h := startedHarness(t, reader)
	q := h.nextStoreCall()
	qt.Assert(t, q.wait, qt.Equals, watchWait)
	reply := mail.NewBox[bool](1)
	h.inbox.TryPut(ConfirmRequest{Reply: reply})
	q = h.nextStoreCall()
	qt.Assert(t, q.wait, qt.Equals, time.Duration(0))
	q.answer <- roster.Changes{Revision: 3}
	select {
	case <-reply.C():
	case <-time.After(testTimeout):
		t.Fatal("not confirmed")
	}
}

// Guards against a daemon that cannot reach its sources and ignores the newer revision that other peers report.
func TestNewerRevisionOfPeerIsRead(t *testing.T) {
	reader, _ := readerAndFollower()
	h := startedHarness(t, reader)
	h.nextStoreCall()
	h.inbox.TryPut(RevisionReported{Revision: 9, Peer: address(7)})
	peer, request, e := h.nextPeerCall()
	qt.Assert(t, peer, qt.Equals, address(7))
	qt.Assert(t, request.Wait, qt.Equals, time.Duration(0))
	e.Reply.TryPut(link.Answer{Message: codec.ChangesReply{Changes: roster.Changes{Changes: registrations(9, 3), Revision: 9}}})
	r := h.nextRelease()
	qt.Assert(t, r.Targets, qt.HasLen, 3)
	var names []string
	for name := range r.Targets {
		names = append(names, string(name))
	}
	slices.Sort(names)
	qt.Assert(t, names, qt.DeepEquals, []string{"t10.0.0.1", "t10.0.0.2", "t10.0.0.3"})
}
