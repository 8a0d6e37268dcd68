// Package report stores, prints, compares and plots the results of runs.
package report

import (
	"encoding/json"
	"os"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/bench/load"
	"jacinthcross/internal/bench/setup"
)

// A Result holds the results of a scenario, one Run per balancer.
type Result struct {
	Scenario   string
	Deployment string
	Seed       uint64
	Started    time.Time
	Runs       []Run
}

// A Run is the result of one balancer. See load.RunResult for the meaning of the counts.
type Run struct {
	Balancer      setup.Balancer
	Seconds       float64
	Sent          int
	Late          int
	TargetRuns    int
	Amplification float64
	SecondRuns    int
	FalseRefusals int
	// Foreign is the sum of the Foreign counts of all loads.
	Foreign int
	// ProbesPerCall and ControlBytesPerCall are averages over all calls, including those of the warm-up.
	ProbesPerCall       float64
	ControlBytesPerCall float64
	PlatformCalls       int
	Loads               []Load
}

// A Load is the result of the calls of one load. See load.Stats for the meaning of the counts. Goodput is in calls per
// second, latencies are in milliseconds.
type Load struct {
	Name     string
	Service  string
	Rate     float64
	Calls    int
	Answered int
	Good     int
	Failed   int
	Sends    int
	Refused  map[string]int
	Unknown  map[string]int
	Early    map[string]int
	Goodput  float64
	P50      float64
	P99      float64
	P999     float64
	Curve    []Point
}

// A Point is a point of the latency curve: Percent of the calls took at most Millis.
type Point struct {
	Percent float64
	Millis  float64
}

var percentiles = []float64{1, 5, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 98, 99, 99.5, 99.9, 100}

// NewRun converts the result of a balancer into a Run.
func NewRun(s *setup.Scenario, result *load.RunResult) Run {
	r := Run{
		Balancer: result.Balancer, Seconds: result.Elapsed.Seconds(), Sent: result.Sent, Late: result.Late, TargetRuns: result.TargetRuns,
		Amplification: result.Amplification, SecondRuns: result.SecondRuns, FalseRefusals: result.FalseRefusals, PlatformCalls: result.ConfigCalls,
	}
	if result.Sent > 0 {
		r.ProbesPerCall = result.Probes / float64(result.Sent)
		r.ControlBytesPerCall = result.ControlBytes / float64(result.Sent)
	}
	for i, st := range result.Loads {
		r.Foreign += st.Foreign
		r.Loads = append(r.Loads, newLoad(s, s.Loads[i], st))
	}
	return r
}

func newLoad(s *setup.Scenario, l setup.Load, stats load.Stats) Load {
	millis := func(percent float64) float64 { return float64(stats.Latency.ValueAtQuantile(percent)) / 1000 }
	v := Load{
		Name: l.Name, Service: l.Service, Rate: l.Rate, Calls: stats.Calls, Answered: stats.Answered, Good: stats.Good, Failed: stats.Failed,
		Sends: stats.Sends, Refused: stats.Refused, Unknown: stats.Unknown, Early: stats.Early, P50: millis(50), P99: millis(99), P999: millis(99.9),
	}
	if measured := l.Until - max(l.From, s.WarmUp); measured > 0 {
		v.Goodput = float64(stats.Good) / measured.Seconds()
	}
	for _, q := range percentiles {
		v.Curve = append(v.Curve, Point{q, millis(q)})
	}
	return v
}

// Total returns the sum of all counts.
func Total(counts map[string]int) int {
	n := 0
	for _, v := range counts {
		n += v
	}
	return n
}

// Write writes a Result to a JSON file.
func Write(path string, r *Result) error {
	text, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return errors.Annotate(err, "encode result")
	}
	return errors.Annotate(os.WriteFile(path, append(text, '\n'), 0o644), "write result")
}

// Read reads a Result from a JSON file.
func Read(path string) (*Result, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "read result")
	}
	r := &Result{}
	if err := json.Unmarshal(text, r); err != nil {
		return nil, errors.NewNotValid(err, path)
	}
	return r, nil
}
