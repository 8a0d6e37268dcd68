// Package follow chooses the peers from which a daemon gets the state that the platform publishes, so that few daemons
// read the platform's store.
package follow

import (
	"cmp"
	"hash/fnv"
	"net/netip"
	"slices"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
)

// fanOut is the number of children per daemon in the tree of a data centre. With 150 VMs in a data centre, a change
// takes at most three hops from the leader of the data centre to the last daemon, and one more from the reader of the
// region to the leaders of its other data centres (see PositionOf).
const fanOut = 8

// A Peer is a daemon that can be asked for changes. Daemon is its address.
type Peer struct {
	VM         ident.VM
	DataCentre ident.DataCentre
	Region     ident.Region
	Daemon     netip.AddrPort
}

// A Position states whether a daemon reads the store and which peers it asks.
type Position struct {
	// ReadsStore is set for the daemon of the region that reads the store. The other daemons read it only if no peer can
	// provide its contents.
	ReadsStore bool
	// LeadsDataCentre is set for the leader of a data centre, which is its first daemon in the order of PositionOf. It
	// starts reading the store soon after the reader of the region has lost its connection to the store.
	LeadsDataCentre bool
	// Peers are the daemons to ask, in order of preference. The reader asks them only if the store does not answer.
	Peers []Peer
}

// PeersOf returns the peers in a release, one per VM.
func PeersOf(r *note.Release) []Peer {
	seen := map[ident.VM]bool{}
	var peers []Peer
	for _, t := range r.Targets {
		if !seen[t.VM] {
			seen[t.VM] = true
			peers = append(peers, Peer{VM: t.VM, DataCentre: t.DataCentre, Region: t.Region, Daemon: t.Daemon})
		}
	}
	return peers
}

// PositionOf returns the position of a daemon among the peers. All daemons with the same peers compute the same
// positions. The daemons of a region are ordered by hash. The first daemon of the region, called the reader, reads the
// store. The first daemon of each data centre is its leader and asks the reader. The other daemons of the data centre
// form a tree below the leader.
func PositionOf(self Peer, peers []Peer) Position {
	region := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.Region != self.Region })
	slices.SortFunc(region, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(hashOf(a.VM), hashOf(b.VM)), cmp.Compare(a.VM, b.VM))
	})
	if !slices.ContainsFunc(region, func(p Peer) bool { return p.VM == self.VM }) {
		// A daemon that is not among the peers yet is unknown to the others, so none of them asks it, and it comes last.
		region = append(region, self)
	}
	leaders := dataCentreLeaders(region)
	local := slices.DeleteFunc(slices.Clone(region), func(p Peer) bool { return p.DataCentre != self.DataCentre })
	i := slices.IndexFunc(local, func(p Peer) bool { return p.VM == self.VM })
	position := Position{ReadsStore: leaders[0].VM == self.VM, LeadsDataCentre: i == 0}
	add := func(p Peer) {
		if p.VM != self.VM && !slices.ContainsFunc(position.Peers, func(o Peer) bool { return o.VM == p.VM }) {
			position.Peers = append(position.Peers, p)
		}
	}
	if i > 0 {
		add(local[(i-1)/fanOut])
		add(local[0])
	}
	// The first of the leaders is the reader, which the other leaders ask first. The second one, or the second daemon in
	// a region with one data centre, is asked in case the reader fails.
	for _, l := range leaders[:min(2, len(leaders))] {
		add(l)
	}
	if len(leaders) == 1 && len(region) > 1 {
		add(region[1])
	}
	return position
}

// dataCentreLeaders returns the leader of each data centre, which is its first daemon, in the order of the daemons.
func dataCentreLeaders(ordered []Peer) []Peer {
	var leaders []Peer
	for _, p := range ordered {
		if !slices.ContainsFunc(leaders, func(l Peer) bool { return l.DataCentre == p.DataCentre }) {
			leaders = append(leaders, p)
		}
	}
	return leaders
}

func hashOf(vm ident.VM) uint64 {
	h := fnv.New64a()
	h.Write([]byte(vm))
	return h.Sum64()
}
