package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/policy/retry"
)

// Guards against repeats of all daemons together that exceed the platform's bound in some window, however many
// daemons there are and however the calls are spread.
func TestSharesAddUpToTheBound(t *testing.T) {
	bound := retry.Bound{Ratio: .2, Slack: 62, Window: 10 * time.Second}
	for _, test := range []struct {
		name    string
		daemons int
		// calls is the number of calls of all daemons per second, and failing the share of them that want a repeat.
		calls   int
		failing float64
		burst   bool
	}{
		{"one daemon", 1, 100, 1, false},
		{"eleven daemons", 11, 100, 1, false},
		{"80 daemons with few calls", 80, 40, 1, false},
		{"no calls but of a burst", 11, 300, 1, true},
		{"few failures", 11, 100, .05, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			random := rand.New(rand.NewPCG(1, 2))
			var daemons []*retry.Shares
			for range test.daemons {
				s := retry.NewShares(bound, now)
				s.SetFleet(test.daemons)
				daemons = append(daemons, s)
			}
			var calls, repeats []time.Time
			wanted := 0
			for step := range 40_000 {
				now = now.Add(time.Millisecond)
				if test.burst && step/1000%13 != 0 || random.Float64() > float64(test.calls)/1000 {
					continue
				}
				d := daemons[random.IntN(len(daemons))]
				d.Called("s", now)
				calls = append(calls, now)
				if random.Float64() < test.failing {
					wanted++
					if d.Take("s", now) {
						repeats = append(repeats, now)
					}
				}
			}
			for i, from := range repeats {
				n := 0
				for _, r := range repeats[i:] {
					if r.Sub(from) < bound.Window {
						n++
					}
				}
				c := 0
				for _, at := range calls {
					if !at.Before(from) && at.Sub(from) < bound.Window {
						c++
					}
				}
				qt.Assert(t, float64(n) <= bound.Ratio*float64(c)+bound.Slack, qt.IsTrue, qt.Commentf("%d repeats of %d calls", n, c))
			}
			if test.failing < .1 {
				qt.Assert(t, len(repeats) >= wanted*9/10, qt.IsTrue, qt.Commentf("%d of %d allowed", len(repeats), wanted))
			}
		})
	}
}
