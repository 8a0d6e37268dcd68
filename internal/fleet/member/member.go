// Package member decides which state a peer daemon is in.
package member

import (
	"net/netip"
	"slices"
	"strings"
	"time"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/fleet/relay"
)

// A State is the state of a peer daemon as this daemon sees it.
type State string

// The states.
const (
	// Alive is the state of a peer about which nothing else is known.
	Alive State = "Alive"
	// Suspect means that the peer failed once, or that it is damped. It is used when no other is left.
	Suspect State = "Suspect"
	// Down means that the peer stays unreachable.
	Down State = "Down"
	// Draining means that the peer announced its planned stop.
	Draining State = "Draining"
	// Leaving means that the VM list says that the VM is going away.
	Leaving State = "Leaving"
)

const (
	// suspectTimeout is how long a peer is suspect before it is down. With a ping
	// every 500 ms a failed peer is down within 1 s.
	suspectTimeout = 500 * time.Millisecond
	// A peer that fails flapLimit times within flapWindow is damped for dampTime.
	flapLimit  = 3
	flapWindow = 30 * time.Second
	dampTime   = 30 * time.Second
)

// A Change tells the new state of a peer.
type Change struct {
	VM     ident.VM
	Daemon netip.AddrPort
	State  State
}

// A Table holds the states of the peers of a release and of the VM list.
type Table struct {
	peers map[netip.AddrPort]*peer
}

type peer struct {
	vm        ident.VM
	inRelease bool
	listed    bool
	leaving   bool
	draining  bool
	failed    bool
	down      bool
	since     time.Time
	failures  []time.Time
	damped    time.Time
	told      State
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{peers: map[netip.AddrPort]*peer{}} }

// SetRelease takes the peers that a release names.
func (t *Table) SetRelease(r *note.Release, now time.Time) []Change {
	for _, p := range t.peers {
		p.inRelease = false
	}
	for _, target := range r.Targets {
		p := t.peer(target.Daemon)
		p.vm, p.inRelease = target.VM, true
	}
	return t.changes(now)
}

// SetList takes the VM list. The list lags, so a VM that is missing in it is not down for that.
func (t *Table) SetList(vms []relay.ListedVM, now time.Time) []Change {
	for _, p := range t.peers {
		p.listed, p.leaving = false, false
	}
	for _, v := range vms {
		p := t.peer(v.Daemon)
		p.vm, p.listed, p.leaving = v.VM, true, v.State == relay.Leaving
	}
	return t.changes(now)
}

// Seen says that a peer answered. One answer clears a suspicion, unless the peer is damped.
func (t *Table) Seen(daemon netip.AddrPort, draining bool, now time.Time) []Change {
	p, ok := t.peers[daemon]
	if !ok {
		return nil
	}
	p.failed, p.down, p.draining = false, false, draining
	return t.changed(daemon, p, now)
}

// Met says that the peer on a VM has opened a connection to this daemon, which shows that it runs.
func (t *Table) Met(vm ident.VM, draining bool, now time.Time) []Change {
	var changes []Change
	for daemon, p := range t.peers {
		if p.vm == vm {
			changes = append(changes, t.Seen(daemon, draining, now)...)
		}
	}
	return changes
}

// Lost says that a peer did not answer or that its link failed.
func (t *Table) Lost(daemon netip.AddrPort, now time.Time) []Change {
	p, ok := t.peers[daemon]
	if !ok {
		return nil
	}
	if !p.failed {
		p.failed, p.since = true, now
		p.failures = slices.DeleteFunc(p.failures, func(f time.Time) bool { return now.Sub(f) >= flapWindow })
		if p.failures = append(p.failures, now); len(p.failures) >= flapLimit {
			p.damped, p.failures = now.Add(dampTime), nil
		}
	}
	return t.changed(daemon, p, now)
}

// Drain says that a peer announced its planned stop.
func (t *Table) Drain(vm ident.VM, now time.Time) []Change {
	var changes []Change
	for daemon, p := range t.peers {
		if p.vm == vm {
			p.draining = true
			changes = append(changes, t.changed(daemon, p, now)...)
		}
	}
	return changes
}

// Tick moves suspect peers to down and ends damping when their time is over.
func (t *Table) Tick(now time.Time) []Change { return t.changes(now) }

// Next returns when Tick may change a state, or false when it will not.
func (t *Table) Next(now time.Time) (time.Time, bool) {
	var next time.Time
	for _, p := range t.peers {
		for _, at := range []time.Time{p.since.Add(suspectTimeout), p.damped} {
			relevant := p.failed && !p.down || at.Equal(p.damped)
			if relevant && at.After(now) && (next.IsZero() || at.Before(next)) {
				next = at
			}
		}
	}
	return next, !next.IsZero()
}

// StateOf returns the state of a peer, and Alive for one that is not known.
func (t *Table) StateOf(daemon netip.AddrPort) State {
	if p, ok := t.peers[daemon]; ok {
		return p.told
	}
	return Alive
}

// Peers returns all peers, ordered by VM.
func (t *Table) Peers() []Change {
	var out []Change
	for daemon, p := range t.peers {
		out = append(out, Change{VM: p.vm, Daemon: daemon, State: p.told})
	}
	sortChanges(out)
	return out
}

func (t *Table) peer(daemon netip.AddrPort) *peer {
	p, ok := t.peers[daemon]
	if !ok {
		p = &peer{told: Alive}
		t.peers[daemon] = p
	}
	return p
}

func (t *Table) changes(now time.Time) []Change {
	var out []Change
	for daemon, p := range t.peers {
		if !p.inRelease && !p.listed {
			delete(t.peers, daemon)
			continue
		}
		out = append(out, t.changed(daemon, p, now)...)
	}
	sortChanges(out)
	return out
}

func sortChanges(changes []Change) {
	slices.SortFunc(changes, func(a, b Change) int { return strings.Compare(string(a.VM), string(b.VM)) })
}

func (t *Table) changed(daemon netip.AddrPort, p *peer, now time.Time) []Change {
	p.down = p.failed && now.Sub(p.since) >= suspectTimeout
	s := p.state(now)
	if s == p.told {
		return nil
	}
	p.told = s
	return []Change{{VM: p.vm, Daemon: daemon, State: s}}
}

// state orders what is known: what the daemon sees itself goes before the list, which lags.
func (p *peer) state(now time.Time) State {
	switch {
	case p.down:
		return Down
	case p.draining:
		return Draining
	case p.leaving:
		return Leaving
	case p.failed || now.Before(p.damped):
		return Suspect
	}
	return Alive
}
