package report_test

import (
	"bytes"
	"encoding/xml"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"jacinthcross/internal/bench/report"
	"jacinthcross/internal/bench/setup"
)

func result(balancer setup.Balancer, p99 float64) *report.Result {
	return &report.Result{Scenario: "steady", Deployment: "Perizia", Seed: 1, Runs: []report.Run{{
		Balancer: balancer, Amplification: 1.5, Loads: []report.Load{{
			Name: "sum<maries>", Calls: 10, Answered: 8, Goodput: 4, P50: 10, P99: p99, P999: p99,
			Refused: map[string]int{"Busy": 1, "Overloaded": 1}, Unknown: map[string]int{},
			Curve: []report.Point{{50, 10}, {99, p99}, {99.9, p99}},
		}},
	}}}
}

// Guards against a result that changes when written and read back, which would falsify later comparisons.
func TestResultRoundTrip(t *testing.T) {
	c := qt.New(t)
	file := filepath.Join(c.TempDir(), "r.json")
	want := result(setup.Daemon, 30)
	c.Assert(report.Write(file, want), qt.IsNil)
	got, err := report.Read(file)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, want)
}

// Guards against ratios of the wrong pair or inverted ratios, which would show a regression as an improvement.
func TestCompare(t *testing.T) {
	for _, test := range []struct {
		name  string
		a, b  *report.Result
		lines []string
		fail  bool
	}{
		{"same balancer", result(setup.Daemon, 30), result(setup.Daemon, 60), []string{"p99 ms 30.0 60.0 2.000", "p50 ms 10.0 10.0 1.000", "unknown 0.0 0.0 -"}, false},
		{"other balancer", result(setup.Daemon, 30), result(setup.Oracle, 60), nil, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			var out bytes.Buffer
			err := report.Compare(&out, test.a, test.b)
			c.Assert(err != nil, qt.Equals, test.fail)
			if test.fail {
				c.Assert(errors.Is(err, errors.NotValid), qt.IsTrue)
			}
			text := strings.Join(strings.Fields(out.String()), " ")
			for _, l := range test.lines {
				c.Assert(text, qt.Contains, l)
			}
		})
	}
}

// Guards against a page that is not well-formed or loads external resources, which does not display offline.
func TestHTML(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	c.Assert(report.HTML(&out, []*report.Result{result(setup.Daemon, 30), result(setup.Oracle, 0)}), qt.IsNil)
	page := out.String()
	for _, external := range []string{"http:", "https:", "src=", "href=", "url("} {
		c.Assert(strings.Contains(page, external), qt.IsFalse, qt.Commentf("%s", external))
	}
	c.Assert(strings.Count(page, "<polyline"), qt.Equals, 2)
	start, end := strings.Index(page, "<svg"), strings.Index(page, "</svg>")
	c.Assert(xml.Unmarshal([]byte(page[start:end+len("</svg>")]), &struct{}{}), qt.IsNil)
	c.Assert(page, qt.Contains, "sum&lt;maries&gt;")
	c.Assert(page, qt.Contains, "refused: Busy 1, Overloaded 1")
	c.Assert(strings.Contains(page, "NaN"), qt.IsFalse)
}

// Guards against a report without the reasons of refusals, in which an overload looks like a fault.
func TestPrint(t *testing.T) {
	c := qt.New(t)
	var out bytes.Buffer
	c.Assert(report.Print(&out, result(setup.Daemon, 30)), qt.IsNil)
	c.Assert(out.String(), qt.Contains, "refused: Busy 1, Overloaded 1")
	c.Assert(out.String(), qt.Contains, "1.500")
}
