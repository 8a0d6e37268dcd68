// Package split distributes the calls of a route among services in proportion to their weights.
package split

import (
	"math/rand/v2"
	"slices"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
)

// A Splitter chooses services by smooth weighted round robin, with separate credits for each route. At any time, the
// number of calls of each service differs from its share by at most about one call. The load of a service is not
// taken into account.
type Splitter struct {
	random *rand.Rand
	routes map[ident.Route]*routeState
}

type routeState struct {
	shares  []note.Share
	credits []int
}

// An Option sets a property of a Splitter.
type Option func(*Splitter)

// WithRandom sets the source of the random offset at which a route starts.
func WithRandom(r *rand.Rand) Option { return func(s *Splitter) { s.random = r } }

// New returns a Splitter without routes.
func New(options ...Option) *Splitter {
	s := &Splitter{routes: map[ident.Route]*routeState{}}
	for _, o := range options {
		o(s)
	}
	if s.random == nil {
		s.random = rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	}
	return s
}

// Choose returns the service for the next call of a route. It panics if a route with several services has none with a
// weight above 0.
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
		st = s.startRoute(r, total)
	}
	return r.Split[st.next(total)].Service
}

// next adds the weight of each service to its credit, subtracts the total of the weights from the highest credit, and
// returns the index of the service that has it. A service of weight 0 is never chosen.
func (st *routeState) next(total int) int {
	best := 0
	for i, p := range st.shares {
		st.credits[i] += p.Weight
		if st.credits[i] > st.credits[best] {
			best = i
		}
	}
	st.credits[best] -= total
	return best
}

// startRoute starts a route at a random offset in its sequence. Otherwise many daemons with few calls each
// would all send their first calls to the same service.
func (s *Splitter) startRoute(r note.Route, total int) *routeState {
	st := &routeState{shares: slices.Clone(r.Split), credits: make([]int, len(r.Split))}
	for range s.random.IntN(total) {
		st.next(total)
	}
	s.routes[r.Name] = st
	return st
}

// Retain deletes the state of all routes that are not in routes.
func (s *Splitter) Retain(routes map[ident.Route]note.Route) {
	for name := range s.routes {
		if _, ok := routes[name]; !ok {
			delete(s.routes, name)
		}
	}
}
