package watch_test

import (
	"crypto/sha256"
	"fmt"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/relay"
	"jacinthcross/internal/task/keeper"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/links"
	"jacinthcross/internal/task/watch"
	"jacinthcross/internal/wire/codec"
	"testing"
	"time"

	"github.com/frankban/quicktest"
)

// Guards against a note that a reachable daemon never gets, with the service in order, and
// against readings of the service that grow with the number of daemons.
func TestNoteReachesAll(t *testing.T) {
	c := quicktest.New(t)
	f := newFleet(t, 20)
	f.service.publish(targets(20))
	f.wait(t, 1, 20*time.Second)
	time.Sleep(200 * time.Millisecond)
	reads := f.service.reads.Load()
	took := f.wait(t, 1, time.Second)
	for n := 2; n <= 6; n++ {
		f.service.publish(service2(n))
		took = max(took, f.wait(t, uint64(n), 20*time.Second))
	}
	t.Logf("slowest of 5 notes %s, %d reads of the service for them", took, f.service.reads.Load()-reads)
	began, most := time.Now(), int64(0)
	for _, m := range f.members {
		m.bytes.Store(0)
	}
	time.Sleep(2 * time.Second)
	for _, m := range f.members {
		most = max(most, m.bytes.Load())
	}
	t.Logf("at rest a daemon exchanges at most %.0f control bytes/s", float64(most)/time.Since(began).Seconds())
	status := f.status(t, 7)
	c.Check(status.Accepted, quicktest.IsTrue)
	c.Check(status.Confirmed, quicktest.IsTrue)
	c.Check(status.ServiceKnown, quicktest.IsTrue)
	watchers := 0
	for n := range f.members {
		if f.status(t, n).Duty == relay.Watch {
			watchers++
		}
	}
	c.Check(watchers, quicktest.Equals, sites*relay.Watchers)
}

// Guards against a release that is lost, goes back or stays behind while the service fails.
func TestServiceFailures(t *testing.T) {
	tests := []struct {
		name string
		fail func(*service)
	}{
		{"down", func(s *service) { s.mode = "down" }},
		{"silent", func(s *service) { s.mode = "silent" }},
		{"garbage", func(s *service) { s.mode = "garbage" }},
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
			f.service.publish(targets(6))
			f.service.publish(service2(2))
			f.wait(t, 2, 20*time.Second)
			f.service.set(func() { test.fail(f.service) })
			began := time.Now()
			f.stop(f.members[4])
			f.start(f.members[4])
			f.wait(t, 2, 20*time.Second, 4)
			t.Logf("a new daemon had the release after %s", time.Since(began))
			time.Sleep(time.Second)
			for n, m := range f.members {
				c.Check(m.serial.Load(), quicktest.Equals, uint64(2), quicktest.Commentf("daemon %d", n))
				c.Check(m.lower.Load(), quicktest.IsFalse, quicktest.Commentf("daemon %d", n))
			}
		})
	}
}

// Guards against a partition that is not repaired when it ends, and against a side without the service that goes back.
func TestPartition(t *testing.T) {
	f := newFleet(t, 8)
	f.service.publish(targets(8))
	f.wait(t, 1, 20*time.Second)
	f.setCut(func(from, to int) bool { return from%sites != to%sites })
	// The watchers of the second data centre are cut off too: only the first one has the new note.
	f.service.publish(service2(2))
	f.wait(t, 2, 20*time.Second)
	f.setCut(func(from, to int) bool { return from == 7 || to == 7 })
	f.service.publish(service2(3))
	f.wait(t, 3, 20*time.Second, 0, 1, 2, 3, 4, 5, 6)
	f.setCut(func(_, _ int) bool { return false })
	f.wait(t, 3, 20*time.Second)
}

// Guards against a keeper that does not recover its release from peers after it failed.
func TestKeeperRestartsEmpty(t *testing.T) {
	f := newFleet(t, 6)
	f.service.publish(targets(6))
	f.wait(t, 1, 20*time.Second)
	f.service.set(func() { f.service.mode = "down" })
	m := f.members[3]
	m.keeper.Stop()
	<-m.keeper.Done()
	f.startKeeper(m)
	f.wait(t, 1, 20*time.Second)
	if s := f.status(t, 3); s.Head.Serial != 1 {
		t.Fatalf("serial %d", s.Head.Serial)
	}
}

// Guards against a comparison after a pause that never ends, and one that reports peers that did not answer.
func TestConfirm(t *testing.T) {
	c := quicktest.New(t)
	f := newFleet(t, 4)
	f.service.publish(targets(4))
	f.wait(t, 1, 20*time.Second)
	tests := []struct {
		name string
		cut  bool
		want bool
	}{{"reachable", false, true}, {"cut off", true, false}}
	for _, test := range tests {
		f.setCut(func(from, to int) bool { return test.cut && (from == 2 || to == 2) })
		reply := mail.NewBox[bool](1)
		f.members[2].inbox.TryPut(keeper.Confirm{Reply: reply})
		select {
		case got := <-reply.C():
			c.Check(got, quicktest.Equals, test.want, quicktest.Commentf(test.name))
		case <-time.After(10 * time.Second):
			t.Fatalf("%s: no answer", test.name)
		}
	}
}

// Guards against a head on a load report that is not fetched, and against pulls for heads that are known.
func TestHeadSeenStartsPull(t *testing.T) {
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
		inbox, box := mail.NewBox[keeper.Message](8), mail.NewBox[links.Message](64)
		k := keeper.New(keeper.Config{VM: "a", DataCentre: "d", Daemon: address(1), Inbox: inbox, Links: box})
		inbox.TryPut(keeper.HeadSeen{Head: test.head, Peer: address(2)})
		status := mail.NewBox[keeper.Status](1)
		inbox.TryPut(keeper.StatusAsk{Reply: status})
		<-status.C()
		k.Stop()
		<-k.Done()
		pulled := false
		for len(box.C()) > 0 {
			m := <-box.C()
			_, isPull := m.Message.(link.Exchange).Message.(codec.Control).Message.(relay.Pull)
			pulled = pulled || isPull && m.Peer == address(2)
		}
		c.Check(pulled, quicktest.Equals, test.want, quicktest.Commentf(test.name))
	}
}
