package feed

import (
	"hash/fnv"
	"time"

	"jacinthcross/internal/fleet/follow"
)

const (
	// maxUnconfirmed is the time without a confirmation of the store after which a daemon reads the store itself, whatever
	// its sources do: they may be turned away by the store, frozen or cut off, several at once. While they work,
	// confirmations are at most about 0.8 s apart (watchWait, watchDelay and the way to this daemon). With
	// followerCheckDelay, checkSpread and the read, a change is in force within 1.8 s.
	maxUnconfirmed = 1100 * time.Millisecond
	// followerCheckDelay gives the leaders of the data centres time to read the store for their followers.
	followerCheckDelay = 150 * time.Millisecond
	// checkSpread spreads the reads of the followers.
	checkSpread = 100 * time.Millisecond
)

// nextCheck returns when checkStore has to read the store, and false while it need not.
func (t *Task) nextCheck() (time.Time, bool) {
	if t.checking || t.confirmedAt.IsZero() || t.readingStore() {
		return time.Time{}, false
	}
	at := t.confirmedAt.Add(maxUnconfirmed)
	if !t.position.ReadsStore && !t.position.LeadsDataCentre {
		at = at.Add(followerCheckDelay + t.checkOffset)
	}
	if retryAt := t.sources.StoreRetryAt(); retryAt.After(at) {
		at = retryAt
	}
	return at, true
}

// readingStore reports whether the regular read in progress is one of the store.
func (t *Task) readingStore() bool {
	return t.cancel != nil && t.source == follow.Source(follow.StoreSource{})
}

// checkStore reads the store, concurrently with the regular read from a peer, when the roster has not been confirmed for
// too long.
func (t *Task) checkStore(now time.Time) {
	if at, ok := t.nextCheck(); !ok || at.After(now) {
		return
	}
	t.checking = true
	t.runRead(storeCheckRead, follow.StoreSource{}, t.storeRead(false))
}

// checkOffsetOf returns the part of checkSpread after which a daemon checks the store.
func checkOffsetOf(self follow.Peer) time.Duration {
	h := fnv.New32a()
	h.Write([]byte(self.VM))
	return time.Duration(h.Sum32()) % checkSpread
}
