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
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/links"
	"jacinthcross/internal/wire/codec"
)

// patience bounds waits in tests. It is no verdict on speed.
const patience = 10 * time.Second

// A question is a call of the store that waits for its answer.
type question struct {
	whole, stale bool
	after        roster.Revision
	wait         time.Duration
	answer       chan any
}

// A fakeStore passes each call to the test, which answers it with a Snapshot, Changes or an error.
type fakeStore struct{ questions chan question }

func (f *fakeStore) ask(ctx context.Context, q question) any {
	q.answer = make(chan any, 1)
	select {
	case f.questions <- q:
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
	switch a := f.ask(ctx, question{whole: true, stale: stale}).(type) {
	case roster.Snapshot:
		return a, nil
	case error:
		return roster.Snapshot{}, a
	}
	return roster.Snapshot{}, errors.New("no snapshot")
}

func (f *fakeStore) Changes(ctx context.Context, after roster.Revision, wait time.Duration) (roster.Changes, error) {
	switch a := f.ask(ctx, question{after: after, wait: wait}).(type) {
	case roster.Changes:
		return a, nil
	case error:
		return roster.Changes{}, a
	}
	return roster.Changes{}, errors.New("no changes")
}

// A bench runs a feed whose store and links the test answers.
type bench struct {
	t        *testing.T
	store    *fakeStore
	inbox    *mail.Box[Message]
	links    *mail.Box[links.Message]
	releases chan *note.Release
}

func address(n byte) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, n}), 7000)
}

func vm(n byte) ident.VM { return ident.VM(address(n).Addr().String()) }

func newBench(t *testing.T, own byte) *bench {
	b := &bench{
		t: t, store: &fakeStore{make(chan question)}, inbox: mail.NewBox[Message](64), links: mail.NewBox[links.Message](64),
		releases: make(chan *note.Release, 64),
	}
	task := New(Config{
		Own:   follow.Peer{VM: vm(own), DataCentre: "d", Region: "r", Daemon: address(own)},
		Inbox: b.inbox, Links: b.links, Source: b.store,
		Announce: func(r *note.Release) bool {
			b.releases <- r
			return true
		},
	})
	t.Cleanup(func() {
		task.Stop()
		<-task.Done()
	})
	return b
}

// question returns the next call of the store.
func (b *bench) question() question {
	b.t.Helper()
	select {
	case q := <-b.store.questions:
		return q
	case <-time.After(patience):
		b.t.Fatal("the store was not asked")
		return question{}
	}
}

// asked returns the next question to a peer.
func (b *bench) asked() (netip.AddrPort, codec.Ask, link.Exchange) {
	b.t.Helper()
	select {
	case m := <-b.links.C():
		e := m.Message.(link.Exchange)
		return m.Peer, e.Message.(codec.Ask), e
	case <-time.After(patience):
		b.t.Fatal("no peer was asked")
		return netip.AddrPort{}, codec.Ask{}, link.Exchange{}
	}
}

func (b *bench) release() *note.Release {
	b.t.Helper()
	select {
	case r := <-b.releases:
		return r
	case <-time.After(patience):
		b.t.Fatal("no release was announced")
		return nil
	}
}

// on returns the entries of targets on the VMs.
func on(revision roster.Revision, vms ...byte) []roster.Change {
	var out []roster.Change
	for _, n := range vms {
		out = append(out, roster.Registered{Revision: revision, Sequence: 1, Target: note.Target{
			Name: ident.Target("t" + vm(n)), Service: "s", VM: vm(n), DataCentre: "d", Region: "r", Slots: 9, Daemon: address(n),
			Address: netip.AddrPortFrom(address(n).Addr(), 80),
		}})
	}
	return out
}

// reader returns the VM among 1 and 2 that reads the store, and the other.
func reader() (reads, asks byte) {
	peers := []follow.Peer{
		{VM: vm(1), DataCentre: "d", Region: "r", Daemon: address(1)}, {VM: vm(2), DataCentre: "d", Region: "r", Daemon: address(2)},
	}
	if follow.PlaceOf(peers[0], peers).Reads {
		return 1, 2
	}
	return 2, 1
}

