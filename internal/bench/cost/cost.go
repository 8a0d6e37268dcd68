// Package cost measures what one and two daemons add to a call.
package cost

import (
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/bench/proc"
	"jacinthcross/internal/bench/setup"
	"jacinthcross/internal/bench/stage"
	"jacinthcross/internal/wire/header"
)

// connections is the number of connections of a caller, as many as a target of the deployments has.
const connections = 260

// rounds is how often the paths take turns, so that a change in the machine's load meets all of them.
const rounds = 2

// A Path is the way of a call to a target.
type Path struct {
	Name    string
	At      netip.AddrPort
	Service string
	// Daemons are the processes on the path.
	Daemons []*stage.Member
}

// A Row is what was measured for a path at a rate.
type Row struct {
	Rate   float64
	Path   string
	Calls  int
	Failed int
	P50    time.Duration
	P99    time.Duration
	// Added is the difference of the p99 to that of the direct path at the same rate.
	Added      time.Duration
	CPUPerCall time.Duration
	// Reasons are why calls failed.
	Reasons map[string]int
}

// Rates are the rates in calls per second.
func Rates() []float64 { return []float64{50, 500, 5000} }

// layout has a target beside the daemon that callers use and one beside another daemon.
func layout() setup.Layout {
	service := func(name string) setup.Service {
		return setup.Service{Name: name, Targets: 1, Slots: connections, Rank: ident.Urgent}
	}
	return setup.Layout{Name: "Overhead", DataCentres: []ident.DataCentre{"here"}, Services: []setup.Service{service("near"), service("far")}}
}

// Run measures all paths at all rates. Latency counts from the send, since the timer of the
// generator is up to 1 ms late, which is more than what is measured.
func Run(program string, each time.Duration, out io.Writer) ([]Row, error) {
	st, err := stage.Start(stage.Config{Layout: layout(), Seed: 1, Daemons: stage.Processes{Path: program}, NoRelays: true})
	if err != nil {
		return nil, err
	}
	defer st.Close()
	near, far := st.Members[0], st.Members[1]
	paths := []Path{
		{"direct", near.Address, "near", nil},
		{"one daemon", near.Settings.Callers, "near", []*stage.Member{near}},
		{"two daemons", near.Settings.Callers, "far", []*stage.Member{near, far}},
	}
	var rows []Row
	for _, rate := range Rates() {
		var measured []*measure
		for range paths {
			measured = append(measured, newMeasure())
		}
		for round := range rounds {
			for i, p := range paths {
				fmt.Fprintf(out, "%.0f calls/s, round %d of %d: %s\n", rate, round+1, rounds, p.Name)
				if err := measured[i].run(p, rate, each, uint64(round)); err != nil {
					return nil, err
				}
			}
		}
		for i, p := range paths {
			rows = append(rows, measured[i].row(rate, p, measured[0]))
		}
	}
	return rows, nil
}

// A measure adds up the rounds of one path at one rate. Only the goroutine that collects the samples changes it.
type measure struct {
	latency *hdrhistogram.Histogram
	calls   int
	failed  int
	reasons map[string]int
	cpu     time.Duration
}

// A sample is the latency of one call, or why it failed.
type sample struct {
	latency time.Duration
	err     error
}

// Latencies are recorded in microseconds up to a minute.
const lowest, highest, figures = 1, 60_000_000, 3

func newMeasure() *measure {
	return &measure{latency: hdrhistogram.New(lowest, highest, figures), reasons: map[string]int{}}
}

func (m *measure) row(rate float64, p Path, direct *measure) Row {
	at := func(m *measure, q float64) time.Duration {
		return time.Duration(m.latency.ValueAtQuantile(q)) * time.Microsecond
	}
	r := Row{Rate: rate, Path: p.Name, Calls: m.calls, Failed: m.failed, P50: at(m, 50), P99: at(m, 99), Reasons: m.reasons}
	r.Added = r.P99 - at(direct, 99)
	if m.calls > 0 {
		r.CPUPerCall = m.cpu / time.Duration(m.calls)
	}
	return r
}

