package fleet

import (
	"bytes"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"jacinthcross/internal/bench/setup"
)

// Guards against a wrong slope, which would give wrong extrapolations to the design scale.
func TestSlope(t *testing.T) {
	for _, test := range []struct {
		name   string
		points []point
		want   float64
		ok     bool
	}{
		{"rising", []point{{10, 1}, {30, 3}, {100, 10}}, 0.1, true},
		{"flat", []point{{10, 4}, {200, 4}}, 0, true},
		{"least squares", []point{{0, 0}, {1, 2}, {2, 2}}, 1, true},
		{"one point", []point{{10, 1}}, 0, false},
		{"none", nil, 0, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			got, ok := slope(test.points)
			c.Assert(ok, qt.Equals, test.ok)
			c.Assert(got-test.want < 1e-9 && test.want-got < 1e-9, qt.IsTrue, qt.Commentf("%v", got))
		})
	}
}

// Guards against a fleet of the wrong size, which would falsify all values per daemon.
func TestLayoutSize(t *testing.T) {
	for _, test := range []struct{ daemons, services int }{{1, 1}, {8, 1}, {10, 2}, {200, 25}} {
		l := Config{DataCentres: 4, PerService: 8}.layout(test.daemons)
		qt.Check(t, l.Placements(), qt.HasLen, test.daemons)
		qt.Check(t, l.Services, qt.HasLen, test.services)
		perDataCentre := map[any][]setup.Placement{}
		for _, s := range l.Placements() {
			perDataCentre[s.DataCentre] = append(perDataCentre[s.DataCentre], s)
		}
		qt.Check(t, len(perDataCentre) <= 4, qt.IsTrue)
	}
}

// Checks that too many daemons are rejected before the first one starts.
func TestConfigCheck(t *testing.T) {
	good := Config{DataCentres: 1, PerService: 8, Changes: 1, IdleDuration: 1, ChangeInterval: 1}
	for _, test := range []struct {
		name    string
		config  Config
		daemons []int
		valid   bool
	}{
		{"good", good, []int{1, 300}, true},
		{"too many", good, []int{10, 301}, false},
		{"none", good, []int{0}, false},
		{"no targets in a service", Config{DataCentres: 1, Changes: 1, IdleDuration: 1, ChangeInterval: 1}, []int{1}, false},
		{"no changes", Config{DataCentres: 1, PerService: 8, IdleDuration: 1, ChangeInterval: 1}, []int{1}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			err := test.config.Check(test.daemons)
			qt.Assert(t, err == nil, qt.Equals, test.valid)
			qt.Assert(t, err == nil || errors.Is(err, errors.NotValid), qt.IsTrue)
		})
	}
}

// Guards against a wrong median or maximum, which would hide a slow change.
func TestPrint(t *testing.T) {
	c := qt.New(t)
	durations := []time.Duration{30 * time.Millisecond, 10 * time.Millisecond, 20 * time.Millisecond}
	var out bytes.Buffer
	c.Assert(Print(&out, []Result{{Daemons: 10, Median: median(durations), Slowest: largest(durations)}}), qt.IsNil)
	c.Assert(out.String(), qt.Matches, `(?s).*In force ms, median +20.00 .*In force ms, slowest +30.00 .*`)
}

// Guards against a peak over the wrong window, which would hide call rates above the limit of the configuration
// service.
func TestPeakIncrease(t *testing.T) {
	for _, test := range []struct {
		name    string
		counts  []int
		samples int
		want    int
	}{
		{"none", nil, 2, 0},
		{"steady", []int{10, 11, 12, 13}, 2, 2},
		{"burst between samples", []int{0, 0, 5, 9, 9, 9}, 2, 9},
		{"shorter than the window", []int{3, 7}, 10, 4},
	} {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, peakIncrease(test.counts, test.samples), qt.Equals, test.want)
		})
	}
}

// Guards against a cost without the maximum, which would hide a single daemon above its budget.
func TestCostBetween(t *testing.T) {
	before := []usage{{100, time.Second}, {0, 0}}
	after := []usage{{300, time.Second}, {1000, 2 * time.Second}}
	got := costBetween(before, after, 10*time.Second)
	qt.Assert(t, got, qt.Equals, Cost{Bytes: 60, MaxBytes: 100, CPU: 0.1, MaxCPU: 0.2})
}

// Guards against a table that mixes up columns or omits daemons that did not serve, which would hide failures.
func TestPrintRestarts(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	c.Assert(PrintRestarts(&out, []Restart{
		{ConfigServiceMode: "up", ServingTimes: []time.Duration{time.Second, 3 * time.Second, 2 * time.Second}}, {ConfigServiceMode: "down", ServedOlder: 4, NotServing: 7},
	}), qt.IsNil)
	for _, want := range []string{
		`service +up +down`, `median +2000 +-`, `last +3000 +-`, `older release +0 +4`, `window +0 +7`,
	} {
		c.Check(out.String(), qt.Matches, `(?s).*`+want+`.*`)
	}
}
