package simul

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// A Scenario is a load on the service and the faults of its targets.
type Scenario string

// The scenarios.
const (
	// In Steady, all targets are healthy and equally fast.
	Steady Scenario = "steady"
	// In Busy, all targets are healthy and equally fast, at a higher utilisation.
	Busy Scenario = "busy"
	// In Straggler, one target runs at an eighth of its speed from 5 s to 15 s.
	Straggler Scenario = "straggler"
	// In Noisy, one target, chosen at random every 5 ms, runs at a quarter of its speed.
	Noisy Scenario = "noisy"
	// In ColdStart, one target joins at 5 s and runs at a quarter of its speed for 2 s.
	ColdStart Scenario = "cold start"
	// In Crash, one target crashes at 5 s and does not recover.
	Crash Scenario = "crash"
)

// Scenarios lists all scenarios.
func Scenarios() []Scenario { return []Scenario{Steady, Busy, Straggler, Noisy, ColdStart, Crash} }

const (
	changeAtSeconds    = 5.
	recoveryAtSeconds  = 15.
	stragglerSpeed     = 1. / 8
	noisySpeed         = 1. / 4
	noisyPeriodSeconds = .005
	coldSpeed          = 1. / 4
	coldSeconds        = 2.
)

// utilisation returns the share of all slots that is busy when no target is slow.
func (s Scenario) utilisation() float64 {
	if s == Busy {
		return .8
	}
	return .6
}

// scheduleScenario schedules the faults of the scenario. Except in Noisy, they affect the first target.
func (m *model) scheduleScenario() {
	first := m.targets[0]
	switch m.scenario {
	case Steady, Busy:
	case Straggler:
		m.scheduleAfter(changeAtSeconds, func() { m.setSpeed(0, stragglerSpeed) })
		m.scheduleAfter(recoveryAtSeconds, func() { m.setSpeed(0, 1) })
	case Noisy:
		m.moveNoise(0)
	case ColdStart:
		first.registered = false
		m.scheduleAfter(changeAtSeconds, func() {
			first.registered = true
			m.setSpeed(0, coldSpeed)
			m.setCandidates()
		})
		m.scheduleAfter(changeAtSeconds+coldSeconds, func() { m.setSpeed(0, 1) })
	case Crash:
		m.scheduleAfter(changeAtSeconds, func() { m.crash(0) })
	}
}

func (m *model) moveNoise(slow int) {
	m.setSpeed(slow, 1)
	slow = m.random.IntN(len(m.targets))
	m.setSpeed(slow, noisySpeed)
	m.scheduleAfter(noisyPeriodSeconds, func() { m.moveNoise(slow) })
}

func (m *model) setSpeed(i int, speed float64) {
	t := m.targets[i]
	m.advance(t)
	t.speed = speed
	m.scheduleCompletion(i)
}

func (m *model) crash(i int) {
	t := m.targets[i]
	t.crashed = true
	t.scheduleVersion++
	lost := t.queue
	for c := range t.running {
		lost = append(lost, c)
	}
	slices.SortFunc(lost, func(a, b *simCall) int { return int(a.id) - int(b.id) })
	clear(t.running)
	t.queue = nil
	for _, c := range lost {
		m.respond(c, i, false)
	}
}

// A Result holds the measurements of one run. Latencies are in seconds.
type Result struct {
	Calls     int
	Failed    int
	Probes    int
	latencies []float64
}

func (r *Result) recordAnswer(c *simCall, latency float64) {
	if c.afterWarmUp {
		r.latencies = append(r.latencies, latency)
	}
}

func (r *Result) recordFailure(c *simCall) {
	if c.afterWarmUp {
		r.Failed++
	}
}

// Quantile returns the latency at quantile q, from 0 to 1, in milliseconds.
func (r *Result) Quantile(q float64) float64 {
	if len(r.latencies) == 0 {
		return 0
	}
	slices.Sort(r.latencies)
	return 1000 * r.latencies[min(len(r.latencies)-1, int(q*float64(len(r.latencies))))]
}

// Run simulates one policy in a scenario for a virtual duration.
func Run(deployment Deployment, scenario Scenario, policy Policy, duration time.Duration, seed uint64) Result {
	return newModel(deployment, scenario, policy, seed).run(duration)
}

// compareDuration is the virtual time of each run of Compare.
const compareDuration = 20 * time.Second

// Compare runs all policies in all scenarios and prints the results as a table.
func Compare(out io.Writer, seed uint64) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "size\tscenario\tpolicy\tp50 ms\tp99 ms\tp99.9 ms\tp99/oracle\tprobes/call\tfailed\t")
	for _, deployment := range Deployments() {
		for _, scenario := range Scenarios() {
			oracle := Run(deployment, scenario, Oracle{}, compareDuration, seed)
			for _, p := range Policies() {
				r := Run(deployment, scenario, p, compareDuration, seed)
				fmt.Fprintf(w, "%s\t%s\t%s\t%.2f\t%.2f\t%.2f\t%.2f\t%.5f\t%d\t\n", deployment.Name, scenario, PolicyName(p),
					r.Quantile(.5), r.Quantile(.99), r.Quantile(.999), r.Quantile(.99)/oracle.Quantile(.99),
					float64(r.Probes)/float64(r.Calls), r.Failed)
			}
		}
	}
	return w.Flush()
}
