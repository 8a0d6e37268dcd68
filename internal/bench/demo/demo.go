// Package demo runs daemons, simulated targets and a simulated configuration service in one process for a few seconds,
// injects faults and checks the guarantees.
package demo

import (
	"flag"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"jacinthcross/internal/bench/deploy"
	"jacinthcross/internal/bench/load"
	"jacinthcross/internal/bench/report"
	"jacinthcross/internal/bench/setup"
)

// Times since the start of the load. After withdrawalDeadline the withdrawn target must not start to run calls.
const (
	duration           = 9 * time.Second
	withdrawAt         = 2 * time.Second
	crashAt            = 3500 * time.Millisecond
	stopAt             = 5 * time.Second
	withdrawalDeadline = withdrawAt + 3*time.Second
)

const (
	withdrawnTarget = "summaries-4"
	crashedTarget   = "reports-1"
	stoppedTarget   = "bookings-2"
)

func scenario() *setup.Scenario {
	s := &setup.Scenario{Name: "demo", Layout: setup.Perizia(), Seed: 1}
	for i := range s.Layout.Services {
		// Service times are shorter than in the experiments because eleven daemons share one process.
		s.Layout.Services[i].Median = 10 * time.Millisecond
	}
	for _, l := range []struct {
		service string
		rate    float64
	}{{"summaries", 150}, {"bookings", 40}, {"reports", 40}} {
		s.Loads = append(s.Loads, setup.Load{
			Name: l.service, Service: l.service, Rate: l.rate, Until: duration, Resends: 3, Deadline: 2 * time.Second,
		})
	}
	s.Faults = []setup.Fault{
		{At: withdrawAt, Kind: setup.WithdrawTarget, Target: withdrawnTarget},
		{At: crashAt, Kind: setup.CrashTarget, Target: crashedTarget},
		{At: stopAt, Kind: setup.StopDaemon, Target: stoppedTarget},
	}
	return s
}

// Run runs the demo and prints its results. It returns an error when a guarantee was violated.
func Run(out io.Writer) error {
	if err := discardLogs(); err != nil {
		return err
	}
	s := scenario()
	fmt.Fprintf(out, "Starting %d targets with a daemon each in %d data centres.\n", len(s.Layout.Placements()), len(s.Layout.DataCentres))
	cluster, err := deploy.Start(deploy.Config{Layout: s.Layout, Seed: s.Seed, Daemons: deploy.EmbeddedDaemons{}})
	if err != nil {
		return err
	}
	defer cluster.Close()
	fmt.Fprintf(out, "Sending calls for %v. At %v a release note withdraws %s, at %v %s crashes, at %v the daemon beside %s is stopped gracefully.\n",
		duration, withdrawAt, withdrawnTarget, crashAt, crashedTarget, stopAt, stoppedTarget)
	runsAtDeadline := make(chan int, 1)
	timer := time.AfterFunc(withdrawalDeadline, func() { runsAtDeadline <- cluster.Tally.Counts().Targets[withdrawnTarget] })
	defer timer.Stop()
	result := load.Run(s, setup.Daemon, cluster, out)
	runsAfterWithdrawal := cluster.Tally.Counts().Targets[withdrawnTarget] - <-runsAtDeadline
	r := report.NewRun(s, result)
	if err := printTable(out, r); err != nil {
		return err
	}
	return checkGuarantees(out, r, runsAfterWithdrawal)
}

// discardLogs discards the logs of the daemons, which would clutter the output.
func discardLogs() error {
	flags := flag.NewFlagSet("log", flag.ContinueOnError)
	klog.InitFlags(flags)
	for _, f := range []struct{ name, value string }{{"logtostderr", "false"}, {"stderrthreshold", "FATAL"}} {
		if err := flags.Set(f.name, f.value); err != nil {
			return errors.Annotatef(err, "set log flag %s", f.name)
		}
	}
	klog.SetOutput(io.Discard)
	return nil
}

func printTable(out io.Writer, r report.Run) error {
	fmt.Fprintln(out)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "Service\tCalls\tAnswered\tRefused\tUnknown\tSends\tp50 ms\tp99 ms\tSecond runs\t")
	for _, l := range r.Loads {
		second := "-"
		if l.Service == "bookings" {
			second = fmt.Sprint(r.SecondRuns)
		}
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%s\t\n", l.Service, l.Calls, l.Answered,
			report.Total(l.Refused), report.Total(l.Unknown), l.Sends, l.P50, l.P99, second)
	}
	if err := w.Flush(); err != nil {
		return errors.Trace(err)
	}
	report.PrintReasons(out, r)
	return nil
}

// checkGuarantees prints whether each guarantee was kept and returns an error when one was violated.
func checkGuarantees(out io.Writer, r report.Run, runsAfterWithdrawal int) error {
	unknownBookings, unfinished := 0, 0
	for _, l := range r.Loads {
		if l.Service == "bookings" {
			unknownBookings = report.Total(l.Unknown)
		}
		unfinished += l.Calls - l.Answered - report.Total(l.Refused) - report.Total(l.Unknown)
	}
	fmt.Fprintln(out)
	broken := 0
	for _, g := range []struct {
		guarantee  string
		violations int
	}{
		{"No booking ran twice (second runs)", r.SecondRuns},
		{"No booking ran that was reported as not run (false refusals)", r.FalseRefusals},
		{"No caller got the answer to another call (foreign answers)", r.Foreign},
		{"Each call ended as answered, refused or unknown (others)", unfinished},
		{fmt.Sprintf("%s ran nothing from 3 s after its withdrawal (runs)", withdrawnTarget), runsAfterWithdrawal},
		{"The planned stop and the crash of a target of another service left no booking unknown (unknown bookings)", unknownBookings},
	} {
		verdict := "kept  "
		if g.violations != 0 {
			verdict, broken = "BROKEN", broken+1
		}
		fmt.Fprintf(out, "%s  %s: %d\n", verdict, g.guarantee, g.violations)
	}
	if broken > 0 {
		return errors.Errorf("%d guarantees were violated", broken)
	}
	return nil
}
