package load

import (
	"math/rand/v2"
	"slices"
	"time"

	"jacinthcross/internal/bench/setup"
)

// An arrival is one call of the schedule.
type arrival struct {
	at   time.Duration
	load int
	// daemonIndex is the index of the daemon that receives the first send.
	daemonIndex int
	id          int
}

// schedule draws the arrival times of all loads. It depends only on the scenario and the
// number of daemons that receive calls, so that all balancers get the same calls at the same times.
func schedule(s *setup.Scenario, daemons int) []arrival {
	var calls []arrival
	for i, l := range s.Loads {
		random := rand.New(rand.NewPCG(s.Seed, uint64(i)))
		gap := func() time.Duration { return time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second)) }
		for at := l.From + gap(); at < l.Until; at += gap() {
			calls = append(calls, arrival{at: at, load: i, daemonIndex: random.IntN(daemons)})
		}
	}
	slices.SortFunc(calls, func(a, b arrival) int { return int(a.at - b.at) })
	for i := range calls {
		calls[i].id = i
	}
	return calls
}
