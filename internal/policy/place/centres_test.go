package place_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/ident"
)

// TestUnevenDataCentres guards against refused and late calls in data centres that are short of targets while others have
// free slots. A daemon of such a fleet sees few calls, so what it knows of a single target is always old.
func TestUnevenDataCentres(t *testing.T) {
	large, small := map[ident.Service]int{"a": 20, "b": 16}, map[ident.Service]int{"a": 6, "b": 4}
	withSize := func(k callClass, size int) callClass { k.size = size; return k }
	classes := func(reads, books float64) []callClass {
		return []callClass{withSize(read, 5000).withRate(reads), withSize(book, 9000).withRate(books), withSize(lookup, 100)}
	}
	// After a loss of power, all targets take twice as long.
	cold := func(list []callClass) []callClass {
		for i := range list {
			list[i].work *= 2
			list[i].softDeadline = list[i].softDeadline * 6 / 5
		}
		return list
	}
	for _, test := range []struct {
		name        string
		dataCentres []map[ident.Service]int
		noiseFactor float64
		classes     []callClass
		required    []minShares
	}{
		// The targets are busy for less than half of the time in all, and for all of the time in the small data centres if
		// these serve their own calls.
		{"four of seven are short of targets", []map[ident.Service]int{large, large, large, small, small, small, small}, 5, classes(1300, 500), []minShares{
			{"read", .93, .99}, {"book", .93, .99},
		}},
		{"four of seven are short of targets, all are cold", []map[ident.Service]int{large, large, large, small, small, small, small}, 5, cold(classes(650, 250)), []minShares{
			{"read", .85, .98}, {"book", .85, .98},
		}},
		{"all are alike", []map[ident.Service]int{large, large, large, large}, 5, classes(900, 400), []minShares{
			{"read", .95, .99}, {"book", .95, .99},
		}},
	} {
		t.Run(test.name, func(t *testing.T) {
			s := scenario{dataCentres: test.dataCentres, slots: 6, noiseShare: .35, noiseFactor: test.noiseFactor, noisePeriod: 150 * ms, duration: 12 * time.Second, classes: test.classes}
			got := newSimulation(s, allPolicies, 1).simulate()
			random := newSimulation(s, policies{measure: true, redirect: true, random: true}, 1).simulate()
			for _, w := range test.required {
				g := got[w.class]
				t.Logf("%s: %d calls, in time %.3f (random choice %.3f), served %.3f, refused %d, failed %d", w.class, g.calls, g.inTimeShare(), random[w.class].inTimeShare(), g.servedShare(), g.refused, g.failed)
				qt.Check(t, g.inTimeShare() >= w.inTime, qt.IsTrue, qt.Commentf("%s in time: %.3f, want %.3f", w.class, g.inTimeShare(), w.inTime))
				qt.Check(t, g.servedShare() >= w.served, qt.IsTrue, qt.Commentf("%s served: %.3f, want %.3f", w.class, g.servedShare(), w.served))
			}
		})
	}
}
