// Package cost measures the latency and CPU time that one or two daemons on the path add to a call. It implements the
// command jcbench overhead.
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
	"jacinthcross/internal/bench/deploy"
	"jacinthcross/internal/bench/proc"
	"jacinthcross/internal/bench/setup"
	"jacinthcross/internal/wire/header"
)

// connectionCount is the number of connections that the caller opens. The platform on which the daemons run allows 260
// connections to a service (MaxConnections).
const connectionCount = 260

// rounds is the number of times that the paths are measured in turn, so that other load on the machine affects all of
// them alike.
const rounds = 2

// A Path is a way for calls to reach a target: directly or through one or two daemons.
type Path struct {
	Name    string
	Address netip.AddrPort
	Service string
	// Daemons are the members whose daemons are on the path.
	Daemons []*deploy.Member
}

// A Result is the result for one path at one rate.
type Result struct {
	Rate   float64
	Path   string
	Calls  int
	Failed int
	P50    time.Duration
	P99    time.Duration
	// AddedP99 is P99 minus the P99 of the direct path at the same rate.
	AddedP99 time.Duration
	// CPUPerCall is the CPU time of the daemons on the path per call.
	CPUPerCall time.Duration
	// Reasons counts failed calls by reason.
	Reasons map[string]int
}

// Rates lists the measured rates in calls per second.
func Rates() []float64 { return []float64{50, 500, 5000} }

// layout has one target beside the daemon that callers use and one beside another daemon.
func layout() setup.Layout {
	service := func(name string) setup.Service {
		return setup.Service{Name: name, Targets: 1, Slots: connectionCount, Rank: ident.Urgent}
	}
	return setup.Layout{Name: "Overhead", DataCentres: []ident.DataCentre{"here"}, Services: []setup.Service{service("near"), service("far")}}
}

// Run measures all paths at all rates. Latency is measured from the actual send, not the scheduled time, since
// timers fire up to 1 ms late, which is more than the latency to be measured.
func Run(daemonPath string, duration time.Duration, out io.Writer) ([]Result, error) {
	cluster, err := deploy.Start(deploy.Config{Layout: layout(), Seed: 1, Daemons: deploy.DaemonProcesses{Path: daemonPath}, NoProxies: true})
	if err != nil {
		return nil, err
	}
	defer cluster.Close()
	near, far := cluster.Members[0], cluster.Members[1]
	paths := []Path{
		{"direct", near.TargetAddress, "near", nil},
		{"one daemon", near.Settings.Callers, "near", []*deploy.Member{near}},
		{"two daemons", near.Settings.Callers, "far", []*deploy.Member{near, far}},
	}
	var results []Result
	for _, rate := range Rates() {
		var measured []*pathStats
		for range paths {
			measured = append(measured, newPathStats())
		}
		for round := range rounds {
			for i, p := range paths {
				fmt.Fprintf(out, "%.0f calls/s, round %d of %d: %s\n", rate, round+1, rounds, p.Name)
				if err := measured[i].runRound(p, rate, duration, uint64(round)); err != nil {
					return nil, err
				}
			}
		}
		for i, p := range paths {
			results = append(results, measured[i].result(rate, p, measured[0]))
		}
	}
	return results, nil
}

// pathStats holds the measurements of all rounds for one path at one rate. Only the goroutine that runs the rounds
// changes it; the goroutines that send the calls pass it their samples over a channel.
type pathStats struct {
	latency *hdrhistogram.Histogram
	calls   int
	failed  int
	reasons map[string]int
	cpu     time.Duration
}

// A sample is the latency of one call or the error that it failed with.
type sample struct {
	latency time.Duration
	err     error
}

// Latencies are recorded in microseconds, up to one minute.
const minLatencyMicros, maxLatencyMicros, significantDigits = 1, 60_000_000, 3

func newPathStats() *pathStats {
	return &pathStats{latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits), reasons: map[string]int{}}
}

