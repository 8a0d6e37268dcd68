// Package split divides the calls of a route between services in proportion to weights.
package split

import (
	"math/rand/v2"
	"slices"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
)

// A Splitter keeps, for each route, what each service is owed of the calls so far. Its choices follow the
// weights within one call at any time, also when a service is short of room.
type Splitter struct {
	random *rand.Rand
	routes map[ident.Route]*state
}

type state struct {
	shares []note.Share
	credit []int
}

// An Option sets a property of a Splitter.
type Option func(*Splitter)

// WithRandom sets the source of the phase at which a route begins.
func WithRandom(r *rand.Rand) Option { return func(s *Splitter) { s.random = r } }

// New returns a Splitter without routes.
func New(options ...Option) *Splitter {
	s := &Splitter{routes: map[ident.Route]*state{}}
	for _, o := range options {
		o(s)
	}
	if s.random == nil {
		s.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return s
}

// Choose returns the service of the next call of a route, which has at least one share with a weight.
func (s *Splitter) Choose(r note.Route) ident.Service {
	if len(r.Split) == 1 {
		return r.Split[0].Service
	}
	total := 0
	for _, p := range r.Split {
		total += p.Weight
	}
	st, ok := s.routes[r.Name]
	if !ok || !slices.Equal(st.shares, r.Split) {
		st = s.begin(r, total)
	}
	return r.Split[st.next(total)].Service
}

// next returns the service that is owed most. A service without weight is never owed anything.
func (st *state) next(total int) int {
	best := 0
	for i, p := range st.shares {
		st.credit[i] += p.Weight
		if st.credit[i] > st.credit[best] {
			best = i
		}
	}
	st.credit[best] -= total
	return best
}

// begin starts a route at a random phase. Otherwise many daemons with few calls each would send
// their first ones to the same service.
func (s *Splitter) begin(r note.Route, total int) *state {
	st := &state{shares: slices.Clone(r.Split), credit: make([]int, len(r.Split))}
	for range s.random.IntN(total) {
		st.next(total)
	}
	s.routes[r.Name] = st
	return st
}

// Keep forgets the routes that are not in a release.
func (s *Splitter) Keep(routes map[ident.Route]note.Route) {
	for name := range s.routes {
		if _, ok := routes[name]; !ok {
			delete(s.routes, name)
		}
	}
}
