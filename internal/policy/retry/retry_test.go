package retry

import (
	"flag"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
)

var (
	start = time.Unix(1000, 0)
	addr  = netip.MustParseAddr("10.0.0.1")
)

// A fixed seed makes runs reproducible. -rapid.seed overrides it.
func init() { flag.Set("rapid.seed", "1") }

// newPolicy returns a Policy that has counted the given number of calls from addr.
func newPolicy(calls int) *Policy {
	p := NewPolicy(WithRandom(rand.New(rand.NewPCG(1, 2))))
	for range calls {
		p.RecordCall(addr)
	}
	return p
}

// TestDecide guards against retries that may run a call twice, that are missing, or that come too early.
func TestDecide(t *testing.T) {
	shed, lost := call.Refused{Kind: errs.TargetShed, RetryAfter: time.Second}, call.Unknown{Kind: errs.PeerLost}
	failed, unreachable := call.Unknown{Kind: errs.TargetFailed}, call.Refused{Kind: errs.PeerUnreachable}
	tests := []struct {
		name         string
		attempt      Attempt
		calls        int
		otherRetries int // earlier retries, each for a different caller
		remaining    time.Duration
		want         string
		minDelay     time.Duration
	}{
		{"refused call goes to another target at once", Attempt{Outcome: shed, HasUntriedTarget: true, RetryAllowance: 1}, 20, 0, 5 * time.Second, "ProvedNotRun", 0},
		{"Retry-After delays a retry when all targets refused", Attempt{Outcome: shed, RetryAllowance: 1}, 20, 0, 5 * time.Second, "ProvedNotRun", time.Second},
		{"Retry-After beyond the deadline", Attempt{Outcome: shed, RetryAllowance: 1}, 20, 0, time.Second, "Stop", 0},
		{"no allowance", Attempt{Outcome: shed, HasUntriedTarget: true}, 20, 0, 5 * time.Second, "Stop", 0},
		{"first call of a new daemon", Attempt{Outcome: shed, HasUntriedTarget: true, RetryAllowance: 1}, 1, 0, 5 * time.Second, "ProvedNotRun", 0},
		{"caller's budget is empty", Attempt{Outcome: shed, HasUntriedTarget: true, RetryAllowance: 1}, 0, 0, 5 * time.Second, "Stop", 0},
		{"daemon's budget is empty", Attempt{Outcome: shed, HasUntriedTarget: true, RetryAllowance: 1}, 4, initialTotalTokens, 5 * time.Second, "Stop", 0},
		{"unreachable peer costs no budget", Attempt{Outcome: unreachable, HasUntriedTarget: true, RetryAllowance: 1}, 0, 0, time.Second, "ProvedNotRun", 0},
		{"unreachable peer, no allowance", Attempt{Outcome: unreachable, HasUntriedTarget: true}, 20, 0, time.Second, "Stop", 0},
		{"refusal that every target would repeat", Attempt{Outcome: call.Refused{Kind: errs.KeyMismatch}, HasUntriedTarget: true, RetryAllowance: 1}, 20, 0, time.Second, "Stop", 0},
		{"quarantine at one target costs no budget", Attempt{Outcome: call.Refused{Kind: errs.Quarantined}, HasUntriedTarget: true, RetryAllowance: 1}, 0, 0, time.Second, "ProvedNotRun", 0},
		{"quarantine at all targets", Attempt{Outcome: call.Refused{Kind: errs.Quarantined}, RetryAllowance: 1}, 20, 0, time.Second, "Stop", 0},
		{"refusal of a call bound to its owner", Attempt{Outcome: shed, OwnerBound: true, Keyed: true, HasUntriedTarget: true, RetryAllowance: 1}, 20, 0, time.Second, "Stop", 0},
		{"unknown outcome of an idempotent call", Attempt{Outcome: failed, Idempotent: true, HasUntriedTarget: true, RetryAllowance: 1}, 20, 0, time.Second, "IdempotentUnknown", 0},
		{"unknown outcome of a non-idempotent call", Attempt{Outcome: failed, Keyed: true, HasUntriedTarget: true, RetryAllowance: 1}, 20, 0, time.Second, "Stop", 0},
		{"lost connection, call with a key", Attempt{Outcome: lost, Keyed: true}, 0, 0, time.Second, "Reattach", 0},
		{"lost connection, call without a key", Attempt{Outcome: lost, RetryAllowance: 1}, 20, 0, time.Second, "Stop", 0},
		{"owner unreachable after a lost connection", Attempt{Outcome: unreachable, Keyed: true, MayHaveRun: true, HasUntriedTarget: true, RetryAllowance: 1}, 20, 0, time.Second, "Reattach", 0},
		{"owner overloaded after a lost connection", Attempt{Outcome: shed, Keyed: true, MayHaveRun: true, HasUntriedTarget: true, RetryAllowance: 1}, 20, 0, 5 * time.Second, "Stop", 0},
		{"reattachments end with the deadline", Attempt{Outcome: lost, Keyed: true, Reattachments: 30}, 0, 0, 100 * time.Millisecond, "Stop", 0},
		{"owner of an internal key has restarted", Attempt{Outcome: call.Refused{Kind: errs.OwnerGone}, Keyed: true, HasUntriedTarget: true, RetryAllowance: 1}, 20, 0, time.Second, "ProvedNotRun", 0},
		{"owner of a key that the caller sent has restarted", Attempt{Outcome: call.Refused{Kind: errs.OwnerGone}, Keyed: true, OwnerBound: true, RetryAllowance: 1}, 20, 0, time.Second, "Stop", 0},
		{"answer", Attempt{Outcome: call.Answered{Status: 500}, Idempotent: true, HasUntriedTarget: true, RetryAllowance: 1}, 20, 0, time.Second, "Stop", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			test.attempt.Caller, test.attempt.Deadline = addr, start.Add(test.remaining)
			p := newPolicy(test.calls)
			for i := range test.otherRetries {
				a := netip.AddrFrom4([4]byte{10, 0, 1, byte(i)})
				p.RecordCall(a)
				qt.Assert(t, p.takeRetry(Attempt{Caller: a}, time.Time{}), qt.IsTrue)
			}
			got, after := "Stop", time.Duration(0)
			switch d := p.Decide(test.attempt, start).(type) {
			case Retry:
				got, after = string(d.Reason), d.Delay
			case Reattach:
				got, after = "Reattach", d.Delay
			}
			qt.Assert(t, got, qt.Equals, test.want)
			qt.Assert(t, after >= test.minDelay && after <= test.minDelay+150*time.Millisecond, qt.IsTrue, qt.Commentf("%v", after))
		})
	}
}

