package retry_test

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/policy/retry"
)

// TestRetriesStayWithinLimit guards against retries that exceed the platform's limit in some window, summed over all
// daemons, for any number of daemons and any spread of calls over them.
func TestRetriesStayWithinLimit(t *testing.T) {
	limit := retry.PlatformLimit{Ratio: .2, Slack: 62, Window: 10 * time.Second}
	for _, test := range []struct {
		name    string
		daemons int
		// calls is the number of calls per second of all daemons, and failureShare the fraction that asks for a retry.
		calls        int
		failureShare float64
		burst        bool
	}{
		{"one daemon", 1, 100, 1, false},
		{"eleven daemons", 11, 100, 1, false},
		{"80 daemons, few calls", 80, 40, 1, false},
		{"calls in bursts only", 11, 300, 1, true},
		{"few failures", 11, 100, .05, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			random := rand.New(rand.NewPCG(1, 2))
			var daemons []*retry.PlatformBudget
			for range test.daemons {
				s := retry.NewPlatformBudget(limit, now)
				s.SetDaemonCount(test.daemons)
				daemons = append(daemons, s)
			}
			var calls, retries []time.Time
			requested := 0
			for step := range 40_000 {
				now = now.Add(time.Millisecond)
				if test.burst && step/1000%13 != 0 || random.Float64() > float64(test.calls)/1000 {
					continue
				}
				d := daemons[random.IntN(len(daemons))]
				d.RecordCall("s", now)
				calls = append(calls, now)
				if random.Float64() < test.failureShare {
					requested++
					if d.TakeRetry("s", 1, now) {
						retries = append(retries, now)
					}
				}
			}
			for i, from := range retries {
				n := 0
				for _, r := range retries[i:] {
					if r.Sub(from) < limit.Window {
						n++
					}
				}
				c := 0
				for _, at := range calls {
					if !at.Before(from) && at.Sub(from) < limit.Window {
						c++
					}
				}
				qt.Assert(t, float64(n) <= limit.Ratio*float64(c)+limit.Slack, qt.IsTrue, qt.Commentf("%d retries for %d calls in one window", n, c))
			}
			if test.failureShare < .1 {
				qt.Assert(t, len(retries) >= requested*9/10, qt.IsTrue, qt.Commentf("%d of %d requested retries were allowed", len(retries), requested))
			}
		})
	}
}
