package watch_test

import (
	"crypto/sha256"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/fleet/relay"
	"jacinthcross/internal/task/dialer"
	"jacinthcross/internal/task/gossip"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/watch"
	"jacinthcross/internal/wire/codec"
)

// Guards against a note that a reachable daemon never gets although the service works, and against a number of
// daemons that watch the service other than WatchersPerDataCentre for each data centre.
func TestNoteReachesAll(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	f := newFleet(t, 20)
	f.service.publish(targetsNote(20))
	f.awaitSerial(t, 1, 20*time.Second)
	time.Sleep(200 * time.Millisecond)
	reads := f.service.reads.Load()
	took := f.awaitSerial(t, 1, time.Second)
	for n := 2; n <= 6; n++ {
		f.service.publish(extraService(n))
		took = max(took, f.awaitSerial(t, uint64(n), 20*time.Second))
	}
	t.Logf("slowest of 5 notes %s, %d reads of the service for them", took, f.service.reads.Load()-reads)
	began, most := time.Now(), int64(0)
	for _, d := range f.daemons {
		d.bytes.Store(0)
	}
	time.Sleep(2 * time.Second)
	for _, d := range f.daemons {
		most = max(most, d.bytes.Load())
	}
	t.Logf("without changes a daemon exchanges at most %.0f control bytes/s", float64(most)/time.Since(began).Seconds())
	status := f.status(t, 7)
	c.Check(status.Accepted, quicktest.IsTrue)
	c.Check(status.Confirmed, quicktest.IsTrue)
	c.Check(status.ServiceReadAgeKnown, quicktest.IsTrue)
	watchers := 0
	for n := range f.daemons {
		if f.status(t, n).Duty == relay.Watch {
			watchers++
		}
	}
	c.Check(watchers, quicktest.Equals, dataCentres*relay.WatchersPerDataCentre)
}

// Guards against daemons that lose their release, return to an older one, or do not get the current one while the
// service fails.
func TestServiceFailures(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		fail func(*service)
	}{
		{"down", func(s *service) { s.mode = "down" }},
		{"silent", func(s *service) { s.mode = "silent" }},
		{"malformed", func(s *service) { s.mode = "malformed" }},
		{"lower versions and an older head", func(s *service) {
			for key, v := range s.values {
				v.Version = 1
				s.values[key] = v
			}
			first := s.values["note/1"]
			s.values["head"] = watch.Value{Version: 2, Text: fmt.Appendf(nil, "Serial = 1\nDigest = \"%x\"\n", sha256.Sum256(first.Text))}
		}},
		{"empty", func(s *service) { clear(s.values) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			c := quicktest.New(t)
			f := newFleet(t, 6)
			f.service.publish(targetsNote(6))
			f.service.publish(extraService(2))
			f.awaitSerial(t, 2, 20*time.Second)
			f.service.update(func() { test.fail(f.service) })
			began := time.Now()
			f.stop(f.daemons[4])
			f.start(f.daemons[4])
			f.awaitSerial(t, 2, 20*time.Second, 4)
			t.Logf("a new daemon had the release after %s", time.Since(began))
			time.Sleep(time.Second)
			for n, d := range f.daemons {
				c.Check(d.serial.Load(), quicktest.Equals, uint64(2), quicktest.Commentf("daemon %d", n))
				c.Check(d.announcedOlder.Load(), quicktest.IsFalse, quicktest.Commentf("daemon %d", n))
			}
		})
	}
}

// Guards against daemons that do not get a note while, or after, they are partitioned from their peers.
func TestPartition(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 8)
	f.service.publish(targetsNote(8))
	f.awaitSerial(t, 1, 20*time.Second)
	f.setUnreachable(func(from, to int) bool { return from%dataCentres != to%dataCentres })
	// Each data centre gets the new note only from its own watchers.
	f.service.publish(extraService(2))
	f.awaitSerial(t, 2, 20*time.Second)
	f.setUnreachable(func(from, to int) bool { return from == 7 || to == 7 })
	f.service.publish(extraService(3))
	f.awaitSerial(t, 3, 20*time.Second, 0, 1, 2, 3, 4, 5, 6)
	f.setUnreachable(func(_, _ int) bool { return false })
	f.awaitSerial(t, 3, 20*time.Second)
}

// Guards against a restarted gossip task that does not recover its release from peers or from the service.
func TestGossipRestartsEmpty(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		count int
		mode  string
	}{{"from peers", 6, "down"}, {"from the service", 1, ""}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t, test.count)
			f.service.publish(targetsNote(test.count))
			f.awaitSerial(t, 1, 20*time.Second)
			f.service.update(func() { f.service.mode = test.mode })
			d := f.daemons[test.count-1]
			d.gossipTask.Stop()
			<-d.gossipTask.Done()
			f.startGossip(d)
			f.awaitSerial(t, 1, 20*time.Second)
			if s := f.status(t, test.count-1); s.Head.Serial != 1 {
				t.Fatalf("serial %d", s.Head.Serial)
			}
		})
	}
}

