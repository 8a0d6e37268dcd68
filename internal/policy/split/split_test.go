package split_test

import (
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/policy/split"
)

// TestSharesFollowWeights guards against shares that deviate from the weights, on one daemon with many calls and on
// many daemons with few calls each.
func TestSharesFollowWeights(t *testing.T) {
	for _, test := range []struct {
		name           string
		split          []note.Share
		daemons, calls int
		tolerance      float64
	}{
		{"one service", []note.Share{{Service: "a", Weight: 1}}, 1, 10, 0},
		{"even, one daemon", []note.Share{{Service: "a", Weight: 50}, {Service: "b", Weight: 50}}, 1, 100, .02},
		{"90 to 10, one daemon", []note.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}, 1, 100, .02},
		{"90 to 10, many daemons", []note.Share{{Service: "a", Weight: 90}, {Service: "b", Weight: 10}}, 100, 4, .05},
		{"three services, many daemons", []note.Share{{Service: "a", Weight: 60}, {Service: "b", Weight: 30}, {Service: "c", Weight: 10}}, 100, 5, .05},
		{"a service of weight 0", []note.Share{{Service: "a", Weight: 1}, {Service: "b", Weight: 0}}, 1, 1000, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			counts, total := map[ident.Service]int{}, 0
			for d := range test.daemons {
				s := split.New(split.WithRandom(rand.New(rand.NewPCG(uint64(d), 1))))
				for range test.calls {
					counts[s.Choose(note.Route{Name: "r", Split: test.split})]++
					total++
				}
			}
			weights := 0
			for _, p := range test.split {
				weights += p.Weight
			}
			for _, p := range test.split {
				got, want := float64(counts[p.Service])/float64(total), float64(p.Weight)/float64(weights)
				qt.Check(t, math.Abs(got-want) <= test.tolerance, qt.IsTrue, qt.Commentf("service %s got a share of %.3f, want %.3f", p.Service, got, want))
			}
		})
	}
}

// TestNewWeightsApplyAtOnce guards against a route that keeps the weights of an earlier release.
func TestNewWeightsApplyAtOnce(t *testing.T) {
	s := split.New()
	for range 10 {
		s.Choose(note.Route{Name: "r", Split: []note.Share{{Service: "a", Weight: 1}, {Service: "b", Weight: 1}}})
	}
	for range 10 {
		got := s.Choose(note.Route{Name: "r", Split: []note.Share{{Service: "a", Weight: 0}, {Service: "b", Weight: 1}}})
		qt.Assert(t, got, qt.Equals, ident.Service("b"))
	}
	s.Retain(nil)
}
