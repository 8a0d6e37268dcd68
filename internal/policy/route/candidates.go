package route

import (
	"hash/fnv"
	"slices"
	"time"

	"jacinthcross/internal/base/ident"
)

// A Candidate is a target that a daemon may route calls to.
type Candidate struct {
	Target     ident.Target
	VM         ident.VM
	DataCentre ident.DataCentre
	Region     ident.Region
	Slots      int
	// ColdRate is the number of requests per second that the target tolerates while it is cold, or 0 without a limit.
	ColdRate float64
	// WarmAt is the time at which the target is warm according to its entry, or zero.
	WarmAt time.Time
}

const (
	// maxCandidates limits the memory, connections and messages that a daemon needs for one service.
	maxCandidates = 16
	// minRemoteCandidates is the minimum number of candidates from other data centres, so that a large service
	// keeps candidates when all targets in the local data centre fail or are full. Half of them are from other
	// regions: these are farther away, but remain when the whole region has lost the targets of the service. A data
	// centre that is short of targets needs room in several others.
	minRemoteCandidates = 7
)

// limitCandidates keeps at most maxCandidates of the candidates, which must be in order of preference. At least
// minRemoteCandidates of them are from other data centres, if there are that many, and half of those from other
// regions.
func (t *Table) limitCandidates(candidates []Candidate) []Candidate {
	if len(candidates) <= maxCandidates {
		return candidates
	}
	var local, sameRegion, otherRegions []Candidate
	for _, c := range candidates {
		switch t.locality(c) {
		case localVM, localDataCentre:
			local = append(local, c)
		case localRegion:
			sameRegion = append(sameRegion, c)
		case elsewhere:
			otherRegions = append(otherRegions, c)
		}
	}
	minOtherRegions := min(len(otherRegions), max(minRemoteCandidates/2, minRemoteCandidates-len(sameRegion)))
	minSameRegion := min(len(sameRegion), minRemoteCandidates-minOtherRegions)
	local = local[:min(len(local), maxCandidates-minSameRegion-minOtherRegions)]
	sameRegion = spread(sameRegion, min(len(sameRegion), maxCandidates-len(local)-minOtherRegions))
	otherRegions = spread(otherRegions, min(len(otherRegions), maxCandidates-len(local)-len(sameRegion)))
	return slices.Concat(local, sameRegion, otherRegions)
}

// spread returns the first n candidates, taking one of each data centre in turn, so that a daemon knows room in many of
// them.
func spread(candidates []Candidate, n int) []Candidate {
	taken := map[ident.DataCentre]int{}
	round := make(map[ident.Target]int, len(candidates))
	for _, c := range candidates {
		round[c.Target] = taken[c.DataCentre]
		taken[c.DataCentre]++
	}
	candidates = slices.Clone(candidates)
	slices.SortStableFunc(candidates, func(a, b Candidate) int { return round[a.Target] - round[b.Target] })
	return candidates[:n]
}

// A locality is the position of a candidate relative to the daemon.
type locality string

// The localities, nearest first.
const (
	localVM         locality = "OwnVM"
	localDataCentre locality = "OwnDataCentre"
	localRegion     locality = "OwnRegion"
	elsewhere       locality = "Elsewhere"
)

func (t *Table) locality(c Candidate) locality {
	switch {
	case c.VM == t.vm:
		return localVM
	case c.DataCentre == t.dataCentre:
		return localDataCentre
	case t.region != "" && c.Region == t.region:
		return localRegion
	}
	return elsewhere
}

// compare orders candidates: first the candidate on the daemon's VM, then those in its data centre, then all others.
// Within a group, the rendezvous hash decides.
func (t *Table) compare(a, b Candidate) int {
	if n := compareTrueFirst(a.VM == t.vm, b.VM == t.vm); n != 0 {
		return n
	}
	if n := compareTrueFirst(a.DataCentre == t.dataCentre, b.DataCentre == t.dataCentre); n != 0 {
		return n
	}
	if t.rendezvousHash(a.Target) > t.rendezvousHash(b.Target) {
		return -1
	}
	return 1
}

func compareTrueFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

func (t *Table) rendezvousHash(target ident.Target) uint64 {
	h := fnv.New64a()
	h.Write([]byte(t.vm))
	h.Write([]byte{0})
	h.Write([]byte(target))
	return h.Sum64()
}
