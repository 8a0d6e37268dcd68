// Package load generates an open-loop load on a deployment and records what callers see.
package load

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"jacinthcross/internal/bench/cfgsvc"
	"jacinthcross/internal/bench/deploy"
	"jacinthcross/internal/bench/proc"
	"jacinthcross/internal/bench/setup"
	"jacinthcross/internal/bench/target"
)

// lateThreshold is the delay behind schedule from which a send counts as late. Timers alone fire up to 1 ms late.
const lateThreshold = 5 * time.Millisecond

// maxOutstanding is the maximum number of calls in flight. It limits the memory of an overloaded run.
const maxOutstanding = 8192

// A RunResult is the result of running a scenario with one balancer.
type RunResult struct {
	Balancer setup.Balancer
	Loads    []Stats
	// Sent counts calls, not resends. Late counts those sent behind schedule.
	Sent int
	Late int
	// TargetRuns counts runs at all targets, including those of the warm-up.
	TargetRuns int
	// Amplification is TargetRuns divided by the number of runs that the successful calls need without retries.
	Amplification float64
	// SecondRuns counts repeated runs of calls that must run at most once.
	SecondRuns int
	// FalseRefusals counts calls that ran although every send was refused as not run.
	FalseRefusals int
	// Probes and ControlBytes are the increases of these counters over all daemons.
	Probes       float64
	ControlBytes float64
	// ConfigCalls is the number of calls of all daemons to the configuration service.
	ConfigCalls int
	Elapsed     time.Duration
}

// Run sends the load of a scenario through a deployment and prints the progress to out once a second.
func Run(s *setup.Scenario, b setup.Balancer, cluster *deploy.Cluster, out io.Writer) *RunResult {
	var p *picker
	if pol, ok := policyFor(b); ok {
		p = newPicker(pol, s.Seed, cluster.Members)
		defer p.Stop()
	}
	c := newCaller(cluster.Members, p, string(b))
	defer c.client.CloseIdleConnections()
	r := newRecorder(s.Loads)
	before, calls := scrapeCounters(cluster), cluster.ConfigService.Reads()
	start := time.Now()
	stop := make(chan struct{})
	var background sync.WaitGroup
	background.Go(func() { injectFaults(s.Faults, cluster, start, stop) })
	background.Go(func() { printProgress(s, b, r, start, stop, out) })
	sendCalls(s, c, r, len(cluster.Members), start)
	close(stop)
	background.Wait()
	after := scrapeCounters(cluster)
	counts := cluster.Tally.Counts()
	r.Stop()
	<-r.Done()
	state := r.snapshot()
	result := &RunResult{
		Balancer: b, Loads: state.stats, Sent: state.sent, Late: state.late, TargetRuns: counts.Total(),
		SecondRuns: counts.SecondRuns(), ConfigCalls: cluster.ConfigService.Reads() - calls, Elapsed: time.Since(start),
		Probes:       counterIncrease(before, after, "jacinthcross_probes_total"),
		ControlBytes: counterIncrease(before, after, "jacinthcross_control_bytes_total"),
	}
	neededRuns := 0
	for i, t := range state.stats {
		neededRuns += t.SuccessfulWithWarmUp * s.Layout.ChainDepth(s.Loads[i].Service)
	}
	if neededRuns > 0 {
		result.Amplification = float64(result.TargetRuns) / float64(neededRuns)
	}
	for marker := range state.refused {
		if counts.Markers[marker] > 0 {
			result.FalseRefusals++
		}
	}
	return result
}

// sendCalls sends all calls at their scheduled times and waits until they have finished.
func sendCalls(s *setup.Scenario, c *caller, r *recorder, daemons int, start time.Time) {
	outstanding := make(chan struct{}, maxOutstanding)
	var calls sync.WaitGroup
	for _, p := range schedule(s, daemons) {
		due := start.Add(p.at)
		if d := time.Until(due); d > 0 {
			time.Sleep(d)
		}
		outstanding <- struct{}{}
		l := s.Loads[p.load]
		service, _ := s.Layout.Service(l.Service)
		call := scheduledCall{arrival: p, load: l, keyed: service.Keyed, due: due}
		calls.Go(func() {
			defer func() { <-outstanding }()
			r.put(callSent{late: time.Since(due) > lateThreshold})
			outcome, sends, marker := c.sendWithResends(call)
			r.put(callFinished{
				load: p.load, latency: time.Since(due), sends: sends, marker: marker, outcome: outcome, afterWarmUp: p.at >= s.WarmUp,
			})
		})
	}
	calls.Wait()
}

func printProgress(s *setup.Scenario, b setup.Balancer, r *recorder, start time.Time, stop <-chan struct{}, out io.Writer) {
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			var calls, good, refused, unknown int
			state := r.snapshot()
			for _, t := range state.stats {
				calls, good = calls+t.Calls, good+t.Good
				refused, unknown = refused+sum(t.Refused), unknown+sum(t.Unknown)
			}
			fmt.Fprintf(out, "%s %s: %2.0f of %.0f s, sent %d, measured %d, good %d, refused %d, unknown %d\n",
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

// injectFaults injects the faults of a scenario at their times until stop is closed.
func injectFaults(faults []setup.Fault, cluster *deploy.Cluster, start time.Time, stop <-chan struct{}) {
	for _, f := range faults {
		timer := time.NewTimer(time.Until(start.Add(f.At)))
		select {
		case <-timer.C:
			InjectFault(f, cluster)
		case <-stop:
			timer.Stop()
			return
		}
	}
}

// InjectFault injects one fault.
func InjectFault(f setup.Fault, cluster *deploy.Cluster) {
	m, _ := cluster.MemberByTarget(f.Target)
	switch f.Kind {
	case setup.SlowTarget:
		m.TargetInbox.TryPut(target.Adjust{Slowdown: f.Factor})
	case setup.DrainTarget:
		m.TargetInbox.TryPut(target.Adjust{Slowdown: 1, Draining: true})
	case setup.CrashTarget:
		m.TargetInbox.TryPut(target.Crash{})
	case setup.WithdrawTarget:
		cluster.Publish(fmt.Sprintf("[[WithdrawTarget]]\nName = %q\n", f.Target))
	case setup.StopDaemon:
		m.DaemonInbox.TryPut(proc.Terminate{})
	case setup.RestartDaemon:
		m.DaemonInbox.TryPut(proc.Restart{})
	case setup.KillDaemon:
		m.DaemonInbox.TryPut(proc.Kill{})
	case setup.SilenceLinks:
		m.SilenceLinks()
	case setup.ConfigDown:
		cluster.ConfigService.Send(cfgsvc.SetMode{Mode: cfgsvc.Down{}})
	case setup.ConfigNormal:
		cluster.ConfigService.Send(cfgsvc.SetMode{Mode: cfgsvc.Normal{}})
	}
}

// scrapeCounters returns the counters of each daemon, in the order of the members.
func scrapeCounters(cluster *deploy.Cluster) []map[string]float64 {
	counters := make([]map[string]float64, len(cluster.Members))
	client := &http.Client{Timeout: time.Second}
	defer client.CloseIdleConnections()
	var readers sync.WaitGroup
	for i, m := range cluster.Members {
		readers.Go(func() { counters[i] = ReadCounters(client, m.Settings.Admin) })
	}
	readers.Wait()
	return counters
}

// counterIncrease returns the increase of a counter, summed over all daemons. The counters of a
// daemon that restarted began at zero again; what it counted before the restart is lost.
func counterIncrease(before, after []map[string]float64, name string) float64 {
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
