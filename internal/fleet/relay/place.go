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

// A Node is a daemon that takes part in distribution.
type Node struct {
	VM         ident.VM
	DataCentre ident.DataCentre
	Daemon     netip.AddrPort
}

const (
	// Watchers is the number of daemons of a data centre that watch the configuration service.
	Watchers = 2
	// fanOut is the number of children in one tree: 150 daemons are at most three hops from the root.
	fanOut = 8
	// takeoverStep is the service age for each rank after which a daemon reads the service itself.
	takeoverStep = 2 * time.Second
)

// A Place tells what a daemon has to do among the daemons of its data centre.
type Place struct {
	// Rank is the position in the order of watchers, or -1 when the daemon is not in the release.
	Rank     int
	Parents  []Node
	Children []Node
	// Others are the daemons of other data centres, or of the own one when there is no other.
	Others []Node
	// Near are the other daemons of the own data centre.
	Near []Node
}

// Nodes returns the daemons of a release, except those that are leaving, ordered by VM.
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

// PlaceOf returns the place of a daemon among nodes.
func PlaceOf(vm ident.VM, dataCentre ident.DataCentre, nodes []Node) Place {
	p := Place{Rank: -1}
	var near []Node
	for _, n := range nodes {
		switch {
		case n.DataCentre == dataCentre:
			near = append(near, n)
			if n.VM != vm {
				p.Near = append(p.Near, n)
			}
		case n.VM != vm:
			p.Others = append(p.Others, n)
		}
	}
	if len(p.Others) == 0 {
		p.Others = p.Near
	}
	order := hashOrder("watch", near)
	p.Rank = slices.IndexFunc(order, func(n Node) bool { return n.VM == vm })
	for root := range min(Watchers, len(order)) {
		p.addTree(vm, order[root], hashOrder([]string{"tree 1", "tree 2"}[root], near))
	}
	return p
}

// addTree adds the neighbours in the tree that has its root at a watcher and the others in the given order.
func (p *Place) addTree(vm ident.VM, root Node, order []Node) {
	rest := slices.DeleteFunc(order, func(n Node) bool { return n.VM == root.VM })
	tree := append([]Node{root}, rest...)
	i := slices.IndexFunc(tree, func(n Node) bool { return n.VM == vm })
	if i < 0 {
		return
	}
	if i > 0 {
		p.Parents = addNode(p.Parents, tree[(i-1)/fanOut])
	}
	for c := i*fanOut + 1; c <= (i+1)*fanOut && c < len(tree); c++ {
		p.Children = addNode(p.Children, tree[c])
	}
}

func addNode(nodes []Node, n Node) []Node {
	if slices.Contains(nodes, n) {
		return nodes
	}
	return append(nodes, n)
}

// hashOrder returns the nodes by rendezvous hash: when nodes leave, the order of the others stays.
func hashOrder(salt string, nodes []Node) []Node {
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

// A Duty tells how a daemon reads the configuration service.
type Duty string

// The duties.
const (
	// Idle means that other daemons read the service.
	Idle Duty = "Idle"
	// Watch means that the daemon is a watcher of its data centre.
	Watch Duty = "Watch"
	// Direct means that the daemon reads the service within the budget for direct reads,
	// because it has no release or hears of no watcher that reads the service.
	Direct Duty = "Direct"
)

// DutyOf returns the duty of a daemon with a release and of a rank when the service was read age ago.
// jitter, from 0 to 1, is a random number that the daemon keeps.
func DutyOf(rank int, age time.Duration, jitter float64) Duty {
	switch {
	case rank < 0:
		return Idle
	case rank < Watchers:
		return Watch
	case age > takeoverStep*time.Duration(rank)+time.Duration(jitter*float64(takeoverStep)):
		return Direct
	}
	return Idle
}

const (
	// firstWait is how long a daemon without a release leaves it to its peers to answer, which takes a few
	// round trips. Each would otherwise read all notes from the service: when a data centre of 150 daemons
	// starts at once, that alone passes the service's limit of 2,000 reads/s.
	firstWait = 250 * time.Millisecond
	// firstSpread is added in part, so that daemons whose peers do not answer do not read all at once. Both
	// together leave time to read the release and to serve within 2 s of the start.
	firstSpread = 500 * time.Millisecond
)

// FirstDuty returns the duty of a daemon without a release that started a time ago. jitter, from 0 to 1,
// is a random number that the daemon keeps.
func FirstDuty(knowsPeers bool, waited time.Duration, jitter float64) Duty {
	if knowsPeers && waited < firstWait+time.Duration(jitter*float64(firstSpread)) {
		return Idle
	}
	return Direct
}

// An Age tells how long ago a watcher read the configuration service. Each
// daemon counts on its own clock, so the time that a message waits adds up along its path.
type Age struct {
	known bool
	at    time.Time
}

// Read says that the service was read at now.
func (a *Age) Read(now time.Time) { a.known, a.at = true, now }

// Hear takes the age that a peer tells when it is the lower one.
func (a *Age) Hear(d Digest, now time.Time) {
	if !d.ServiceKnown || d.ServiceAge < 0 {
		return
	}
	if at := now.Add(-d.ServiceAge); !a.known || at.After(a.at) {
		a.known, a.at = true, at
	}
}

// Since returns the age and whether it is known.
func (a *Age) Since(now time.Time) (time.Duration, bool) {
	if !a.known {
		return 0, false
	}
	return max(0, now.Sub(a.at)), true
}
