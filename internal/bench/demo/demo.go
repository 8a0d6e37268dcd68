// Package demo shows in a few seconds what the system does: daemons, targets and the platform in one process.
package demo

import (
	"flag"
	"fmt"
	"io"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
	"k8s.io/klog/v2"

	"jacinthcross/internal/bench/load"
	"jacinthcross/internal/bench/report"
	"jacinthcross/internal/bench/setup"
	"jacinthcross/internal/bench/stage"
)

// Times of the demo. withdrawn is when a withdrawn target must have no new work.
const (
	duration  = 9 * time.Second
	withdraw  = 2 * time.Second
	crash     = 3500 * time.Millisecond
	stop      = 5 * time.Second
	withdrawn = withdraw + 3*time.Second
)

const (
	withdrawnTarget = "summaries-4"
	crashedTarget   = "reports-1"
	stoppedTarget   = "bookings-2"
)

func scenario() *setup.Scenario {
	s := &setup.Scenario{Name: "demo", Layout: setup.Perizia(), Seed: 1}
	for i := range s.Layout.Services {
		// Shorter service times than in the experiments leave room for eleven daemons in one process.
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
		{At: withdraw, Kind: setup.WithdrawTarget, Target: withdrawnTarget},
		{At: crash, Kind: setup.CrashTarget, Target: crashedTarget},
		{At: stop, Kind: setup.StopDaemon, Target: stoppedTarget},
	}
	return s
}

// Run runs the demo and prints a table of what happened. It fails when a promise was broken.
func Run(out io.Writer) error {
	if err := quiet(); err != nil {
		return err
	}
	s := scenario()
	fmt.Fprintf(out, "Starting %d targets with a daemon each in %d data centres.\n", len(s.Layout.Seats()), len(s.Layout.DataCentres))
	st, err := stage.Start(stage.Config{Layout: s.Layout, Seed: s.Seed, Daemons: stage.Embedded{}})
	if err != nil {
		return err
	}
	defer st.Close()
	fmt.Fprintf(out, "Sending calls for %v. At %v a release note withdraws %s, at %v %s crashes, at %v the daemon beside %s stops as planned.\n",
		duration, withdraw, withdrawnTarget, crash, crashedTarget, stop, stoppedTarget)
	runs := make(chan int, 1)
	timer := time.AfterFunc(withdrawn, func() { runs <- st.Tally.Counts().Targets[withdrawnTarget] })
	defer timer.Stop()
	o := load.Run(s, setup.Daemon, st, out)
	after := st.Tally.Counts().Targets[withdrawnTarget] - <-runs
	r := report.NewRun(s, o)
	if err := printTable(out, r); err != nil {
		return err
	}
	return verdict(out, r, after)
}

// quiet keeps the log of the daemons out of the table.
func quiet() error {
	flags := flag.NewFlagSet("log", flag.ContinueOnError)
	klog.InitFlags(flags)
	for _, f := range []struct{ name, value string }{{"logtostderr", "false"}, {"stderrthreshold", "FATAL"}} {
		if err := flags.Set(f.name, f.value); err != nil {
			return errors.Annotatef(err, "set %s of the log", f.name)
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

// verdict says which promises were kept and fails when one was broken.
func verdict(out io.Writer, r report.Run, afterWithdrawal int) error {
	bookings, unfinished := 0, 0
	for _, l := range r.Loads {
		if l.Service == "bookings" {
			bookings = report.Total(l.Unknown)
		}
		unfinished += l.Calls - l.Answered - report.Total(l.Refused) - report.Total(l.Unknown)
	}
	fmt.Fprintln(out)
	broken := 0
	for _, p := range []struct {
		promise string
		broken  int
	}{
		{"No booking ran twice (second runs)", r.SecondRuns},
		{"No booking ran that callers were told was not run (false refusals)", r.FalseRefusals},
		{"No caller got the answer to another call (foreign answers)", r.Foreign},
		{"Each call ended as answered, refused or unknown (others)", unfinished},
		{fmt.Sprintf("%s ran nothing from 3 s after its withdrawal (runs)", withdrawnTarget), afterWithdrawal},
		{"The planned stop and the crash of another service cut no booking (unknown bookings)", bookings},
	} {
		word := "kept  "
		if p.broken != 0 {
			word, broken = "BROKEN", broken+1
		}
		fmt.Fprintf(out, "%s  %s: %d\n", word, p.promise, p.broken)
	}
	if broken > 0 {
		return errors.Errorf("%d promises were broken", broken)
	}
	return nil
}