// started returns a bench whose feed has read the store once, with targets on the VMs 1 and 2.
func started(t *testing.T, own byte) *bench {
	b := newBench(t, own)
	b.question().answer <- roster.Snapshot{Changes: on(3, 1, 2), Revision: 3}
	b.release()
	return b
}

// Guards against a history that was dropped and leaves the daemon with an old release.
func TestDroppedHistoryIsReadAgain(t *testing.T) {
	reads, _ := reader()
	b := started(t, reads)
	b.question().answer <- error(ErrHistoryGone)
	q := b.question()
	qt.Assert(t, q.whole, qt.IsTrue)
	qt.Assert(t, q.stale, qt.IsFalse)
	q.answer <- roster.Snapshot{Changes: on(9, 1), Revision: 9}
	qt.Assert(t, b.release().Targets, qt.HasLen, 1)
}

// Guards against an outage that takes targets away which live, and against one that is never over.
func TestOutageKeepsTargets(t *testing.T) {
	reads, _ := reader()
	b := started(t, reads)
	down := time.Now()
	for time.Since(down) < interruption+200*time.Millisecond {
		select {
		case q := <-b.store.questions:
			q.answer <- errors.New("down")
		case m := <-b.links.C():
			m.Message.(link.Exchange).Reply.TryPut(link.Answer{Message: codec.Published{Changes: roster.Changes{Revision: 3}, Lost: true}})
		case <-time.After(time.Second):
		}
	}
	for {
		select {
		case q := <-b.store.questions:
			q.answer <- roster.Changes{Changes: []roster.Change{roster.Removed{Name: ident.Target("t" + vm(2)), Revision: 4}}, Revision: 4}
		case m := <-b.links.C():
			m.Message.(link.Exchange).Reply.TryPut(link.Answer{Message: codec.Published{Changes: roster.Changes{Revision: 3}, Lost: true}})
			continue
		}
		break
	}
	back := time.Now()
	for {
		select {
		case q := <-b.store.questions:
			q.answer <- roster.Changes{Revision: 4}
		case r := <-b.releases:
			qt.Assert(t, r.Targets, qt.HasLen, 1)
			qt.Assert(t, time.Since(back) >= roster.LapseGrace-100*time.Millisecond, qt.IsTrue, qt.Commentf("after %s", time.Since(back)))
			return
		case <-time.After(patience):
			t.Fatal("the entry that lapsed is still there")
		}
	}
}

// Guards against daemons that read the store although a peer tells them what it holds, and against changes that
// a peer knows and that are not taken.
func TestFollowerAsksItsPeer(t *testing.T) {
	reads, asks := reader()
	b := started(t, asks)
	peer, ask, e := b.asked()
	qt.Assert(t, peer, qt.Equals, address(reads))
	qt.Assert(t, ask.After, qt.Equals, roster.Revision(3))
	qt.Assert(t, ask.Wait, qt.Equals, peerWait)
	e.Reply.TryPut(link.Answer{Message: codec.Published{Changes: roster.Changes{Changes: on(5, 3), Revision: 5}}})
	qt.Assert(t, b.release().Targets, qt.HasLen, 3)
	_, ask, e = b.asked()
	qt.Assert(t, ask.After, qt.Equals, roster.Revision(5))
	e.Reply.TryPut(link.Answer{Message: codec.Published{Changes: roster.Changes{Revision: 5}}})
	select {
	case q := <-b.store.questions:
		t.Fatalf("the store was asked: %+v", q)
	case <-time.After(100 * time.Millisecond):
	}
}

// Guards against a follower that stays behind a peer which has lost the store, is too old, or does not answer.
func TestFollowerLeavesLostPeer(t *testing.T) {
	_, asks := reader()
	for _, test := range []struct {
		name   string
		answer link.Answer
	}{
		{"lost", link.Answer{Message: codec.Published{Changes: roster.Changes{Revision: 3}, Lost: true}}},
		{"too old", link.Answer{Message: codec.Published{Changes: roster.Changes{Revision: 3}, Age: maxAge + time.Millisecond}}},
		{"behind", link.Answer{Message: codec.Published{Changes: roster.Changes{Revision: 2}}}},
		{"unreachable", link.Answer{Err: errors.New("refused")}},
	} {
		t.Run(test.name, func(t *testing.T) {
			b := started(t, asks)
			_, _, e := b.asked()
			e.Reply.TryPut(test.answer)
			q := b.question()
			qt.Assert(t, q.whole, qt.IsFalse)
			q.answer <- roster.Changes{Changes: on(5, 3), Revision: 5}
			qt.Assert(t, b.release().Targets, qt.HasLen, 3)
		})
	}
}

