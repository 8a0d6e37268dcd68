package feed

import (
	"context"
	"fmt"
	"slices"
	"sync"
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

// propagationLimit is the time within which the platform requires a change to be in force.
const propagationLimit = 2 * time.Second

// A trouble is what happens to a daemon in a simulated fleet.
type trouble string

const (
	turnedAway       trouble = "turned away"             // the store refuses the daemon
	unanswered       trouble = "unanswered by the store" // the store does not answer the daemon
	frozen           trouble = "frozen"                  // the daemon does nothing
	cutOff           trouble = "cut off"                 // nothing reaches the daemon or comes from it
	cutOffFromPeers  trouble = "cut off from peers"      // the daemon reaches the store only
	holdsUpItsAnswer trouble = "slow to answer"          // answers of the daemon arrive 900 ms late
)

// A simulatedFleet runs the feed tasks of several daemons on one store. Messages between them pass through it.
type simulatedFleet struct {
	mutex    sync.Mutex
	revision roster.Revision
	history  []roster.Change
	changed  chan struct{}
	troubles map[byte]trouble
	inboxes  map[byte]*mail.Box[Message]
	releases map[byte]*note.Release
	stop     chan struct{}
}

func newSimulatedFleet(t *testing.T, vms []byte) *simulatedFleet {
	s := &simulatedFleet{
		revision: 3, history: registrations(3, vms...), changed: make(chan struct{}), troubles: map[byte]trouble{},
		inboxes: map[byte]*mail.Box[Message]{}, releases: map[byte]*note.Release{}, stop: make(chan struct{}),
	}
	var tasks []*Task
	for _, n := range vms {
		s.inboxes[n] = mail.NewBox[Message](256)
	}
	for _, n := range vms {
		dialerInbox := mail.NewBox[dialer.Message](256)
		go s.deliver(n, dialerInbox)
		tasks = append(tasks, New(Config{
			Self:  follow.Peer{VM: vm(n), DataCentre: "d", Region: "r", Daemon: address(n)},
			Inbox: s.inboxes[n], Dialer: dialerInbox, StoreReader: &simulatedStore{s, n},
			Announce: func(r *note.Release) bool {
				s.mutex.Lock()
				defer s.mutex.Unlock()
				s.releases[n] = r
				return true
			},
		}))
	}
	t.Cleanup(func() {
		close(s.stop)
		for _, task := range tasks {
			task.Stop()
			<-task.Done()
		}
	})
	return s
}

func (s *simulatedFleet) troubleOf(n byte) trouble {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.troubles[n]
}

// isolated reports whether peers of a daemon neither reach it nor hear from it.
func (s *simulatedFleet) isolated(n byte) bool {
	return slices.Contains([]trouble{frozen, cutOff, cutOffFromPeers}, s.troubleOf(n))
}

// deliver passes the requests of one daemon to its peers, and their answers back.
func (s *simulatedFleet) deliver(from byte, outgoing *mail.Box[dialer.Message]) {
	for {
		select {
		case <-s.stop:
			return
		case m := <-outgoing.C():
			to := m.Peer.Addr().As4()[3]
			e := m.Message.(link.Exchange)
			if s.isolated(from) || s.isolated(to) {
				time.AfterFunc(e.Timeout, func() { e.Reply.TryPut(link.Answer{Err: errors.New("no answer")}) })
				continue
			}
			reply := mail.NewBox[codec.ChangesReply](1)
			s.inboxes[to].TryPut(PeerRequest{ChangesRequest: e.Message.(codec.ChangesRequest), Reply: reply})
			go func() {
				select {
				case <-s.stop:
				case <-time.After(e.Timeout):
					e.Reply.TryPut(link.Answer{Err: errors.New("no answer")})
				case answer := <-reply.C():
					if s.troubleOf(to) == holdsUpItsAnswer {
						time.Sleep(900 * time.Millisecond)
					}
					if !s.isolated(from) && !s.isolated(to) {
						e.Reply.TryPut(link.Answer{Message: answer})
					}
				}
			}()
		}
	}
}

// publish makes a target drain and changes the config.
func (s *simulatedFleet) publish(version uint64, leaving byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.revision++
	drained := registrations(s.revision, leaving)[0].(roster.TargetRegistered)
	drained.Target.Draining, drained.Sequence = true, version+1
	s.history = append(s.history, drained, roster.ConfigUpdated{
		Revision: s.revision, Config: roster.Config{Version: version, Services: map[ident.Service]note.Service{"s": {Name: "s"}}},
	})
	close(s.changed)
	s.changed = make(chan struct{})
}

// hasInForce reports whether a daemon has the config and knows that the target drains.
func (s *simulatedFleet) hasInForce(n byte, version uint64, leaving byte) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	r := s.releases[n]
	return r != nil && r.Version >= version && r.Targets[ident.Target("t"+vm(leaving))].Draining
}

// A simulatedStore is the store as one daemon reaches it.
type simulatedStore struct {
	fleet *simulatedFleet
	vm    byte
}

// check returns the error of a read in the trouble of the daemon. A read in which nothing arrives ends soon.
func (s *simulatedStore) check(ctx context.Context) error {
	switch s.fleet.troubleOf(s.vm) {
	case turnedAway:
		return errors.New("status 503")
	case unanswered, frozen, cutOff:
		select {
		case <-ctx.Done():
		case <-time.After(500 * time.Millisecond):
		}
		return errors.New("nothing arrived")
	case cutOffFromPeers, holdsUpItsAnswer:
	}
	return nil
}

