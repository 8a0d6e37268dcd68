package relay

import (
	"crypto/sha256"
	"encoding/binary"
	"maps"
	"net/netip"
	"slices"
	"strings"
	"time"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
)

// A Node is a daemon in the distribution trees. Daemon is its address.
type Node struct {
	VM         ident.VM
	DataCentre ident.DataCentre
	Daemon     netip.AddrPort
}

const (
	// WatchersPerDataCentre is the number of daemons per data centre that watch the configuration service.
	WatchersPerDataCentre = 2
	// treeFanOut is the number of children per node in a tree. With 150 daemons, no node is more than three hops from
	// the root.
	treeFanOut = 8
	// takeoverStep is the difference between the waits of two successive daemons in the watcher order. A daemon that is
	// not a watcher reads the configuration service once its wait has passed without a read by another daemon.
	takeoverStep = 2 * time.Second
)

// A Position is the position of a daemon in the distribution trees of its data centre.
type Position struct {
	// WatcherIndex is the index in the watcher order, or -1 if the daemon is not among the nodes, because it is not in the
	// release or its VM is leaving.
	WatcherIndex int
	// Parents and Children are the neighbours of the daemon in all trees of its data centre. Each watcher is the root of
	// one tree.
	Parents  []Node
	Children []Node
	// RemoteNodes are the daemons of other data centres. In a fleet with one data centre, RemoteNodes equals
	// LocalNodes.
	RemoteNodes []Node
	// LocalNodes are the other daemons of the same data centre.
	LocalNodes []Node
}

// Nodes returns the daemons of a release, except those on leaving VMs, sorted by VM.
func Nodes(r *note.Release, leaving map[ident.VM]bool) []Node {
	byVM := map[ident.VM]Node{}
	for _, t := range r.Targets {
		if !leaving[t.VM] {
			byVM[t.VM] = Node{VM: t.VM, DataCentre: t.DataCentre, Daemon: t.Daemon}
		}
	}
	var nodes []Node
	for _, vm := range slices.Sorted(maps.Keys(byVM)) {
		nodes = append(nodes, byVM[vm])
	}
	return nodes
}

// PositionOf returns the position of a daemon among nodes. Each of the first WatchersPerDataCentre daemons in the watcher
// order is the root of a tree.
func PositionOf(vm ident.VM, dataCentre ident.DataCentre, nodes []Node) Position {
	p := Position{WatcherIndex: -1}
	var local []Node
	for _, n := range nodes {
		switch {
		case n.DataCentre == dataCentre:
			local = append(local, n)
			if n.VM != vm {
				p.LocalNodes = append(p.LocalNodes, n)
			}
		case n.VM != vm:
			p.RemoteNodes = append(p.RemoteNodes, n)
		}
	}
	if len(p.RemoteNodes) == 0 {
		p.RemoteNodes = p.LocalNodes
	}
	order := rendezvousOrder("watch", local)
	p.WatcherIndex = slices.IndexFunc(order, func(n Node) bool { return n.VM == vm })
	for root := range min(WatchersPerDataCentre, len(order)) {
		// Each tree has a salt of its own and therefore its own order. The slice must have WatchersPerDataCentre salts.
		p.addTreeNeighbours(vm, order[root], rendezvousOrder([]string{"tree 1", "tree 2"}[root], local))
	}
	return p
}

// addTreeNeighbours adds the parent and the children of vm in the tree with the given root, filled level by level
// in the given order.
func (p *Position) addTreeNeighbours(vm ident.VM, root Node, order []Node) {
	rest := slices.DeleteFunc(order, func(n Node) bool { return n.VM == root.VM })
	tree := append([]Node{root}, rest...)
	i := slices.IndexFunc(tree, func(n Node) bool { return n.VM == vm })
	if i < 0 {
		return
	}
	if i > 0 {
		p.Parents = appendUnique(p.Parents, tree[(i-1)/treeFanOut])
	}
	for c := i*treeFanOut + 1; c <= (i+1)*treeFanOut && c < len(tree); c++ {
		p.Children = appendUnique(p.Children, tree[c])
	}
}