// Guards against a release that is never announced to the other tasks because a mailbox was full.
func TestReleaseIsAnnouncedAgain(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1)
	f.daemons[0].rejectNext.Store(true)
	f.service.publish(targetsNote(1))
	f.awaitSerial(t, 1, 20*time.Second)
}

// Guards against a confirmation after a process pause that never ends, or that succeeds without answers of peers.
func TestConfirm(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	f := newFleet(t, 4)
	f.service.publish(targetsNote(4))
	f.awaitSerial(t, 1, 20*time.Second)
	tests := []struct {
		name string
		cut  bool
		want bool
	}{{"reachable", false, true}, {"cut off", true, false}}
	for _, test := range tests {
		f.setUnreachable(func(from, to int) bool { return test.cut && (from == 2 || to == 2) })
		reply := mail.NewBox[bool](1)
		f.daemons[2].gossipInbox.TryPut(gossip.ConfirmRequest{Reply: reply})
		select {
		case got := <-reply.C():
			c.Check(got, quicktest.Equals, test.want, quicktest.Commentf(test.name))
		case <-time.After(10 * time.Second):
			t.Fatalf("%s: no answer", test.name)
		}
	}
}

// Guards against a newer head in a load report that starts no pull, and against pulls for heads that are not newer.
func TestNewerHeadStartsPull(t *testing.T) {
	tests := []struct {
		name string
		head ident.Head
		want bool
	}{
		{"higher", ident.Head{Serial: 9}, true},
		{"none", ident.Head{}, false},
	}
	for _, test := range tests {
		c := quicktest.New(t)
		inbox, box := mail.NewBox[gossip.Message](8), mail.NewBox[dialer.Message](64)
		g := gossip.New(gossip.Config{VM: "a", DataCentre: "d", Daemon: address(1), Inbox: inbox, Dialer: box})
		inbox.TryPut(gossip.HeadReported{Head: test.head, Peer: address(2)})
		status := mail.NewBox[gossip.Status](1)
		inbox.TryPut(gossip.StatusRequest{Reply: status})
		<-status.C()
		g.Stop()
		<-g.Done()
		pulled := false
		for len(box.C()) > 0 {
			m := <-box.C()
			_, isPull := m.Message.(link.Exchange).Message.(codec.Control).Message.(relay.Pull)
			pulled = pulled || isPull && m.Peer == address(2)
		}
		c.Check(pulled, quicktest.Equals, test.want, quicktest.Commentf(test.name))
	}
}

// Guards against a daemon that cannot start from a snapshot, and against a daemon that accepts inconsistent values.
func TestServiceValues(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		notes  int
		change func(*service)
		want   uint64
	}{
		{"notes", 5, func(*service) {}, 5},
		{"snapshot, notes before it deleted", 30, func(s *service) { publishSnapshot(s, 20); deleteNotesBefore(s, 20) }, 30},
		{"fewer missing notes than maxMissingNotes, but deleted", 5, func(s *service) { publishSnapshot(s, 3); deleteNotesBefore(s, 3) }, 5},
		{"damaged snapshot", 30, func(s *service) {
			publishSnapshot(s, 20)
			v := s.values["base/20"]
			v.Text = v.Text[1:]
			s.values["base/20"] = v
		}, 30},
		{"snapshot of another release", 30, func(s *service) { publishSnapshot(s, 20); swapSnapshot(s) }, 30},
		{"head of another note", 5, func(s *service) { s.put("head", fmt.Sprintf("Serial = 5\nDigest = \"%064d\"\n", 1)) }, 4},
		{"head that is not TOML", 5, func(s *service) { s.put("head", "Serial") }, 0},
		{"note missing", 5, func(s *service) { delete(s.values, "note/3") }, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			s := newService()
			s.publish(targetsNote(1))
			for n := 2; n <= test.notes; n++ {
				s.publish(extraService(n))
			}
			s.update(func() { test.change(s) })
			f := &fleet{service: s, unreachable: func(_, _ int) bool { return true }, daemons: []*daemon{{n: 0}}}
			f.start(f.daemons[0])
			defer f.stop(f.daemons[0])
			f.awaitSerial(t, test.want, 20*time.Second)
			time.Sleep(300 * time.Millisecond)
			f.awaitSerial(t, test.want, 0)
		})
	}
}

// publishSnapshot publishes the snapshot of the release after a note.
func publishSnapshot(s *service, serial int) {
	r := note.NewRelease()
	for n := 1; n <= serial; n++ {
		r, _ = note.ParseAndApply(r, s.values[fmt.Sprintf("note/%d", n)].Text)
	}
	s.put(fmt.Sprintf("base/%d", serial), string(r.Snapshot()))
	s.put("head", fmt.Sprintf("Serial = %d\nDigest = %q\nBase = %d\n", s.serial, s.lastDigest, serial))
}

// swapSnapshot replaces the snapshot after note 20 with the snapshot after note 19.
func swapSnapshot(s *service) {
	head := s.values["head"]
	publishSnapshot(s, 19)
	s.values["base/20"], s.values["head"] = s.values["base/19"], head
}

