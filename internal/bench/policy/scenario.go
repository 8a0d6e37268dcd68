package policy

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// A Scenario is what happens to the targets of the service.
type Scenario string

// The scenarios.
const (
	// Steady has targets of equal speed.
	Steady Scenario = "steady"
	// Busy is steady with more calls.
	Busy Scenario = "busy"
	// Straggler has one target at an eighth of the speed from 5 s to 15 s.
	Straggler Scenario = "straggler"
	// Noisy has one target at a quarter of the speed, another one every 5 ms.
	Noisy Scenario = "noisy"
	// ColdStart has one target that joins at 5 s with a quarter of the speed for 2 s.
	ColdStart Scenario = "cold start"
	// Crash has one target that dies at 5 s and stays dead.
	Crash Scenario = "crash"
)

// Scenarios lists all scenarios.
func Scenarios() []Scenario { return []Scenario{Steady, Busy, Straggler, Noisy, ColdStart, Crash} }

const (
	changeAt       = 5.
	recoveryAt     = 15.
	stragglerSpeed = 1. / 8
	noisySpeed     = 1. / 4
	noisyPeriod    = .005
	coldSpeed      = 1. / 4
	coldTime       = 2.
)

// utilisation returns the part of all slots that the calls keep busy when no target is slow.
func (s Scenario) utilisation() float64 {
	if s == Busy {
		return .8
	}
	return .6
}

// begin schedules the events of the scenario. The first target is the one that changes.
func (m *model) begin() {
	first := m.targets[0]
	switch m.scenario {
	case Steady, Busy:
	case Straggler:
		m.after(changeAt, func() { m.setSpeed(0, stragglerSpeed) })
		m.after(recoveryAt, func() { m.setSpeed(0, 1) })
	case Noisy:
		m.shift(0)
	case ColdStart:
		first.present = false
		m.after(changeAt, func() {
			first.present = true
			m.setSpeed(0, coldSpeed)
			m.setCandidates()
		})
		m.after(changeAt+coldTime, func() { m.setSpeed(0, 1) })
	case Crash:
		m.after(changeAt, func() { m.crash(0) })
	}
}

func (m *model) shift(slow int) {
	m.setSpeed(slow, 1)
	slow = m.random.IntN(len(m.targets))
	m.setSpeed(slow, noisySpeed)
	m.after(noisyPeriod, func() { m.shift(slow) })
}

func (m *model) setSpeed(i int, speed float64) {
	t := m.targets[i]
	m.progress(t)
	t.speed = speed
	m.schedule(i)
}

func (m *model) crash(i int) {
	t := m.targets[i]
	t.crashed = true
	t.version++
	lost := t.queue
	for c := range t.running {
		lost = append(lost, c)
	}
	slices.SortFunc(lost, func(a, b *request) int { return int(a.id) - int(b.id) })
	clear(t.running)
	t.queue = nil
	for _, c := range lost {
		m.answer(c, i, false)
	}
}

// A Result is what one run measured. Times are in seconds.
type Result struct {
	Calls     int
	Failed    int
	Probes    int
	latencies []float64
}

func (r *Result) answered(c *request, latency float64) {
	if c.measured {
		r.latencies = append(r.latencies, latency)
	}
}

func (r *Result) failed(c *request) {
	if c.measured {
		r.Failed++
	}
}

// Quantile returns a latency in milliseconds.
func (r *Result) Quantile(q float64) float64 {
	if len(r.latencies) == 0 {
		return 0
	}
	slices.Sort(r.latencies)
	return 1000 * r.latencies[min(len(r.latencies)-1, int(q*float64(len(r.latencies))))]
}

// Run runs one policy through a scenario for a virtual time.
func Run(size Size, scenario Scenario, policy Policy, duration time.Duration, seed uint64) Result {
	return newModel(size, scenario, policy, seed).run(duration)
}

// comparedTime is the virtual time of each run of Compare.
const comparedTime = 20 * time.Second

// Compare runs all policies through all scenarios and prints a table.
func Compare(out io.Writer, seed uint64) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "size\tscenario\tpolicy\tp50 ms\tp99 ms\tp99.9 ms\tp99/oracle\tprobes/call\tfailed\t")
	for _, size := range Sizes() {
		for _, scenario := range Scenarios() {
			oracle := Run(size, scenario, Oracle{}, comparedTime, seed)
			for _, p := range Policies() {
				r := Run(size, scenario, p, comparedTime, seed)
				fmt.Fprintf(w, "%s\t%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.5f\t%d\t\n", size.Name, scenario, Name(p),
					r.Quantile(.5), r.Quantile(.99), r.Quantile(.999), r.Quantile(.99)/oracle.Quantile(.99),
					float64(r.Probes)/float64(r.Calls), r.Failed)
			}
		}
	}
	return w.Flush()
}
