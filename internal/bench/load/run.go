// Package load sends an open load through a deployment and records what callers see.
package load

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"jacinthcross/internal/bench/config"
	"jacinthcross/internal/bench/proc"
	"jacinthcross/internal/bench/setup"
	"jacinthcross/internal/bench/stage"
	"jacinthcross/internal/bench/target"
)

// lateAfter is how far behind its schedule a send counts as late. Timers fire up to 1 ms late.
const lateAfter = 5 * time.Millisecond

// maxOutstanding bounds the calls in flight, so that an overloaded run stays within the machine's memory.
const maxOutstanding = 8192

// An Outcome is what a run of one balancer showed.
type Outcome struct {
	Balancer setup.Balancer
	Tallies  []Tally
	Sent     int
	Late     int
	// Runs are the runs at all targets, also those of the warm-up.
	Runs int
	// Amplification is the number of runs per run that the answered calls needed.
	Amplification float64
	SecondRuns    int
	FalseRefusals int
	Probes        float64
	ControlBytes  float64
	PlatformCalls int
	Elapsed       time.Duration
}

// Run sends the load of a scenario through a deployment. Progress goes to out once a second.
func Run(s *setup.Scenario, b setup.Balancer, st *stage.Stage, out io.Writer) *Outcome {
	var k *picker
	if p, ok := policyOf(b); ok {
		k = newPicker(p, s.Seed, st.Members)
		defer k.Stop()
	}
	c := newCaller(st.Members, k, string(b))
	defer c.client.CloseIdleConnections()
	r := newRecorder(s.Loads)
	before, calls := scrape(st), st.Platform.Calls()
	start := time.Now()
	stop := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { inject(s.Faults, st, start, stop) })
	background.Go(func() { progress(s, b, r, start, stop, out) })
	send(s, c, r, len(st.Members), start)
	close(stop)
	background.Wait()
	after := scrape(st)
	counts := st.Tally.Counts()
	r.Stop()
	<-r.Done()
	state := r.snapshot()
	o := &Outcome{
		Balancer: b, Tallies: state.tallies, Sent: state.sent, Late: state.late, Runs: counts.Total(),
		SecondRuns: counts.SecondRuns(), PlatformCalls: st.Platform.Calls() - calls, Elapsed: time.Since(start),
		Probes:       increase(before, after, "jacinthcross_probes_total"),
		ControlBytes: increase(before, after, "jacinthcross_control_bytes_total"),
	}
	needed := 0
	for i, t := range state.tallies {
		needed += t.All * s.Layout.Depth(s.Loads[i].Service)
	}
	if needed > 0 {
		o.Amplification = float64(o.Runs) / float64(needed)
	}
	for marker := range state.refused {
		if counts.Markers[marker] > 0 {
			o.FalseRefusals++
		}
	}
	return o
}

// send sends all calls at their scheduled times and waits for the last to finish.
func send(s *setup.Scenario, c *caller, r *recorder, entries int, start time.Time) {
	slots := make(chan struct{}, maxOutstanding)
	var calls sync.WaitGroup
	for _, p := range schedule(s, entries) {
		due := start.Add(p.at)
		if d := time.Until(due); d > 0 {
			time.Sleep(d)
		}
		slots <- struct{}{}
		l := s.Loads[p.load]
		service, _ := s.Layout.Service(l.Service)
		j := job{planned: p, load: l, keyed: service.Keyed, due: due}
		calls.Go(func() {
			defer func() { <-slots }()
			r.put(sent{late: time.Since(due) > lateAfter})
			f, sends, marker := c.do(j)
			r.put(finished{
				load: p.load, latency: time.Since(due), sends: sends, marker: marker, finish: f, warm: p.at >= s.WarmUp,
			})
		})
	}
	calls.Wait()
}

func progress(s *setup.Scenario, b setup.Balancer, r *recorder, start time.Time, stop <-chan struct{}, out io.Writer) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			var calls, good, refused, unknown int
			state := r.snapshot()
			for _, t := range state.tallies {
				calls, good = calls+t.Calls, good+t.Good
				refused, unknown = refused+sum(t.Refused), unknown+sum(t.Unknown)
			}
			fmt.Fprintf(out, "%s %s: %2.0f of %.0f s, sent %d, finished after warm-up %d, good %d, refused %d, unknown %d\n",
				s.Name, b, time.Since(start).Seconds(), s.Duration().Seconds(), state.sent, calls, good, refused, unknown)
		case <-stop:
			return
		}
	}
}

func sum(counts map[string]int) int {
	n := 0
	for _, v := range counts {
		n += v
	}
	return n
}

// inject makes the faults of a scenario happen at their times.
func inject(faults []setup.Fault, st *stage.Stage, start time.Time, stop <-chan struct{}) {
	for _, f := range faults {
		timer := time.NewTimer(time.Until(start.Add(f.At)))
		select {
		case <-timer.C:
			Inject(f, st)
		case <-stop:
			timer.Stop()
			return
		}
	}
}

// Inject makes one fault happen.
func Inject(f setup.Fault, st *stage.Stage) {
	m, _ := st.MemberOf(f.Target)
	switch f.Kind {
	case setup.SlowTarget:
		m.Target.TryPut(target.Adjust{Slowdown: f.Factor})
	case setup.DrainTarget:
		m.Target.TryPut(target.Adjust{Slowdown: 1, Draining: true})
	case setup.CrashTarget:
		m.Target.TryPut(target.Crash{})
	case setup.WithdrawTarget:
		st.Publish(fmt.Sprintf("[[WithdrawTarget]]\nName = %q\n", f.Target))
	case setup.StopDaemon:
		m.Daemon.TryPut(proc.Terminate{})
	case setup.RestartDaemon:
		m.Daemon.TryPut(proc.Restart{})
	case setup.KillDaemon:
		m.Daemon.TryPut(proc.Kill{})
	case setup.SilenceLinks:
		m.Silence()
	case setup.ConfigDown:
		st.Platform.Send(config.Behave{Mode: config.Down{}})
	case setup.ConfigNormal:
		st.Platform.Send(config.Behave{Mode: config.Normal{}})
	}
}

// scrape reads the counters of each daemon.
func scrape(st *stage.Stage) []map[string]float64 {
	counters := make([]map[string]float64, len(st.Members))
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	var readers sync.WaitGroup
	for i, m := range st.Members {
		readers.Go(func() { counters[i] = Metrics(client, m.Settings.Admin) })
	}
	readers.Wait()
	return counters
}

// increase returns by how much a counter grew at all daemons. The counters of a
// daemon that restarted began at zero again; what it counted before is lost.
func increase(before, after []map[string]float64, name string) float64 {
	sum := 0.0
	for i := range after {
		d := after[i][name] - before[i][name]
		if d < 0 {
			d = after[i][name]
		}
		sum += d
	}
	return sum
}