// deleteNotesBefore deletes the notes before a serial.
func deleteNotesBefore(s *service, serial int) {
	for n := 1; n < serial; n++ {
		delete(s.values, fmt.Sprintf("note/%d", n))
	}
}

// Guards against a VM list that does not spread beyond the watchers, or that is replaced by an older one when the
// platform returns a stale value.
func TestListReachesAll(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	f := newFleet(t, 12)
	f.service.publish(targetsNote(12))
	f.awaitSerial(t, 1, 20*time.Second)
	listed := func(vm string) string {
		return fmt.Sprintf("[[VM]]\nName = %q\nDataCentre = \"d-0\"\nState = \"Leaving\"\nDaemon = \"10.0.0.99:7000\"\n", vm)
	}
	var version uint64
	f.service.update(func() {
		f.service.put("vms", listed("vm-98"))
		f.service.put("vms", listed("vm-99"))
		version = f.service.version
	})
	await := func(want uint64) {
		t.Helper()
		for end := time.Now().Add(20 * time.Second); ; time.Sleep(20 * time.Millisecond) {
			behind := -1
			for n := range f.daemons {
				if f.status(t, n).ListVersion != want {
					behind = n
				}
			}
			if behind < 0 {
				return
			}
			c.Assert(time.Now().Before(end), quicktest.IsTrue, quicktest.Commentf("daemon %d does not hold VM list version %d", behind, want))
		}
	}
	await(version)
	f.service.update(func() { f.service.values["vms"] = watch.Value{Text: []byte(listed("vm-98")), Version: version - 1} })
	time.Sleep(2500 * time.Millisecond)
	await(version)
}

// Guards against daemons that keep different notes after operators have overwritten a published note, which is
// forbidden.
func TestOverwrittenNote(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	f := newFleet(t, 6)
	f.service.publish(targetsNote(6))
	f.awaitSerial(t, 1, 20*time.Second)
	f.setUnreachable(func(_, _ int) bool { return true })
	f.service.publish(extraService(2))
	f.awaitSerial(t, 2, 20*time.Second, watchers(t, f)...)
	first := f.status(t, watchers(t, f)[0]).Head
	f.service.update(func() {
		f.service.serial, f.service.lastDigest = 1, fmt.Sprintf("%x", sha256.Sum256(f.service.values["note/1"].Text))
	})
	f.service.publish(extraService(3))
	f.setUnreachable(func(_, _ int) bool { return false })
	f.awaitSerial(t, 2, 20*time.Second)
	time.Sleep(1500 * time.Millisecond)
	for n := range f.daemons {
		c.Check(f.status(t, n).Head, quicktest.Equals, first, quicktest.Commentf("daemon %d", n))
	}
}

func watchers(t *testing.T, f *fleet) []int {
	var out []int
	for n := range f.daemons {
		if f.status(t, n).Duty == relay.Watch {
			out = append(out, n)
		}
	}
	return out
}

// Guards against a daemon without the duty Watch that reads the service more often than once in 10 s.
func TestDirectReadsAreLimited(t *testing.T) {
	t.Parallel()
	c := quicktest.New(t)
	f := &fleet{service: newService(), unreachable: func(_, _ int) bool { return true }, daemons: []*daemon{{n: 0}}}
	f.service.mode = "malformed"
	f.start(f.daemons[0])
	defer f.stop(f.daemons[0])
	time.Sleep(2500 * time.Millisecond)
	c.Assert(f.service.reads.Load(), quicktest.Equals, int64(1))
}

// Guards against a note that is not sent to the children in the trees and then spreads only by digests.
func TestNoteGoesToChildren(t *testing.T) {
	c := quicktest.New(t)
	s := newService()
	s.publish(targetsNote(12))
	first, m := note.ParseAndApply(note.NewRelease(), s.values["note/1"].Text)
	c.Assert(m, quicktest.HasLen, 0)
	for n := range 12 {
		position := relay.PositionOf(vm(n), dataCentre(n), relay.Nodes(first, nil))
		inbox, box := mail.NewBox[gossip.Message](8), mail.NewBox[dialer.Message](256)
		g := gossip.New(gossip.Config{VM: vm(n), DataCentre: dataCentre(n), Daemon: address(n), Inbox: inbox, Dialer: box})
		inbox.TryPut(gossip.NoteRead{Offer: relay.Offer{Serial: 1, Text: s.values["note/1"].Text, Version: 1}})
		status := mail.NewBox[gossip.Status](1)
		inbox.TryPut(gossip.StatusRequest{Reply: status})
		<-status.C()
		g.Stop()
		<-g.Done()
		offered := map[netip.AddrPort]bool{}
		for len(box.C()) > 0 {
			message := <-box.C()
			if _, ok := message.Message.(link.Exchange).Message.(codec.Control).Message.(relay.Offer); ok {
				offered[message.Peer] = true
			}
		}
		c.Check(len(offered), quicktest.Equals, len(position.Children), quicktest.Commentf("daemon %d", n))
		for _, child := range position.Children {
			c.Check(offered[child.Daemon], quicktest.IsTrue, quicktest.Commentf("daemon %d, child %s", n, child.VM))
		}
	}
}
