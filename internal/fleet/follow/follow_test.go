package follow_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/follow"
)

// makePeers returns the daemons of a region, distributed over data centres.
func makePeers(vms, dataCentres int) []follow.Peer {
	var peers []follow.Peer
	for i := range vms {
		peers = append(peers, follow.Peer{
			VM: ident.VM(fmt.Sprintf("10.0.%d.%d", i/200, i%200)), DataCentre: ident.DataCentre(fmt.Sprintf("d%d", i%dataCentres)), Region: "r",
			Daemon: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 200), byte(i % 200)}), 7000),
		})
	}
	return peers
}

// Guards against a region with no reader or several, against daemons that have no path to the reader, and against
// paths that are too long for a change to be in force in time.
func TestPositions(t *testing.T) {
	for _, test := range []struct {
		name             string
		vms, dataCentres int
		depth            int
	}{
		{"one VM", 1, 1, 0},
		{"two VMs", 2, 1, 1},
		{"eleven VMs in three data centres", 11, 3, 2},
		{"81 VMs in five data centres", 81, 5, 3},
		{"1,800 VMs in twelve data centres", 1800, 12, 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			peers := makePeers(test.vms, test.dataCentres)
			positions := map[ident.VM]follow.Position{}
			readers, children := 0, map[ident.VM]int{}
			for _, p := range peers {
				position := follow.PositionOf(p, peers)
				positions[p.VM] = position
				if position.ReadsStore {
					readers++
					continue
				}
				qt.Assert(t, len(position.Peers) > 0, qt.IsTrue)
				children[position.Peers[0].VM]++
			}
			qt.Assert(t, readers, qt.Equals, 1)
			for _, p := range peers {
				depth, current := 0, p.VM
				for ; !positions[current].ReadsStore; depth++ {
					qt.Assert(t, depth <= test.depth, qt.IsTrue, qt.Commentf("%s", p.VM))
					current = positions[current].Peers[0].VM
				}
			}
			for vm, n := range children {
				qt.Assert(t, n <= 8+test.dataCentres, qt.IsTrue, qt.Commentf("%d daemons ask %s", n, vm))
			}
		})
	}
}

// Guards against a daemon without any source because it is not in the store yet or is alone in its region, and against
// daemons that read the store in addition to the reader of their region because they have no entry yet.
func TestPositionOfUnlisted(t *testing.T) {
	self := follow.Peer{VM: "10.9.9.9", DataCentre: "d0", Region: "r"}
	for _, test := range []struct {
		name  string
		own   follow.Peer
		peers []follow.Peer
		reads bool
	}{
		{"no peers", self, nil, true},
		{"peers of another region", follow.Peer{VM: "10.9.9.9", DataCentre: "x", Region: "q"}, makePeers(5, 2), true},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, follow.PositionOf(test.own, test.peers).ReadsStore, qt.Equals, test.reads)
		})
	}
	for n := range 200 {
		// Wherever its hash would place it, the daemon must not become the reader, since the others would not know.
		self.VM = ident.VM(fmt.Sprintf("10.%d.9.%d", n, 7*n))
		position := follow.PositionOf(self, makePeers(5, 2))
		qt.Assert(t, !position.ReadsStore && len(position.Peers) > 0, qt.IsTrue, qt.Commentf("%s", self.VM))
	}
}

// Guards against a daemon that keeps asking a failed source or does not return to its preferred one, and against all
// daemons of a region reading the store at once after the reader has lost it.
func TestChoose(t *testing.T) {
	now := time.Unix(1000, 0)
	peers := makePeers(2, 1)
	follower, leader := follow.Position{Peers: peers}, follow.Position{LeadsDataCentre: true, Peers: peers[:1]}
	reader := follow.Position{ReadsStore: true, Peers: peers[:1]}
	first, second := follow.PeerSource{Peer: peers[0]}, follow.PeerSource{Peer: peers[1]}
	for _, test := range []struct {
		name     string
		position follow.Position
		stale    []follow.Source
		failed   []follow.Source
		worked   []follow.Source
		after    time.Duration
		want     follow.Source
		wait     time.Duration
	}{
		{"a follower asks its peer", follower, nil, nil, nil, 0, first, 0},
		{"the next peer is asked after a failure", follower, nil, []follow.Source{first}, nil, 0, second, 0},
		{"the store is asked after all peers have failed", follower, nil, []follow.Source{first, second}, nil, 0, follow.StoreSource{}, 0},
		{"the peer is asked again after its delay", follower, nil, []follow.Source{first}, nil, time.Second, first, 0},
		{"a peer that has answered since is asked at once", follower, nil, []follow.Source{first}, []follow.Source{first}, 0, first, 0},
		{"a follower whose peers have lost the store waits", follower, []follow.Source{first, second}, nil, nil, 0, first, time.Second},
		{"a follower whose peers have failed does not ask the store at once", follower, []follow.Source{first, second}, []follow.Source{first, second}, nil, 0, first, 500 * time.Millisecond},
		{"the leader of a data centre reads if the reader has lost the store", leader, []follow.Source{first}, nil, nil, 0, follow.StoreSource{}, 0},
		{"a reader reads", reader, nil, nil, nil, 0, follow.StoreSource{}, 0},
		{"a reader that the store refuses asks a peer", reader, nil, []follow.Source{follow.StoreSource{}}, nil, 0, first, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := follow.NewSourceChooser()
			for _, f := range test.stale {
				s.MarkStale(f, test.position, now)
			}
			for _, f := range test.failed {
				s.MarkFailed(f, test.position, now)
			}
			for _, w := range test.worked {
				s.MarkWorked(w)
			}
			got, at := s.Choose(test.position, now.Add(test.after))
			qt.Assert(t, got, qt.Equals, test.want)
			qt.Assert(t, at.Sub(now.Add(test.after)), qt.Equals, test.wait)
		})
	}
}

// Guards against retrying a store that is down in quick succession: the platform counts every call to it.
func TestStoreRetryDelay(t *testing.T) {
	for _, test := range []struct {
		name     string
		position follow.Position
		maxCalls int
	}{
		{"a reader", follow.Position{ReadsStore: true}, 14},
		{"the leader of a data centre", follow.Position{LeadsDataCentre: true}, 14},
		{"another daemon", follow.Position{}, 6},
	} {
		t.Run(test.name, func(t *testing.T) {
			s, now := follow.NewSourceChooser(), time.Unix(1000, 0)
			calls, end := 0, now.Add(10*time.Second)
			for {
				source, at := s.Choose(test.position, now)
				if now = at; !now.Before(end) {
					break
				}
				calls++
				s.MarkFailed(source, test.position, now)
			}
			qt.Assert(t, calls <= test.maxCalls, qt.IsTrue, qt.Commentf("%d calls in 10 s", calls))
		})
	}
}
