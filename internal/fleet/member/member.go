// Package member tracks the state of peer daemons and detects their failure.
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

// A State is the state of a peer daemon as seen by this daemon.
type State string

// The values of State.
const (
	// Alive is the default state of a peer.
	Alive State = "Alive"
	// Suspect means that the peer failed less than the suspect timeout ago, or that it is damped because it has failed
	// repeatedly (see flapLimit). A suspect peer is used only if no other peer is available.
	Suspect State = "Suspect"
	// Down means that the peer has been unreachable for longer than the suspect timeout.
	Down State = "Down"
	// Draining means that the peer announced its planned stop.
	Draining State = "Draining"
	// Leaving means that the VM list marks the VM as leaving.
	Leaving State = "Leaving"
)

const (
	// suspectTimeout is the time for which a peer is suspect before it is considered down. While calls are in flight, a
	// link detects a failed peer within 500 ms (see package link), so the peer is down within 1 s.
	suspectTimeout = 500 * time.Millisecond
	// A peer that fails flapLimit times within flapWindow is damped for dampDuration.
	flapLimit    = 3
	flapWindow   = 30 * time.Second
	dampDuration = 30 * time.Second
)

// A PeerState is the state of the daemon on a VM.
type PeerState struct {
	VM ident.VM
	// Daemon is the address of the daemon.
	Daemon netip.AddrPort
	State  State
}

// A Table holds the states of the peers in the release and in the VM list, keyed by the address of the daemon.
type Table struct {
	peers map[netip.AddrPort]*peer
}

type peer struct {
	vm        ident.VM
	inRelease bool
	listed    bool
	leaving   bool
	draining  bool
	// failed is set from the first failure until the peer answers, and down once the suspect timeout has passed.
	failed      bool
	down        bool
	failedAt    time.Time
	failures    []time.Time
	dampedUntil time.Time
	// reported is the state last returned to the user of the Table. An update returns the peer only if its state differs.
	reported State
}

// NewTable returns an empty Table.
func NewTable() *Table { return &Table{peers: map[netip.AddrPort]*peer{}} }

// SetRelease updates the peers from a release. Like the other methods that record an event, it returns the peers whose
// state has changed.
func (t *Table) SetRelease(r *note.Release, now time.Time) []PeerState {
	for _, p := range t.peers {
		p.inRelease = false
	}
	for _, target := range r.Targets {
		p := t.peer(target.Daemon)
		p.vm, p.inRelease = target.VM, true
	}
	return t.updateAll(now)
}

// SetVMList updates the peers from the VM list. The list lags behind, so a VM missing from it is not considered down.
func (t *Table) SetVMList(vms []relay.ListedVM, now time.Time) []PeerState {
	for _, p := range t.peers {
		p.listed, p.leaving = false, false
	}
	for _, v := range vms {
		p := t.peer(v.Daemon)
		p.vm, p.listed, p.leaving = v.VM, true, v.State == relay.Leaving
	}
	return t.updateAll(now)
}

// MarkAnswered records that a peer answered. A single answer makes a suspect peer alive again, unless it is damped.
func (t *Table) MarkAnswered(daemon netip.AddrPort, draining bool, now time.Time) []PeerState {
	p, ok := t.peers[daemon]
	if !ok {
		return nil
	}
	p.failed, p.down, p.draining = false, false, draining
	return t.update(daemon, p, now)
}

// MarkConnected records that the peer on a VM opened a connection to this daemon, which shows that it is running.
func (t *Table) MarkConnected(vm ident.VM, draining bool, now time.Time) []PeerState {
	var changes []PeerState
	for daemon, p := range t.peers {
		if p.vm == vm {
			changes = append(changes, t.MarkAnswered(daemon, draining, now)...)
		}
	}
	return changes
}

// MarkUnreachable records that a peer did not answer or that the connection to it failed.
func (t *Table) MarkUnreachable(daemon netip.AddrPort, now time.Time) []PeerState {
	p, ok := t.peers[daemon]
	if !ok {
		return nil
	}
	if !p.failed {
		p.failed, p.failedAt = true, now
		p.failures = slices.DeleteFunc(p.failures, func(f time.Time) bool { return now.Sub(f) >= flapWindow })
		if p.failures = append(p.failures, now); len(p.failures) >= flapLimit {
			p.dampedUntil, p.failures = now.Add(dampDuration), nil
		}
	}
	return t.update(daemon, p, now)
}

// MarkDraining records that the peer on a VM announced its planned stop.
func (t *Table) MarkDraining(vm ident.VM, now time.Time) []PeerState {
	var changes []PeerState
	for daemon, p := range t.peers {
		if p.vm == vm {
			p.draining = true
			changes = append(changes, t.update(daemon, p, now)...)
		}
	}
	return changes
}

// Tick marks suspect peers down after the suspect timeout and ends the damping of peers whose damping time has passed.
func (t *Table) Tick(now time.Time) []PeerState { return t.updateAll(now) }

// NextTick returns the next time at which Tick may change a state, or false if there is none.
func (t *Table) NextTick(now time.Time) (time.Time, bool) {
	var next time.Time
	for _, p := range t.peers {
		for _, at := range []time.Time{p.failedAt.Add(suspectTimeout), p.dampedUntil} {
			// The end of the suspect timeout matters only for a suspect peer, the end of the damping for any peer.
			pending := p.failed && !p.down || at.Equal(p.dampedUntil)
			if pending && at.After(now) && (next.IsZero() || at.Before(next)) {
				next = at
			}
		}
	}
	return next, !next.IsZero()
}

// StateOf returns the state of a peer, or Alive if the peer is unknown.
func (t *Table) StateOf(daemon netip.AddrPort) State {
	if p, ok := t.peers[daemon]; ok {
		return p.reported
	}
	return Alive
}

// Peers returns the states of all peers, sorted by VM.
func (t *Table) Peers() []PeerState {
	var out []PeerState
	for daemon, p := range t.peers {
		out = append(out, PeerState{VM: p.vm, Daemon: daemon, State: p.reported})
	}
	sortByVM(out)
	return out
}

func (t *Table) peer(daemon netip.AddrPort) *peer {
	p, ok := t.peers[daemon]
	if !ok {
		p = &peer{reported: Alive}
		t.peers[daemon] = p
	}
	return p
}

func (t *Table) updateAll(now time.Time) []PeerState {
	var out []PeerState
	for daemon, p := range t.peers {
		if !p.inRelease && !p.listed {
			delete(t.peers, daemon)
			continue
		}
		out = append(out, t.update(daemon, p, now)...)
	}
	sortByVM(out)
	return out
}

func sortByVM(peers []PeerState) {
	slices.SortFunc(peers, func(a, b PeerState) int { return strings.Compare(string(a.VM), string(b.VM)) })
}

func (t *Table) update(daemon netip.AddrPort, p *peer, now time.Time) []PeerState {
	p.down = p.failed && now.Sub(p.failedAt) >= suspectTimeout
	s := p.state(now)
	if s == p.reported {
		return nil
	}
	p.reported = s
	return []PeerState{{VM: p.vm, Daemon: daemon, State: s}}
}

// state derives the state of a peer. Direct observations take precedence over the VM list, which lags behind.
func (p *peer) state(now time.Time) State {
	switch {
	case p.down:
		return Down
	case p.draining:
		return Draining
	case p.leaving:
		return Leaving
	case p.failed || now.Before(p.dampedUntil):
		return Suspect
	}
	return Alive
}
