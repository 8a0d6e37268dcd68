package route

import (
	"hash/fnv"
	"slices"

	"jacinthcross/internal/base/ident"
)

// A Candidate is a target that a daemon may choose.
type Candidate struct {
	Target     ident.Target
	VM         ident.VM
	DataCentre ident.DataCentre
	Region     ident.Region
	Slots      int
}

const (
	// candidateCap bounds the state, links and messages that one service costs a daemon.
	candidateCap = 16
	// remoteCandidates is the part of them that other data centres get at least, so that the
	// loss of the own targets does not leave a large service without candidates. Half of them are of other
	// regions, which are farther, but are left when the own region has lost the targets of the service.
	remoteCandidates = 4
)

// choose keeps candidateCap candidates: at least remoteCandidates of other data centres where there are as
// many, half of them of other regions.
func (t *Table) choose(candidates []Candidate) []Candidate {
	if len(candidates) <= candidateCap {
		return candidates
	}
	var near, regional, far []Candidate
	for _, c := range candidates {
		switch t.locality(c) {
		case ownVM, ownDataCentre:
			near = append(near, c)
		case ownRegion:
			regional = append(regional, c)
		case elsewhere:
			far = append(far, c)
		}
	}
	minFar := min(len(far), max(remoteCandidates/2, remoteCandidates-len(regional)))
	minRegional := min(len(regional), remoteCandidates-minFar)
	near = near[:min(len(near), candidateCap-minRegional-minFar)]
	regional = regional[:min(len(regional), candidateCap-len(near)-minFar)]
	far = far[:min(len(far), candidateCap-len(near)-len(regional))]
	return slices.Concat(near, regional, far)
}

// A locality is where a candidate is, seen from the daemon.
type locality string

// The localities, in the order of preference.
const (
	ownVM         locality = "OwnVM"
	ownDataCentre locality = "OwnDataCentre"
	ownRegion     locality = "OwnRegion"
	elsewhere     locality = "Elsewhere"
)

func (t *Table) locality(c Candidate) locality {
	switch {
	case c.VM == t.vm:
		return ownVM
	case c.DataCentre == t.dataCentre:
		return ownDataCentre
	case t.region != "" && c.Region == t.region:
		return ownRegion
	}
	return elsewhere
}

// compare orders the own target first, then the own data centre, then by rendezvous hash.
func (t *Table) compare(a, b Candidate) int {
	if n := order(a.VM == t.vm, b.VM == t.vm); n != 0 {
		return n
	}
	if n := order(a.DataCentre == t.dataCentre, b.DataCentre == t.dataCentre); n != 0 {
		return n
	}
	if t.weight(a.Target) > t.weight(b.Target) {
		return -1
	}
	return 1
}

func order(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	}
	return 1
}

func (t *Table) weight(target ident.Target) uint64 {
	h := fnv.New64a()
	h.Write([]byte(t.vm))
	h.Write([]byte{0})
	h.Write([]byte(target))
	return h.Sum64()
}