func (m *pathStats) result(rate float64, p Path, direct *pathStats) Result {
	percentile := func(m *pathStats, q float64) time.Duration {
		return time.Duration(m.latency.ValueAtQuantile(q)) * time.Microsecond
	}
	r := Result{Rate: rate, Path: p.Name, Calls: m.calls, Failed: m.failed, P50: percentile(m, 50), P99: percentile(m, 99), Reasons: m.reasons}
	r.AddedP99 = r.P99 - percentile(direct, 99)
	if m.calls > 0 {
		r.CPUPerCall = m.cpu / time.Duration(m.calls)
	}
	return r
}

func (m *pathStats) runRound(p Path, rate float64, duration time.Duration, seed uint64) error {
	clients := make([]*http.Client, connectionCount)
	for i := range clients {
		clients[i] = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
		defer clients[i].CloseIdleConnections()
	}
	if err := openConnections(clients, p); err != nil {
		return err
	}
	before, err := cpuTime(p.Daemons)
	if err != nil {
		return err
	}
	m.sendCalls(clients, p, rate, duration, rand.New(rand.NewPCG(1, seed)))
	after, err := cpuTime(p.Daemons)
	m.cpu += after - before
	return err
}

// openConnections opens the connection of each client, so that it is not part of the measurement.
func openConnections(clients []*http.Client, p Path) error {
	failures := make(chan error, len(clients))
	for _, c := range clients {
		go func() { failures <- sendRequest(c, p) }()
	}
	var first error
	for range clients {
		if err := <-failures; err != nil && first == nil {
			first = errors.Annotatef(err, "open connections for path %q", p.Name)
		}
	}
	return first
}

// sendCalls sends calls at exponentially distributed gaps for a duration and collects their samples.
func (m *pathStats) sendCalls(clients []*http.Client, p Path, rate float64, duration time.Duration, random *rand.Rand) {
	samples := make(chan sample, connectionCount)
	go func() {
		defer close(samples)
		var calls sync.WaitGroup
		defer calls.Wait()
		due := time.Now()
		for i, end := 0, due.Add(duration); ; i++ {
			due = due.Add(time.Duration(random.ExpFloat64() / rate * float64(time.Second)))
			if due.After(end) {
				return
			}
			if d := time.Until(due); d > 0 {
				time.Sleep(d)
			}
			calls.Go(func() {
				start := time.Now()
				err := sendRequest(clients[i%len(clients)], p)
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
		// Cannot fail: the timeout of a call is far below maxLatencyMicros.
		_ = m.latency.RecordValue(v.latency.Microseconds())
	}
}

func sendRequest(c *http.Client, p Path) error {
	r, err := http.NewRequest(http.MethodGet, "http://"+p.Address.String()+"/x", nil)
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

func cpuTime(members []*deploy.Member) (time.Duration, error) {
	var sum time.Duration
	for _, m := range members {
		pid, ok := m.PID()
		if !ok {
			return 0, errors.Errorf("daemon on %s is not running", m.VM)
		}
		u, err := proc.ReadUsage(pid)
		if err != nil {
			return 0, err
		}
		sum += u.CPU
	}
	return sum, nil
}

// Print writes the results as a table.
func Print(out io.Writer, results []Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "Calls/s\tPath\tCalls\tFailed\tp50 ms\tp99 ms\tAdded p99 ms\tDaemon CPU per call, us\t")
	millis := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	for _, r := range results {
		fmt.Fprintf(w, "%.0f\t%s\t%d\t%d\t%.3f\t%.3f\t%.3f\t%d\t\n", r.Rate, r.Path, r.Calls, r.Failed,
			millis(r.P50), millis(r.P99), millis(r.AddedP99), r.CPUPerCall.Microseconds())
	}
	if err := w.Flush(); err != nil {
		return errors.Trace(err)
	}
	for _, r := range results {
		for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
			fmt.Fprintf(out, "%.0f calls/s, %s, failed: %s: %d\n", r.Rate, r.Path, reason, r.Reasons[reason])
		}
	}
	return nil
}