// Guards against peers that learn of a change late, that wait at a daemon which has lost the store, or that
// take an old state for a new one.
func TestPeersAreAnswered(t *testing.T) {
	reads, _ := reader()
	ask := func(b *bench, after roster.Revision) *mail.Box[codec.Published] {
		reply := mail.NewBox[codec.Published](1)
		b.inbox.TryPut(Ask{Ask: codec.Ask{After: after, Wait: peerWait}, Reply: reply})
		return reply
	}
	receive := func(t *testing.T, reply *mail.Box[codec.Published]) codec.Published {
		select {
		case p := <-reply.C():
			return p
		case <-time.After(patience):
			t.Fatal("no answer")
			return codec.Published{}
		}
	}
	t.Run("behind", func(t *testing.T) {
		b := started(t, reads)
		p := receive(t, ask(b, 0))
		qt.Assert(t, p.Whole, qt.IsTrue)
		qt.Assert(t, p.Changes.Changes, qt.HasLen, 2)
		qt.Assert(t, p.Lost, qt.IsFalse)
	})
	t.Run("as soon as there is a change", func(t *testing.T) {
		b := started(t, reads)
		q := b.question()
		reply := ask(b, 3)
		q.answer <- roster.Changes{Changes: on(5, 3), Revision: 5}
		p := receive(t, reply)
		qt.Assert(t, p.Revision, qt.Equals, roster.Revision(5))
		qt.Assert(t, p.Changes.Changes, qt.HasLen, 1)
	})
	t.Run("without a change after the wait", func(t *testing.T) {
		b := started(t, reads)
		p := receive(t, ask(b, 3))
		qt.Assert(t, p.Changes.Changes, qt.HasLen, 0)
		qt.Assert(t, p.Lost, qt.IsFalse)
	})
	t.Run("at once when the store is lost", func(t *testing.T) {
		b := started(t, reads)
		q := b.question()
		reply := ask(b, 3)
		q.answer <- errors.New("down")
		qt.Assert(t, receive(t, reply).Lost, qt.IsTrue)
	})
}

// Guards against a daemon that goes on after a pause without comparing what it knows.
func TestConfirmDoesNotWait(t *testing.T) {
	reads, _ := reader()
	b := started(t, reads)
	q := b.question()
	qt.Assert(t, q.wait, qt.Equals, watchWait)
	reply := mail.NewBox[bool](1)
	b.inbox.TryPut(Confirm{Reply: reply})
	q = b.question()
	qt.Assert(t, q.wait, qt.Equals, time.Duration(0))
	q.answer <- roster.Changes{Revision: 3}
	select {
	case <-reply.C():
	case <-time.After(patience):
		t.Fatal("not confirmed")
	}
}

// Guards against a daemon that is cut off from its sources and learns nothing from the peers that answer its calls.
func TestPeerThatIsAheadIsAsked(t *testing.T) {
	reads, _ := reader()
	b := started(t, reads)
	b.question()
	b.inbox.TryPut(HeadSeen{Revision: 9, Peer: address(7)})
	peer, ask, e := b.asked()
	qt.Assert(t, peer, qt.Equals, address(7))
	qt.Assert(t, ask.Wait, qt.Equals, time.Duration(0))
	e.Reply.TryPut(link.Answer{Message: codec.Published{Changes: roster.Changes{Changes: on(9, 3), Revision: 9}}})
	r := b.release()
	qt.Assert(t, r.Targets, qt.HasLen, 3)
	var names []string
	for name := range r.Targets {
		names = append(names, string(name))
	}
	slices.Sort(names)
	qt.Assert(t, names, qt.DeepEquals, []string{"t10.0.0.1", "t10.0.0.2", "t10.0.0.3"})
}
