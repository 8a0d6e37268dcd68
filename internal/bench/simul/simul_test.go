package simul

import (
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/policy/route"
)

// BenchmarkCompare runs and prints the comparison of all policies.
func BenchmarkCompare(b *testing.B) {
	for range b.N {
		if err := Compare(os.Stdout, 1); err != nil {
			b.Fatal(err)
		}
	}
}

// TestRoutingGoals guards against routing changes that miss the goals of the design: p99 at most 1.2 times that of
// the oracle and, with a straggler, at most half that of round robin; and probes within the budget of the profile.
func TestRoutingGoals(t *testing.T) {
	const duration, seed = 10 * time.Second, 2
	profiles := []struct {
		profile route.Profile
		probes  float64
	}{{route.ProfileTail, .05}, {route.ProfileCost, .01}}
	for _, deployment := range Deployments() {
		for _, scenario := range Scenarios() {
			t.Run(deployment.Name+"/"+string(scenario), func(t *testing.T) {
				t.Parallel()
				oracle, roundRobin := Run(deployment, scenario, Oracle{}, duration, seed), Run(deployment, scenario, RoundRobin{}, duration, seed)
				for _, p := range profiles {
					r := Run(deployment, scenario, DaemonTable{p.profile}, duration, seed)
					p99 := r.Quantile(.99)
					t.Logf("%s: p99 %.2f ms, oracle %.2f ms, round robin %.2f ms", p.profile, p99, oracle.Quantile(.99), roundRobin.Quantile(.99))
					qt.Check(t, len(r.latencies) > 10_000, qt.IsTrue)
					qt.Check(t, r.Failed, qt.Equals, 0)
					qt.Check(t, p99 <= 1.2*oracle.Quantile(.99), qt.IsTrue, qt.Commentf("%s", p.profile))
					qt.Check(t, float64(r.Probes) <= p.probes*float64(r.Calls), qt.IsTrue, qt.Commentf("%s: %d probes", p.profile, r.Probes))
					if scenario == Straggler {
						qt.Check(t, p99 <= roundRobin.Quantile(.99)/2, qt.IsTrue, qt.Commentf("%s", p.profile))
					}
				}
			})
		}
	}
}
