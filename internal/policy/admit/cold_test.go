package admit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/policy/warm"
)

// TestColdGate guards against less important calls that keep the place of urgent ones at a cold target, against calls that
// wait although they cannot start in time, and against a Retry-After or a timer that does not fit the limit.
func TestColdGate(t *testing.T) {
	const ms = time.Millisecond
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	// The limit is 8 requests a second, two of them at once.
	newColdGate := func(untilWarm time.Duration) (*Gate, *warm.Limiter) {
		l := warm.New()
		l.SetService(8, untilWarm, true, at(-time.Minute))
		l.RecordStart(at(0))
		l.RecordHealth(untilWarm, at(0))
		return NewGate(10, WithDeclaredSlots(), WithStartLimit(l)), l
	}
	arrive := func(g *Gate, id call.ID, r ident.Rank, wait, now time.Duration) Decision {
		return g.Admit(Arrival{Call: id, Rank: r, Deadline: at(time.Minute), HoldUntil: at(now + wait), SoftDeadline: at(time.Minute)}, at(now))
	}
	for _, test := range []struct {
		name      string
		untilWarm time.Duration
		rank      ident.Rank
		wait      time.Duration
		want      Decision
		actions   []Action
		next      time.Duration
	}{
		{"waits for the next start", time.Minute, ident.Normal, 500 * ms, Wait{}, nil, 250 * ms},
		{"cannot wait for its turn", time.Minute, ident.Normal, 300 * ms, Refuse{errs.TargetCold, 499 * ms}, nil, 250 * ms},
		{"is redirected at once", time.Minute, ident.Normal, 0, Refuse{errs.TargetCold, 499 * ms}, nil, 250 * ms},
		{"takes the place of another call", time.Minute, ident.Urgent, 300 * ms, Wait{}, []Action{Drop{4, errs.TargetCold, 499 * ms}}, 250 * ms},
		{"the target is warm in time", 200 * ms, ident.Normal, 300 * ms, Wait{}, nil, 200 * ms},
		{"the target is warm", 0, ident.Normal, 0, Start{}, nil, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			g, _ := newColdGate(test.untilWarm)
			for id := range call.ID(4) {
				// Two calls start, and two wait for at most 260 ms.
				arrive(g, id+1, ident.Normal, 260*ms, 0)
			}
			qt.Check(t, arrive(g, 5, test.rank, test.wait, ms), qt.Equals, test.want)
			qt.Check(t, g.Actions(at(ms)), qt.DeepEquals, test.actions)
			next, _ := g.NextActionAt(at(ms))
			qt.Check(t, test.next == 0 || next.Equal(at(test.next)), qt.IsTrue, qt.Commentf("%s", next.Sub(start)))
		})
	}
}
