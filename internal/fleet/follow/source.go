package follow

import (
	"net/netip"
	"time"
)

// A Source provides changes of the published state: StoreSource or PeerSource.
type Source interface{ source() }

// StoreSource is the platform's store.
type StoreSource struct{}

// PeerSource is another daemon as a source.
type PeerSource struct{ Peer }

func (StoreSource) source() {}
func (PeerSource) source()  {}

// Retry delays. A delay with a minimum and a maximum doubles with each further failure. The platform counts every call
// to the store, even if it fails, so daemons that do not have to read the store retry it less often. A follower is a
// daemon that is neither the reader of its region nor the leader of its data centre (see PositionOf).
const (
	minStoreDelay = 100 * time.Millisecond
	maxStoreDelay = time.Second
	// minFollowerStoreDelay gives the leaders of the data centres time to reach a store that refused the reader.
	minFollowerStoreDelay = time.Second
	// maxFollowerStoreDelay ensures that a change is in force within 2.5 s on a daemon whose peers are all refused by
	// the store.
	maxFollowerStoreDelay = 2 * time.Second
	minPeerDelay          = 500 * time.Millisecond
	maxPeerDelay          = 8 * time.Second
	// stalePeerDelay does not grow, because a request to a running daemon is cheap.
	stalePeerDelay = time.Second
)

// A SourceChooser chooses the source to ask next. It delays requests to sources that have failed.
type SourceChooser struct {
	store retryState
	peers map[netip.AddrPort]retryState
}

// A retryState is the number of successive failures of a source and the time before which it is not asked again. It is
// zero for a source that works.
type retryState struct {
	failures int
	retryAt  time.Time
}

// NewSourceChooser returns a SourceChooser without failures.
func NewSourceChooser() *SourceChooser { return &SourceChooser{peers: map[netip.AddrPort]retryState{}} }

// Choose returns the source to ask next and the time to do so: the first source in order of preference that is not
// delayed, or else the source whose delay ends first.
func (s *SourceChooser) Choose(p Position, now time.Time) (Source, time.Time) {
	var sources []Source
	if p.ReadsStore {
		sources = append(sources, StoreSource{})
	}
	for _, peer := range p.Peers {
		sources = append(sources, PeerSource{peer})
	}
	if !p.ReadsStore {
		sources = append(sources, StoreSource{})
	}
	best, at := sources[0], s.retryStateOf(sources[0]).retryAt
	for _, o := range sources {
		retryAt := s.retryStateOf(o).retryAt
		if !retryAt.After(now) {
			return o, now
		}
		if retryAt.Before(at) {
			best, at = o, retryAt
		}
	}
	return best, at
}

// MarkFailed records that a source did not answer.
func (s *SourceChooser) MarkFailed(source Source, p Position, now time.Time) {
	f := s.retryStateOf(source)
	minDelay, maxDelay := minPeerDelay, maxPeerDelay
	if _, ok := source.(StoreSource); ok {
		minDelay, maxDelay = minStoreDelay, maxStoreDelay
		if !p.ReadsStore && !p.LeadsDataCentre {
			minDelay, maxDelay = minFollowerStoreDelay, maxFollowerStoreDelay
		}
	}
	f.retryAt = now.Add(min(maxDelay, minDelay<<min(f.failures, 10)))
	f.failures++
	s.setRetryState(source, f)
}

// MarkStale records that a peer answered but that its state is outdated or it has lost its own sources. The store then
// probably fails for the whole region, so a daemon that is neither reader nor leader delays its own reads of it.
func (s *SourceChooser) MarkStale(source Source, p Position, now time.Time) {
	s.setRetryState(source, retryState{failures: s.retryStateOf(source).failures, retryAt: now.Add(stalePeerDelay)})
	if !p.ReadsStore && !p.LeadsDataCentre && s.store == (retryState{}) {
		s.store.retryAt = now.Add(minFollowerStoreDelay)
	}
}

// MarkWorked records that a source has answered with current state.
func (s *SourceChooser) MarkWorked(source Source) {
	s.setRetryState(source, retryState{})
	if _, ok := source.(PeerSource); ok {
		// A peer has current state, so the store can probably be read again: its delay and failure count are cleared.
		s.store = retryState{}
	}
}

// StoreRetryAt returns the time before which the store is not read after a failure, or zero if it has not failed.
func (s *SourceChooser) StoreRetryAt() time.Time {
	if s.store.failures == 0 {
		return time.Time{}
	}
	return s.store.retryAt
}

// Retain drops the retry states of peers that the daemon no longer asks.
func (s *SourceChooser) Retain(p Position) {
	kept := map[netip.AddrPort]retryState{}
	for _, peer := range p.Peers {
		if f, ok := s.peers[peer.Daemon]; ok {
			kept[peer.Daemon] = f
		}
	}
	s.peers = kept
}

func (s *SourceChooser) retryStateOf(source Source) retryState {
	switch source := source.(type) {
	case StoreSource:
		return s.store
	case PeerSource:
		return s.peers[source.Daemon]
	}
	return retryState{}
}

func (s *SourceChooser) setRetryState(source Source, f retryState) {
	switch source := source.(type) {
	case StoreSource:
		s.store = f
	case PeerSource:
		s.peers[source.Daemon] = f
	}
}