// TestFinalOutcome guards against a call reported as refused, and thus not run, although an earlier attempt may have
// run.
func TestFinalOutcome(t *testing.T) {
	refused := call.Refused{Kind: errs.Overloaded}
	qt.Assert(t, FinalOutcome(refused, nil), qt.Equals, call.Outcome(refused))
	got := FinalOutcome(refused, &call.Unknown{Kind: errs.PeerLost})
	qt.Assert(t, got.(call.Unknown).Kind, qt.Equals, errs.PeerLost)
}

// TestBudgets guards against retries above a tenth of the calls plus the initial tokens, and hedges above 2% of
// the calls, for any sequence of calls and failures of many callers. It also guards against an unbounded number
// of caller buckets.
func TestBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p, calls, retries, hedges := newPolicy(0), 0, 0, 0
		perCaller := map[netip.Addr][2]int{}
		callers := rapid.IntRange(1, 255).Draw(t, "callers")
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			a := netip.AddrFrom4([4]byte{10, 0, 0, byte(rapid.IntRange(0, callers).Draw(t, "caller"))})
			n := rapid.IntRange(1, 50).Draw(t, "n")
			c := perCaller[a]
			for range n {
				switch rapid.IntRange(0, 2).Draw(t, "step") {
				case 0:
					p.RecordCall(a)
					calls++
					c[0]++
				case 1:
					if p.TakeHedge() {
						hedges++
					}
				default:
					d := p.Decide(Attempt{Caller: a, Outcome: call.Unknown{}, Idempotent: true, RetryAllowance: 1, Deadline: start.Add(time.Minute)}, start)
					if _, ok := d.(Retry); ok {
						retries++
						c[1]++
					}
				}
			}
			perCaller[a] = c
			if 10*(retries-initialTotalTokens) > calls || 50*hedges > calls || 10*(c[1]-initialCallerTokens) > c[0] {
				t.Fatalf("%d retries and %d hedges for %d calls; %d retries for %d calls of one caller", retries, hedges, calls, c[1], c[0])
			}
		}
	})
	p := newPolicy(0)
	for i := range 3 * maxCallers {
		p.RecordCall(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}))
	}
	qt.Assert(t, len(p.callers), qt.Equals, maxCallers)
	qt.Assert(t, p.recentCallers.Len(), qt.Equals, maxCallers)
}

