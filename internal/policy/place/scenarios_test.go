package place_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/ident"
)

const ms = time.Millisecond

// Call classes as in the deployments on the platform: reads, which make a lookup, bookings, and lookups.
var (
	read = callClass{
		name: "read", service: "a", rank: ident.Deferred, work: 160 * ms, softDeadline: 500 * ms, timeout: time.Second, allowed: 2 * time.Second,
		retries: 1, nestedCalls: []ident.Route{"lookup"},
	}
	book = callClass{
		name: "book", service: "b", rank: ident.Normal, work: 210 * ms, softDeadline: 600 * ms, timeout: 1200 * ms, allowed: 2500 * ms, retries: 1,
	}
	lookup = callClass{name: "lookup", service: "b", rank: ident.Normal, work: 40 * ms, softDeadline: 150 * ms, timeout: 500 * ms, allowed: 500 * ms}
)

func (k callClass) withRate(rate float64) callClass {
	k.rate = rate
	return k
}

func (k callClass) duringPeriod(from, to time.Duration) callClass {
	k.from, k.to = from, to
	return k
}

// allPolicies enables the policies that daemons apply.
var allPolicies = policies{measure: true, redirect: true}

// minShares are the smallest acceptable fractions of the calls of a class that meet their soft deadline (inTime) and
// that are answered at all (served).
type minShares struct {
	class  ident.Route
	inTime float64
	served float64
}

// TestServiceUnderLoad guards against more late or refused calls than the capacity of the targets explains, at loads
// below and above that capacity. The loads are those that the policies are meant for, and the required fractions follow
// from the capacity.
func TestServiceUnderLoad(t *testing.T) {
	deployment := scenario{targets: map[ident.Service]int{"a": 4, "b": 4}, slots: 6, noiseShare: .35, noiseFactor: 5, noisePeriod: 150 * ms, duration: 40 * time.Second}
	tests := []struct {
		name     string
		classes  []callClass
		change   func(s *scenario)
		required []minShares
	}{
		{"other workloads slow targets down a third of the time", []callClass{read.withRate(25), book.withRate(14), lookup}, nil, []minShares{
			{"read", .95, .99}, {"book", .95, .99}, {"lookup", .9, .99},
		}},
		{"other workloads slow targets down for a second at a time", []callClass{read.withRate(20), book.withRate(10), lookup}, func(s *scenario) { s.noisePeriod, s.noiseFactor = time.Second, 4 }, []minShares{
			// For 1.5% of the time, all four targets of a service are slow at once. A read whose lookup is late is
			// late too.
			{"read", .9, .99}, {"book", .95, .99}, {"lookup", .9, .99},
		}},
		{"targets that slow down when nearly full", []callClass{read.withRate(45), book.withRate(14), lookup}, func(s *scenario) { s.noiseShare, s.kneeFactor = 0, 1.7 }, []minShares{
			{"read", .9, .98}, {"book", .9, .98},
		}},
		{"a burst of three seconds at twice the capacity", []callClass{read.withRate(15), book.withRate(14), lookup, read.withRate(150).duringPeriod(10*time.Second, 13*time.Second)}, nil, []minShares{
			{"book", .9, .98},
		}},
		{"a permanent overload", []callClass{read.withRate(150), book.withRate(14), lookup}, nil, []minShares{
			// The 24 slots are fast for 65% of the time (1-noiseShare), and a read with its lookup takes about 0.23 s,
			// so about 68 of the 150 reads per second can be served in time.
			{"read", .35, .35}, {"book", .9, .97}, {"lookup", .85, .97},
		}},
		{"calls of two ranks to one service", []callClass{
			func() callClass { k := read.withRate(60); k.service, k.nestedCalls = "b", nil; return k }(), book.withRate(25), lookup,
		}, nil, []minShares{{"book", .95, .98}, {"read", .5, .5}}},
		{"one target of each service is twelve times slower", []callClass{read.withRate(25), book.withRate(14), lookup}, func(s *scenario) { s.slowTargetFactor = 12 }, []minShares{
			{"read", .9, .97}, {"book", .9, .97},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := deployment
			s.classes = test.classes
			if test.change != nil {
				test.change(&s)
			}
			got := newSimulation(s, allPolicies, 1).simulate()
			for _, w := range test.required {
				g := got[w.class]
				t.Logf("%s: %d calls, in time %.3f, served %.3f, refused %d, failed %d", w.class, g.calls, g.inTimeShare(), g.servedShare(), g.refused, g.failed)
				qt.Check(t, g.inTimeShare() >= w.inTime, qt.IsTrue, qt.Commentf("%s in time: %.3f, want %.3f", w.class, g.inTimeShare(), w.inTime))
				qt.Check(t, g.servedShare() >= w.served, qt.IsTrue, qt.Commentf("%s served: %.3f, want %.3f", w.class, g.servedShare(), w.served))
			}
		})
	}
}

// TestPoliciesImproveService guards against policies that bring no benefit: each must improve the fraction of calls
// that meet their soft deadline under the load that it is meant for.
func TestPoliciesImproveService(t *testing.T) {
	deployment := scenario{targets: map[ident.Service]int{"a": 4, "b": 4}, slots: 6, noiseShare: .35, noiseFactor: 5, noisePeriod: 150 * ms, duration: 40 * time.Second}
	deployment.classes = []callClass{read.withRate(25), book.withRate(14), lookup}
	for _, test := range []struct {
		name    string
		without policies
		minGain float64
	}{
		{"slowness measurement", policies{redirect: true}, .1},
		{"redirection", policies{measure: true}, .02},
		{"both, and the choice of target", policies{random: true}, .2},
	} {
		t.Run(test.name, func(t *testing.T) {
			with, without := 0., 0.
			for seed := range uint64(3) {
				with += newSimulation(deployment, allPolicies, seed).simulate()["read"].inTimeShare() / 3
				without += newSimulation(deployment, test.without, seed).simulate()["read"].inTimeShare() / 3
			}
			t.Logf("reads in time: %.3f with, %.3f without", with, without)
			qt.Assert(t, with-without >= test.minGain, qt.IsTrue)
		})
	}
}