func appendUnique(nodes []Node, n Node) []Node {
	if slices.Contains(nodes, n) {
		return nodes
	}
	return append(nodes, n)
}

// rendezvousOrder sorts the nodes by rendezvous hash, so that the relative order of the remaining nodes does not
// change when some leave.
func rendezvousOrder(salt string, nodes []Node) []Node {
	hashes := make(map[ident.VM]uint64, len(nodes))
	for _, n := range nodes {
		sum := sha256.Sum256([]byte(salt + "\x00" + string(n.DataCentre) + "\x00" + string(n.VM)))
		hashes[n.VM] = binary.BigEndian.Uint64(sum[:])
	}
	order := slices.Clone(nodes)
	slices.SortFunc(order, func(a, b Node) int {
		switch ha, hb := hashes[a.VM], hashes[b.VM]; {
		case ha > hb:
			return -1
		case ha < hb:
			return 1
		}
		return strings.Compare(string(a.VM), string(b.VM))
	})
	return order
}

// A Duty is the way in which a daemon reads the configuration service.
type Duty string

// The values of Duty.
const (
	// Idle means that the daemon leaves reading the configuration service to other daemons.
	Idle Duty = "Idle"
	// Watch means that the daemon is a watcher of its data centre.
	Watch Duty = "Watch"
	// Direct means that the daemon reads the configuration service within the rate limit for direct reads, because it
	// has no release or because no watcher appears to be reading.
	Direct Duty = "Direct"
)

// DutyOf returns the duty of a daemon that holds a release, given its index in the watcher order and the time since any
// daemon last read the configuration service. jitterFactor is a random number in [0, 1) that is constant per daemon.
func DutyOf(watcherIndex int, age time.Duration, jitterFactor float64) Duty {
	switch {
	case watcherIndex < 0:
		return Idle
	case watcherIndex < WatchersPerDataCentre:
		return Watch
	case age > takeoverStep*time.Duration(watcherIndex)+time.Duration(jitterFactor*float64(takeoverStep)):
		return Direct
	}
	return Idle
}

const (
	// bootstrapDelay is the time that a daemon without a release gives its peers to answer, which takes a few round
	// trips. Otherwise each daemon would read all notes from the configuration service: 150 daemons of one data centre
	// that start together would exceed its limit of 2,000 reads/s on their own.
	bootstrapDelay = 250 * time.Millisecond
	// maxBootstrapJitter is the largest time that is added to bootstrapDelay. Each daemon adds a random part of it, so
	// that daemons whose peers do not answer do not all read at once. The sum leaves time to read the release and to
	// serve within 2 s of the start.
	maxBootstrapJitter = 500 * time.Millisecond
)

// BootstrapDuty returns the duty of a daemon without a release that has waited for its peers for the given time.
// jitterFactor is a random number in [0, 1) that is constant per daemon.
func BootstrapDuty(knowsPeers bool, waited time.Duration, jitterFactor float64) Duty {
	if knowsPeers && waited < bootstrapDelay+time.Duration(jitterFactor*float64(maxBootstrapJitter)) {
		return Idle
	}
	return Direct
}

// A ReadAgeTracker tracks how long ago any daemon last read the configuration service. Daemons exchange ages rather than
// timestamps, since their clocks differ. Each adds the time for which it held an age before it passes the age on.
type ReadAgeTracker struct {
	known  bool
	readAt time.Time
}

// MarkRead records that the configuration service was read at now.
func (a *ReadAgeTracker) MarkRead(now time.Time) { a.known, a.readAt = true, now }

// Merge adopts the age from a peer's digest if it is lower than the known one.
func (a *ReadAgeTracker) Merge(d Digest, now time.Time) {
	if !d.ServiceReadAgeKnown || d.ServiceReadAge < 0 {
		return
	}
	if at := now.Add(-d.ServiceReadAge); !a.known || at.After(a.readAt) {
		a.known, a.readAt = true, at
	}
}

// Elapsed returns the time from the last read to now, and whether a read is known.
func (a *ReadAgeTracker) Elapsed(now time.Time) (time.Duration, bool) {
	if !a.known {
		return 0, false
	}
	return max(0, now.Sub(a.readAt)), true
}
