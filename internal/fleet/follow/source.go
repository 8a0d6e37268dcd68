package follow

import (
	"net/netip"
	"time"
)

// A Source is where a daemon asks for changes: the Store or a FromPeer.
type Source interface{ source() }

// Store is the platform's store.
type Store struct{}

// FromPeer is another daemon.
type FromPeer struct{ Peer }

func (Store) source()    {}
func (FromPeer) source() {}

// The delays after a failure double with each one that follows it. All calls of the store are counted, failed ones
// too, so those that do not have to read it ask less often.
const (
	firstStoreDelay   = 100 * time.Millisecond
	longestStoreDelay = time.Second
	// firstOtherDelay gives the first daemons of the data centres time to reach a store that turned the reader away.
	firstOtherDelay = time.Second
	// longestOtherDelay keeps a change in force within 2.5 s on a daemon whose peers are all turned away.
	longestOtherDelay = 2 * time.Second
	firstPeerDelay    = 500 * time.Millisecond
	longestPeerDelay  = 8 * time.Second
	// stalePeerDelay is short because a question to a daemon that runs costs little.
	stalePeerDelay = time.Second
)

// Sources remember which sources have failed.
type Sources struct {
	store failure
	peers map[netip.AddrPort]failure
}

type failure struct {
	n     int
	until time.Time
}

// NewSources returns Sources without failures.
func NewSources() *Sources { return &Sources{peers: map[netip.AddrPort]failure{}} }

// Choose returns the source to ask next and when: the first of the order that has not failed lately, or the one
// whose delay ends first.
func (s *Sources) Choose(p Place, now time.Time) (Source, time.Time) {
	var order []Source
	if p.Reads {
		order = append(order, Store{})
	}
	for _, peer := range p.Peers {
		order = append(order, FromPeer{peer})
	}
	if !p.Reads {
		order = append(order, Store{})
	}
	best, at := order[0], s.of(order[0]).until
	for _, o := range order {
		until := s.of(o).until
		if !until.After(now) {
			return o, now
		}
		if until.Before(at) {
			best, at = o, until
		}
	}
	return best, at
}

// Failed notes that a source did not answer.
func (s *Sources) Failed(source Source, p Place, now time.Time) {
	f := s.of(source)
	first, longest := firstPeerDelay, longestPeerDelay
	if _, ok := source.(Store); ok {
		first, longest = firstStoreDelay, longestStoreDelay
		if !p.Reads && !p.Leads {
			first, longest = firstOtherDelay, longestOtherDelay
		}
	}
	f.until = now.Add(min(longest, first<<min(f.n, 10)))
	f.n++
	s.set(source, f)
}

// Stale notes that a peer has answered and knows nothing newer than the asker, or has lost its own sources.
// Its sources fail for it too, so a daemon that only follows leaves the store to others at first.
func (s *Sources) Stale(source Source, p Place, now time.Time) {
	s.set(source, failure{n: s.of(source).n, until: now.Add(stalePeerDelay)})
	if !p.Reads && !p.Leads && s.store == (failure{}) {
		s.store.until = now.Add(firstOtherDelay)
	}
}

// Worked notes that a source has answered.
func (s *Sources) Worked(source Source) {
	s.set(source, failure{})
	if _, ok := source.(FromPeer); ok {
		s.store = failure{}
	}
}

// Keep forgets the peers that are not in a place.
func (s *Sources) Keep(p Place) {
	kept := map[netip.AddrPort]failure{}
	for _, peer := range p.Peers {
		if f, ok := s.peers[peer.Daemon]; ok {
			kept[peer.Daemon] = f
		}
	}
	s.peers = kept
}

func (s *Sources) of(source Source) failure {
	switch source := source.(type) {
	case Store:
		return s.store
	case FromPeer:
		return s.peers[source.Daemon]
	}
	return failure{}
}

func (s *Sources) set(source Source, f failure) {
	switch source := source.(type) {
	case Store:
		s.store = f
	case FromPeer:
		s.peers[source.Daemon] = f
	}
}
