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

// A Run is the result of one balancer.
type Run struct {
	Balancer      setup.Balancer
	Seconds       float64
	Sent          int
	Late          int
	TargetRuns    int
	Amplification float64
	SecondRuns    int
	FalseRefusals int
	Foreign       int
	// ProbesPerCall and ControlBytesPerCall are averages over all calls, including those of the warm-up.
	ProbesPerCall       float64
	ControlBytesPerCall float64
	PlatformCalls       int
	Loads               []Load
}

// A Load is the result of the calls of one load. Latencies are in milliseconds.
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

// A Point is one percentile of the latency.
type Point struct {
	Percent float64
	Millis  float64
}

var quantiles = []float64{1, 5, 10, 20, 30, 40, 50, 60, 70, 80, 90, 95, 98, 99, 99.5, 99.9, 100}

// NewRun converts the outcome of a balancer into a Run.
func NewRun(s *setup.Scenario, o *load.RunResult) Run {
	r := Run{
		Balancer: o.Balancer, Seconds: o.Elapsed.Seconds(), Sent: o.Sent, Late: o.Late, TargetRuns: o.TargetRuns,
		Amplification: o.Amplification, SecondRuns: o.SecondRuns, FalseRefusals: o.FalseRefusals, PlatformCalls: o.PlatformCalls,
	}
	if o.Sent > 0 {
		r.ProbesPerCall = o.Probes / float64(o.Sent)
		r.ControlBytesPerCall = o.ControlBytes / float64(o.Sent)
	}
	for i, t := range o.Loads {
		r.Foreign += t.Foreign
		r.Loads = append(r.Loads, newLoad(s, s.Loads[i], t))
	}
	return r
}

func newLoad(s *setup.Scenario, l setup.Load, t load.Stats) Load {
	millis := func(percent float64) float64 { return float64(t.Latency.ValueAtQuantile(percent)) / 1000 }
	v := Load{
		Name: l.Name, Service: l.Service, Rate: l.Rate, Calls: t.Calls, Answered: t.Answered, Good: t.Good, Failed: t.Failed,
		Sends: t.Sends, Refused: t.Refused, Unknown: t.Unknown, Early: t.Early, P50: millis(50), P99: millis(99), P999: millis(99.9),
	}
	if measured := l.Until - max(l.From, s.WarmUp); measured > 0 {
		v.Goodput = float64(t.Good) / measured.Seconds()
	}
	for _, q := range quantiles {
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
