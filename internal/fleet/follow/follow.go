// Package follow decides from which peers a daemon learns what the platform publishes, so that few daemons read the store.
package follow

import (
	"cmp"
	"hash/fnv"
	"net/netip"
	"slices"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
)

// fanOut is how many daemons ask one daemon for changes. At 150 VMs in a data centre a change then takes three
// steps from the daemon that reads the store to the last one.
const fanOut = 8

// A Peer is a daemon that can be asked.
type Peer struct {
	VM         ident.VM
	DataCentre ident.DataCentre
	Region     ident.Region
	Daemon     netip.AddrPort
}

// A Place is the place of a daemon in the trees of its region.
type Place struct {
	// Reads says that the daemon reads the store. The others read it when no peer tells them what it holds.
	Reads bool
	// Leads says that the daemon is the first of its data centre, which reads the store soon after the reader of the
	// region has lost it.
	Leads bool
	// Peers are asked in this order. A daemon that reads the store asks them when the store does not answer.
	Peers []Peer
}

// PeersOf returns the peers that a release names, one for each VM.
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

// PlaceOf returns the place of a daemon among the peers. All daemons with the same peers come to the same
// places: the first of a region in the order of a hash reads the store, the first of each data centre asks
// that one, and the others of a data centre form a tree below its first.
func PlaceOf(own Peer, peers []Peer) Place {
	region := slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return p.Region != own.Region })
	slices.SortFunc(region, func(a, b Peer) int {
		return cmp.Or(cmp.Compare(weight(a.VM), weight(b.VM)), cmp.Compare(a.VM, b.VM))
	})
	if !slices.ContainsFunc(region, func(p Peer) bool { return p.VM == own.VM }) {
		// The others do not know of a daemon without an entry, so that none of them asks it.
		region = append(region, own)
	}
	heads := headsOf(region)
	near := slices.DeleteFunc(slices.Clone(region), func(p Peer) bool { return p.DataCentre != own.DataCentre })
	i := slices.IndexFunc(near, func(p Peer) bool { return p.VM == own.VM })
	place := Place{Reads: heads[0].VM == own.VM, Leads: i == 0}
	add := func(p Peer) {
		if p.VM != own.VM && !slices.ContainsFunc(place.Peers, func(o Peer) bool { return o.VM == p.VM }) {
			place.Peers = append(place.Peers, p)
		}
	}
	if i > 0 {
		add(near[(i-1)/fanOut])
		add(near[0])
	}
	for _, h := range heads[:min(2, len(heads))] {
		add(h)
	}
	if len(heads) == 1 && len(region) > 1 {
		add(region[1])
	}
	return place
}

// headsOf returns the first daemon of each data centre, in the order of the daemons.
func headsOf(ordered []Peer) []Peer {
	var heads []Peer
	for _, p := range ordered {
		if !slices.ContainsFunc(heads, func(h Peer) bool { return h.DataCentre == p.DataCentre }) {
			heads = append(heads, p)
		}
	}
	return heads
}

func weight(vm ident.VM) uint64 {
	h := fnv.New64a()
	h.Write([]byte(vm))
	return h.Sum64()
}