// Snapshot implements StoreReader.
func (s *simulatedStore) Snapshot(ctx context.Context, _ bool) (roster.Snapshot, error) {
	if err := s.check(ctx); err != nil {
		return roster.Snapshot{}, err
	}
	s.fleet.mutex.Lock()
	defer s.fleet.mutex.Unlock()
	return roster.Snapshot{Changes: slices.Clone(s.fleet.history), Revision: s.fleet.revision}, nil
}

// Changes implements StoreReader.
func (s *simulatedStore) Changes(ctx context.Context, after roster.Revision, wait time.Duration) (roster.Changes, error) {
	deadline := time.After(wait)
	for {
		if err := s.check(ctx); err != nil {
			return roster.Changes{}, err
		}
		f := s.fleet
		f.mutex.Lock()
		c, changed := roster.Changes{Revision: f.revision}, f.changed
		for _, ch := range f.history {
			if ch.ChangeRevision() > after {
				c.Changes = append(c.Changes, ch)
			}
		}
		f.mutex.Unlock()
		if len(c.Changes) > 0 {
			return c, s.check(ctx)
		}
		select {
		case <-changed:
		case <-deadline:
			return c, s.check(ctx)
		case <-ctx.Done():
			return roster.Changes{}, ctx.Err()
		}
	}
}

// Guards against a daemon that reaches the store and has a change in force too late, because the daemon that reads the
// store, and others that it would ask next, are in trouble. The trouble begins at different moments of a read.
func TestChangeInForceDespiteTroubledSources(t *testing.T) {
	vms := []byte{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20}
	ordered := inOrderOfDuty(vms)
	tests := []struct {
		name     string
		troubled []byte
	}{
		{"reader", ordered[:1]},
		{"reader and its second", ordered[:2]},
		{"reader and all that others ask", ordered[:9]},
		{"two thirds", ordered[:13]},
		{"all but two", ordered[:18]},
		{"all daemons but the reader and the last one", ordered[1:19]},
	}
	for _, test := range tests {
		for _, kind := range []trouble{turnedAway, unanswered, frozen, cutOff, cutOffFromPeers, holdsUpItsAnswer} {
			t.Run(fmt.Sprintf("%s %s", test.name, kind), func(t *testing.T) {
				t.Parallel()
				var group sync.WaitGroup
				for _, lead := range []time.Duration{0, 300 * time.Millisecond, 700 * time.Millisecond, 1200 * time.Millisecond} {
					s := newSimulatedFleet(t, vms)
					group.Go(func() { s.changeDuring(t, test.troubled, kind, lead) })
				}
				group.Wait()
			})
		}
	}
}

// changeDuring publishes a change some time after the trouble of some daemons has begun, and checks when the others have
// it in force.
func (s *simulatedFleet) changeDuring(t *testing.T, troubled []byte, kind trouble, lead time.Duration) {
	for n := range s.inboxes {
		await(t, func() bool { return s.releaseOf(n) != nil && len(s.releaseOf(n).Targets) == len(s.inboxes) })
	}
	time.Sleep(time.Second + lead/3)
	s.mutex.Lock()
	for _, n := range troubled {
		s.troubles[n] = kind
	}
	s.mutex.Unlock()
	time.Sleep(lead)
	s.publish(1, 20)
	published := time.Now()
	for n := range s.inboxes {
		if slices.Contains(troubled, n) {
			continue
		}
		await(t, func() bool { return s.hasInForce(n, 1, 20) })
		qt.Check(t, time.Since(published) < propagationLimit, qt.IsTrue, qt.Commentf("trouble %s before the change, VM %d after %s", lead, n, time.Since(published)))
	}
}

// Guards against daemons that read the store although their peers work: its calls are limited and have a price.
func TestOnlyReaderReadsStore(t *testing.T) {
	t.Parallel()
	vms := []byte{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20}
	s := newSimulatedFleet(t, vms)
	for _, n := range vms {
		await(t, func() bool { return s.releaseOf(n) != nil })
	}
	s.mutex.Lock()
	for _, n := range inOrderOfDuty(vms)[1:] {
		s.troubles[n] = turnedAway
	}
	s.mutex.Unlock()
	time.Sleep(4 * maxUnconfirmed)
	for _, n := range inOrderOfDuty(vms)[1:] {
		reply := mail.NewBox[Status](1)
		s.inboxes[n].TryPut(StatusRequest{Reply: reply})
		qt.Check(t, (<-reply.C()).LastError, qt.Equals, "", qt.Commentf("VM %d has read the store, which refuses it", n))
	}
}

func (s *simulatedFleet) releaseOf(n byte) *note.Release {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.releases[n]
}

// inOrderOfDuty returns the VMs in the order in which daemons ask each other: the reader, then its children.
func inOrderOfDuty(vms []byte) []byte {
	var peers []follow.Peer
	for _, n := range vms {
		peers = append(peers, follow.Peer{VM: vm(n), DataCentre: "d", Region: "r", Daemon: address(n)})
	}
	depth := func(n byte) int {
		p := follow.PositionOf(follow.Peer{VM: vm(n), DataCentre: "d", Region: "r", Daemon: address(n)}, peers)
		switch {
		case p.ReadsStore:
			return 0
		case len(p.Peers) > 0 && follow.PositionOf(p.Peers[0], peers).ReadsStore:
			return 1
		}
		return 2
	}
	return slices.SortedStableFunc(slices.Values(vms), func(a, b byte) int { return depth(a) - depth(b) })
}

func await(t *testing.T, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Errorf("the condition does not hold after %s", testTimeout)
			return
		}
	}
}
