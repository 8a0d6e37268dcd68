package route

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/ident"
)

// load is a report of a target that has free slots.
func load(slowness float32, slowFor time.Duration) call.Load {
	return call.Load{Limit: 10, Incarnation: ident.Incarnation{1}, Slowness: slowness, SlowFor: slowFor}
}

func reported(l call.Load) *call.Load { return &l }

// Guards against a choice that forgets a slow target sooner than the target itself expects to be slow, or never.
func TestNearAvoidsSlowTargets(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, test := range []struct {
		name    string
		slowFor time.Duration
		after   time.Duration
		// later is what the target tells next, without its speed.
		later *call.Load
		want  bool
	}{
		{"short spell, at once", 100 * time.Millisecond, 0, nil, true},
		{"short spell, later", 100 * time.Millisecond, time.Second, nil, false},
		{"long spell, later", 5 * time.Second, time.Second, nil, true},
		{"long spell, a report without the speed", 5 * time.Second, time.Second, reported(load(0, 0)), true},
		{"long spell, over", 5 * time.Second, time.Second, reported(load(1, 0)), false},
		{"not known for how long", 0, 0, nil, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			candidates := targets(2)
			candidates[1].DataCentre = candidates[0].DataCentre
			table := newTable(candidates, WithProfile(Near))
			now := start
			for _, name := range []ident.Target{"t0", "t1"} {
				now = serve(table, name, 50, 100*time.Millisecond, now)
			}
			table.Heard("t0", load(5, test.slowFor), now)
			table.Heard("t1", load(1, 0), now)
			if test.later != nil {
				table.Heard("t0", *test.later, now)
			}
			// The other target is a little less free.
			table.Sent("t1", call.NextID(), 0, now)
			chosen := 0
			const picks = 100
			for range picks {
				if name, _ := table.Pick(now.Add(test.after), nil); name == "t0" {
					chosen++
				}
			}
			qt.Assert(t, chosen == 0, qt.Equals, test.want, qt.Commentf("%d of %d", chosen, picks))
		})
	}
}

// Guards against calls that leave a slow target although none of the others can be faster.
func TestElsewhere(t *testing.T) {
	now := time.Unix(1000, 0)
	told := func(slowness float32, slowFor time.Duration) func(*Table) {
		return func(t *Table) { t.Heard("t1", load(slowness, slowFor), now) }
	}
	for _, test := range []struct {
		name   string
		others int
		change func(*Table)
		after  time.Duration
		want   float64
	}{
		{"no other target", 0, func(*Table) {}, 0, 0},
		{"has not told", 1, func(*Table) {}, 0, 1},
		{"is slow", 1, told(5, time.Second), 0, 5},
		{"is slow for a moment", 1, told(5, 75*time.Millisecond), 0, 1},
		{"was slow long ago", 1, told(5, time.Second), 5 * time.Second, 1},
		{"is fast", 1, told(1, 0), 0, 1},
		{"one is slow, one has not told", 2, told(5, time.Second), 0, 1},
		{"is down", 1, func(t *Table) { t.SetDown("vm1", true, now) }, 0, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := newTable(targets(1 + test.others))
			test.change(table)
			qt.Assert(t, table.Elsewhere("t0", now.Add(test.after)), qt.Equals, test.want)
		})
	}
}
