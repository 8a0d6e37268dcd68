package load

import (
	"math/rand/v2"
	"slices"
	"time"

	"jacinthcross/internal/bench/setup"
)

// A planned call is one arrival of the schedule.
type planned struct {
	at    time.Duration
	load  int
	entry int
	id    int
}

// schedule draws the arrivals of all loads. It depends only on the scenario, so
// that all balancers get the same calls at the same times.
func schedule(s *setup.Scenario, entries int) []planned {
	var calls []planned
	for i, l := range s.Loads {
		random := rand.New(rand.NewPCG(s.Seed, uint64(i)))
		gap := func() time.Duration { return time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second)) }
		for at := l.From + gap(); at < l.Until; at += gap() {
			calls = append(calls, planned{at: at, load: i, entry: random.IntN(entries)})
		}
	}
	slices.SortFunc(calls, func(a, b planned) int { return int(a.at - b.at) })
	for i := range calls {
		calls[i].id = i
	}
	return calls
}