// TestNewCallers guards against a retry storm from many new callers, each of which starts with a token, and
// against a new daemon that cannot retry its first calls.
func TestNewCallers(t *testing.T) {
	for _, test := range []struct{ callers, least, most int }{{1, 1, 1}, {5, 5, 5}, {10, 5, 6}, {100, 14, 15}, {1000, 104, 105}} {
		p, retries := newPolicy(0), 0
		for i := range test.callers {
			a := netip.AddrFrom4([4]byte{10, 2, byte(i >> 8), byte(i)})
			p.RecordCall(a)
			d := p.Decide(Attempt{Caller: a, Outcome: call.Refused{Kind: errs.QueueTimeout}, HasUntriedTarget: true, RetryAllowance: 1, Deadline: start.Add(time.Minute)}, start)
			if _, ok := d.(Retry); ok {
				retries++
			}
			// Sums of 0.1 are not exact in floating point, so one retry may be missing.
			qt.Assert(t, 10*(retries-initialTotalTokens) <= i+1, qt.IsTrue, qt.Commentf("%d retries after %d calls", retries, i+1))
		}
		qt.Assert(t, retries >= test.least && retries <= test.most, qt.IsTrue, qt.Commentf("%d retries of %d callers", retries, test.callers))
	}
}

// TestNoSecondRun guards against a second dispatch of a non-idempotent call that may have run. After an unknown
// outcome, the only further send allowed is the same key to the same daemon process, whatever outcomes follow.
func TestNoSecondRun(t *testing.T) {
	kinds := slices.Sorted(slices.Values(errs.Kinds()))
	rapid.Check(t, func(t *rapid.T) {
		p, mayHaveRun := newPolicy(1000), false
		for i := range rapid.IntRange(1, 30).Draw(t, "attempts") {
			kind := rapid.SampledFrom(kinds).Draw(t, "kind")
			var o call.Outcome = call.Refused{Kind: kind}
			if rapid.Bool().Draw(t, "unknown") {
				o = call.Unknown{Kind: kind}
			}
			d := p.Decide(Attempt{
				Caller: addr, Outcome: o, Keyed: rapid.Bool().Draw(t, "keyed"), OwnerBound: rapid.Bool().Draw(t, "bound"),
				MayHaveRun: mayHaveRun, HasUntriedTarget: true, Reattachments: i, RetryAllowance: 9, Deadline: start.Add(time.Minute),
			}, start)
			if _, ok := o.(call.Unknown); ok {
				mayHaveRun = true
			}
			if _, ok := d.(Retry); ok && mayHaveRun {
				t.Fatalf("non-idempotent call dispatched again after outcome %v", o)
			}
		}
	})
}

// TestLatencyWindow guards against hedging at a quantile other than the p95, and against hedging on too few answers.
func TestLatencyWindow(t *testing.T) {
	for _, test := range []struct {
		name    string
		answers int
		want    time.Duration
	}{
		{"too few answers", minLatencies - 1, 0},
		{"p95 of a full window", 1000, 95 * time.Millisecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			var l LatencyWindow
			for i := range test.answers {
				l.Add(time.Duration(i%100+1) * time.Millisecond)
			}
			got, ok := l.P95()
			qt.Assert(t, ok, qt.Equals, test.want > 0)
			qt.Assert(t, (got-test.want).Abs() <= 2*time.Millisecond, qt.IsTrue, qt.Commentf("%v", got))
		})
	}
}