func (m *measure) run(p Path, rate float64, each time.Duration, seed uint64) error {
	clients := make([]*http.Client, connections)
	for i := range clients {
		clients[i] = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
		defer clients[i].CloseIdleConnections()
	}
	if err := open(clients, p); err != nil {
		return err
	}
	before, err := usage(p.Daemons)
	if err != nil {
		return err
	}
	m.send(clients, p, rate, each, rand.New(rand.NewPCG(1, seed)))
	after, err := usage(p.Daemons)
	m.cpu += after - before
	return err
}

// open opens all connections before the measurement.
func open(clients []*http.Client, p Path) error {
	failures := make(chan error, len(clients))
	for _, c := range clients {
		go func() { failures <- get(c, p) }()
	}
	var first error
	for range clients {
		if err := <-failures; err != nil && first == nil {
			first = errors.Annotatef(err, "open connections for the path %s", p.Name)
		}
	}
	return first
}

// send sends the calls at their times and collects the samples of all of them.
func (m *measure) send(clients []*http.Client, p Path, rate float64, each time.Duration, random *rand.Rand) {
	samples := make(chan sample, connections)
	go func() {
		defer close(samples)
		var calls sync.WaitGroup
		defer calls.Wait()
		due := time.Now()
		for i, end := 0, due.Add(each); ; i++ {
			due = due.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			if due.After(end) {
				return
			}
			if d := time.Until(due); d > 0 {
				time.Sleep(d)
			}
			calls.Go(func() {
				start := time.Now()
				err := get(clients[i%len(clients)], p)
				samples <- sample{time.Since(start), err}
			})
		}
	}()
	for v := range samples {
		m.calls++
		if v.err != nil {
			m.failed++
			m.reasons[errors.Cause(v.err).Error()]++
			continue
		}
		// The timeout of a call is far below the highest value.
		_ = m.latency.RecordValue(v.latency.Microseconds())
	}
}

func get(c *http.Client, p Path) error {
	r, err := http.NewRequest(http.MethodGet, "http://"+p.At.String()+"/x", nil)
	if err != nil {
		return errors.Trace(err)
	}
	r.Header.Set(header.Service, p.Service)
	response, err := c.Do(r)
	if err != nil {
		return errors.Trace(err)
	}
	defer response.Body.Close()
	if _, err := io.Copy(io.Discard, response.Body); err != nil {
		return errors.Trace(err)
	}
	if response.StatusCode != http.StatusOK {
		return errors.Errorf("status %d, %s", response.StatusCode, response.Header.Get(header.Error))
	}
	return nil
}

func usage(members []*stage.Member) (time.Duration, error) {
	var sum time.Duration
	for _, m := range members {
		pid, ok := m.PID()
		if !ok {
			return 0, errors.Errorf("the daemon on %s does not run", m.VM)
		}
		u, err := proc.ReadUsage(pid)
		if err != nil {
			return 0, err
		}
		sum += u.CPU
	}
	return sum, nil
}

// Print writes the rows as a table.
func Print(out io.Writer, rows []Row) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "Calls/s\tPath\tCalls\tFailed\tp50 ms\tp99 ms\tAdded p99 ms\tDaemon CPU per call, us\t")
	millis := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	for _, r := range rows {
		fmt.Fprintf(w, "%.0f\t%s\t%d\t%d\t%.3f\t%.3f\t%.3f\t%d\t\n", r.Rate, r.Path, r.Calls, r.Failed,
			millis(r.P50), millis(r.P99), millis(r.Added), r.CPUPerCall.Microseconds())
	}
	if err := w.Flush(); err != nil {
		return errors.Trace(err)
	}
	for _, r := range rows {
		for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
			fmt.Fprintf(out, "%.0f calls/s, %s, failed: %s: %d\n", r.Rate, r.Path, reason, r.Reasons[reason])
		}
	}
	return nil
}
