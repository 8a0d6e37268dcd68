package route

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/ident"
)

// loadReport returns a load report of a target that has free slots.
func loadReport(slowness float32, expectedDuration time.Duration) call.Load {
	return call.Load{Limit: 10, Incarnation: ident.Incarnation{1}, Slowness: slowness, ExpectedSlowDuration: expectedDuration}
}

func loadPointer(l call.Load) *call.Load { return &l }

// TestNearAvoidsSlowTargets guards against a slow period that is ignored, that ends sooner than the target reported,
// or that never ends.
func TestNearAvoidsSlowTargets(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, test := range []struct {
		name             string
		expectedDuration time.Duration
		after            time.Duration
		// later is the next report of the target, or nil.
		later   *call.Load
		avoided bool
	}{
		{"short slow period, at once", 100 * time.Millisecond, 0, nil, true},
		{"short slow period, later", 100 * time.Millisecond, time.Second, nil, false},
		{"long slow period, later", 5 * time.Second, time.Second, nil, true},
		{"long slow period, report without slowness", 5 * time.Second, time.Second, loadPointer(loadReport(0, 0)), true},
		{"long slow period, ended by a report", 5 * time.Second, time.Second, loadPointer(loadReport(1, 0)), false},
		{"unknown duration", 0, 0, nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			candidates := targets(2)
			candidates[1].DataCentre = candidates[0].DataCentre
			table := newTable(candidates, WithProfile(ProfileNear))
			now := start
			for _, name := range []ident.Target{"t0", "t1"} {
				now = serve(table, name, 50, 100*time.Millisecond, now)
			}
			table.UpdateLoad("t0", loadReport(5, test.expectedDuration), now)
			table.UpdateLoad("t1", loadReport(1, 0), now)
			if test.later != nil {
				table.UpdateLoad("t0", *test.later, now)
			}
			// The other target has one more call in flight.
			table.RecordAttempt("t1", call.NextID(), 0, now)
			chosen := 0
			const picks = 100
			for range picks {
				if name, _ := table.Pick(now.Add(test.after), nil); name == "t0" {
					chosen++
				}
			}
			qt.Assert(t, chosen == 0, qt.Equals, test.avoided, qt.Commentf("%d of %d", chosen, picks))
		})
	}
}

// TestLowestSlownessExcept guards against calls that move away from a slow target although no other target is faster.
func TestLowestSlownessExcept(t *testing.T) {
	now := time.Unix(1000, 0)
	reportSlow := func(slowness float32, expectedDuration time.Duration) func(*Table) {
		return func(t *Table) { t.UpdateLoad("t1", loadReport(slowness, expectedDuration), now) }
	}
	for _, test := range []struct {
		name   string
		others int
		change func(*Table)
		after  time.Duration
		want   float64
	}{
		{"no other target", 0, func(*Table) {}, 0, 0},
		{"no slowness report", 1, func(*Table) {}, 0, 1},
		{"slow", 1, reportSlow(5, time.Second), 0, 5},
		{"slow for a short period", 1, reportSlow(5, 75*time.Millisecond), 0, 1},
		{"slow period long over", 1, reportSlow(5, time.Second), 5 * time.Second, 1},
		{"fast", 1, reportSlow(1, 0), 0, 1},
		{"one slow, one without a report", 2, reportSlow(5, time.Second), 0, 1},
		{"down", 1, func(t *Table) { t.SetDown("vm1", true, now) }, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(targets(1 + test.others))
			test.change(table)
			qt.Assert(t, table.LowestSlownessExcept("t0", now.Add(test.after)), qt.Equals, test.want)
		})
	}
}
