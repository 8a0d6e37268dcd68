package crash

import (
	"time"

	"jacinthcross/internal/base/ident"
)

// A Tally is what one daemon process has counted against a request of a service. Its counts never decrease, so tallies
// with the same request and origin are merged by taking the larger counts, however often, in whatever order and through
// whichever daemon they arrive.
type Tally struct {
	Service ident.Service
	Digest  ident.Digest
	Origin  ident.Incarnation
	// Crashes counts the crashes of the target beside the origin during which the request was in flight and had not
	// completed there recently.
	Crashes int
	// Confirmed is the value of Crashes at the last crash during which the request was the only suspect in flight and had
	// been one when it was dispatched, or 0.
	Confirmed int
	// Cleared is the value of Crashes up to which crashes no longer count, because the request has completed since.
	Cleared int
	// Age is the time since the last crash that the tally counts.
	Age time.Duration
}

func (y Tally) valid() bool {
	return !y.Origin.IsZero() && y.Crashes > 0 && y.Crashes <= maxTallyCrashes &&
		y.Confirmed >= 0 && y.Confirmed <= y.Crashes && y.Cleared >= 0 && y.Cleared <= y.Crashes && y.Age >= 0 && y.Age < tallyLifetime
}

// maxTallyCrashes rejects corrupt tallies. A target that crashes every second reaches it after a day.
const maxTallyCrashes = 100_000

// tally is a Tally in a Registry.
type tally struct {
	crashes, confirmed, cleared int
	lastCrash                   time.Time
}

// merge takes over the larger counts and reports whether there were any.
func (y *tally) merge(other Tally, now time.Time) bool {
	if other.Crashes <= y.crashes && other.Confirmed <= y.confirmed && other.Cleared <= y.cleared {
		return false
	}
	if at := now.Add(-other.Age); other.Crashes > y.crashes && at.After(y.lastCrash) {
		y.lastCrash = at
	}
	y.crashes, y.confirmed, y.cleared = max(y.crashes, other.Crashes), max(y.confirmed, other.Confirmed), max(y.cleared, other.Cleared)
	return true
}

// counted returns the crashes that count against the request.
func (y *tally) counted() int { return y.crashes - y.cleared }

// record holds the tallies of one request by their origins.
type record map[ident.Incarnation]*tally

// standing returns the number of crashes that count against the request, whether any of them is confirmed, and the time
// of the last one.
func (r record) standing(now time.Time) (crashes int, confirmed bool, last time.Time) {
	for _, y := range r {
		if y.counted() == 0 || now.Sub(y.lastCrash) >= tallyLifetime {
			continue
		}
		crashes += y.counted()
		confirmed = confirmed || y.confirmed > y.cleared
		if y.lastCrash.After(last) {
			last = y.lastCrash
		}
	}
	return crashes, confirmed, last
}

func (r record) isSuspect(now time.Time) bool {
	crashes, _, _ := r.standing(now)
	return crashes >= minSuspectCrashes
}

// clear makes all crashes so far no longer count.
func (r record) clear() {
	for _, y := range r {
		y.cleared = y.crashes
	}
}

// lastCrash returns the time of the last crash, cleared or not.
func (r record) lastCrash() time.Time {
	var last time.Time
	for _, y := range r {
		if y.lastCrash.After(last) {
			last = y.lastCrash
		}
	}
	return last
}
