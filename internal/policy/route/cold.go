package route

import (
	"slices"
	"time"

	"jacinthcross/internal/base/ident"
)

const (
	// coldPenalty is added to the score of a cold target. It equals the base penalty of another data centre, so that calls
	// go to a warm target there with free slots, but do not overload it while cold ones in the own data centre have room.
	coldPenalty = baseRemotePenalty
	// minColdLimit is the lowest concurrency limit assumed for a cold target, which keeps the score finite while the
	// latency of the service is not known.
	minColdLimit = 0.5
)

// ranks is the number of ranks.
const ranks = 3

// A coldState is what is known of the cold time of a target after its start.
type coldState struct {
	coldUntil time.Time
	// fullUntil holds, for each rank by its position, when the cold target is expected to have room for a call.
	fullUntil [ranks]time.Time
}

// applyColdTime applies the cold time in a load report.
func (c *coldState) applyColdTime(untilWarm time.Duration, now time.Time) {
	if untilWarm <= 0 {
		*c = coldState{}
		return
	}
	c.coldUntil = now.Add(untilWarm)
}

// isCold reports whether the target is cold and has a limit. Before its first load report, its entry decides.
func (s *candidateState) isCold(now time.Time) bool {
	if s.ColdRate <= 0 {
		return false
	}
	return now.Before(s.coldUntil) || s.lastReport.IsZero() && now.Before(s.WarmAt)
}

// isColdAndFull reports whether the target is cold and has no room for a call of the given rank.
func (s *candidateState) isColdAndFull(r ident.Rank, now time.Time) bool {
	return s.isCold(now) && now.Before(s.fullUntil[r.Position()])
}

// effectiveLimit returns how many calls the target can run at once without falling behind. While it is cold, these are the
// calls in flight at the rate that it tolerates.
func (sc scorer) effectiveLimit(s *candidateState) float64 {
	limit := s.concurrencyLimit()
	if !s.isCold(sc.now) {
		return limit
	}
	return min(limit, max(minColdLimit, s.ColdRate*sc.serviceLatency()))
}

// RecordColdRefusal records that a cold target refused a call of the given rank and expects to have room for such a call
// after the given time. Less important calls have to wait for as long.
func (t *Table) RecordColdRefusal(target ident.Target, r ident.Rank, retryAfter time.Duration, now time.Time) {
	s := t.find(target)
	if s == nil {
		return
	}
	s.fullUntil[r.Position()] = now.Add(retryAfter)
	for i := r.Position() + 1; i < ranks; i++ {
		if s.fullUntil[i].Before(now.Add(retryAfter)) {
			s.fullUntil[i] = now.Add(retryAfter)
		}
	}
}

// A ColdRoom is the target that is the first of several cold ones to have room for a call, and when.
type ColdRoom struct {
	Target ident.Target
	At     time.Time
}

// NextColdRoom reports whether all available targets that are not excluded are cold and have no room for a call of the
// given rank, and which one is the first to have room.
func (t *Table) NextColdRoom(r ident.Rank, now time.Time, excluded []ident.Target) (ColdRoom, bool) {
	var room ColdRoom
	for _, s := range t.states {
		if s.draining || s.isDown() || s.isEjected(now) || slices.Contains(excluded, s.Target) {
			continue
		}
		if !s.isColdAndFull(r, now) {
			return ColdRoom{}, false
		}
		if at := s.fullUntil[r.Position()]; room.Target == "" || at.Before(room.At) {
			room = ColdRoom{s.Target, at}
		}
	}
	return room, room.Target != ""
}
