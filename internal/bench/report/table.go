package report

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"

	"github.com/juju/errors"
)

// Print writes the tables of a Result.
func Print(out io.Writer, r *Result) error {
	fmt.Fprintf(out, "\nScenario %s, deployment %s, seed %d\n\n", r.Scenario, r.Deployment, r.Seed)
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "Balancer\tLoad\tCalls\tAnswered\tFailed\tRefused\tUnknown\tGood/s\tp50 ms\tp99 ms\tp99.9 ms\t")
	for _, run := range r.Runs {
		for _, l := range run.Loads {
			fmt.Fprintf(w, "%s\t%s\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t%.1f\t\n", run.Balancer, l.Name,
				l.Calls, l.Answered, l.Failed, Total(l.Refused), Total(l.Unknown), l.Goodput, l.P50, l.P99, l.P999)
		}
	}
	if err := w.Flush(); err != nil {
		return errors.Trace(err)
	}
	fmt.Fprintln(out)
	// Runs are runs of calls by targets, and platform calls are calls to the configuration service.
	fmt.Fprintln(w, "Balancer\tSent\tLate\tRuns\tAmplification\tProbes/call\tControl B/call\tPlatform calls\tSecond runs\tFalse refusals\tForeign answers\t")
	for _, run := range r.Runs {
		fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%.3f\t%.4f\t%.1f\t%d\t%d\t%d\t%d\t\n", run.Balancer, run.Sent, run.Late, run.TargetRuns,
			run.Amplification, run.ProbesPerCall, run.ControlBytesPerCall, run.PlatformCalls, run.SecondRuns, run.FalseRefusals, run.Foreign)
	}
	if err := w.Flush(); err != nil {
		return errors.Trace(err)
	}
	for _, run := range r.Runs {
		PrintReasons(out, run)
	}
	return nil
}

// PrintReasons writes the numbers of refused calls, unknown outcomes and failures in the warm-up by reason.
func PrintReasons(out io.Writer, r Run) {
	for _, l := range r.Loads {
		for _, v := range []struct {
			name   string
			counts map[string]int
		}{{"refused", l.Refused}, {"unknown", l.Unknown}, {"not successful in the warm-up", l.Early}} {
			if len(v.counts) > 0 {
				fmt.Fprintf(out, "%s, %s, %s: %s\n", r.Balancer, l.Name, v.name, formatCounts(v.counts))
			}
		}
	}
}

func formatCounts(counts map[string]int) string {
	var parts []string
	for _, k := range slices.Sorted(maps.Keys(counts)) {
		parts = append(parts, fmt.Sprintf("%s %d", k, counts[k]))
	}
	return strings.Join(parts, ", ")
}

// Compare writes two results side by side, with the ratio of the second to the first.
func Compare(out io.Writer, a, b *Result) error {
	fmt.Fprintf(out, "A: %s, %s, seed %d, %s\nB: %s, %s, seed %d, %s\n", a.Scenario, a.Deployment, a.Seed, a.Started.Format("2006-01-02 15:04:05"),
		b.Scenario, b.Deployment, b.Seed, b.Started.Format("2006-01-02 15:04:05"))
	if a.Scenario != b.Scenario || a.Deployment != b.Deployment || a.Seed != b.Seed {
		fmt.Fprintln(out, "The results differ in scenario, deployment or seed.")
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(w, "Balancer\tLoad\tFigure\tA\tB\tB/A\t")
	pairs := 0
	for _, ra := range a.Runs {
		for _, rb := range b.Runs {
			if ra.Balancer == rb.Balancer {
				pairs += compareRuns(w, ra, rb)
			}
		}
	}
	if pairs == 0 {
		return errors.NotValidf("comparison of results without a common balancer and load:")
	}
	return errors.Trace(w.Flush())
}

func compareRuns(w io.Writer, a, b Run) int {
	pairs := 0
	for _, la := range a.Loads {
		for _, lb := range b.Loads {
			if la.Name != lb.Name {
				continue
			}
			pairs++
			for _, f := range []struct {
				name string
				a, b float64
			}{
				{"Good/s", la.Goodput, lb.Goodput},
				{"p50 ms", la.P50, lb.P50},
				{"p99 ms", la.P99, lb.P99},
				{"p99.9 ms", la.P999, lb.P999},
				{"refused", float64(Total(la.Refused)), float64(Total(lb.Refused))},
				{"unknown", float64(Total(la.Unknown)), float64(Total(lb.Unknown))},
			} {
				fmt.Fprintf(w, "%s\t%s\t%s\t%.1f\t%.1f\t%s\t\n", a.Balancer, la.Name, f.name, f.a, f.b, ratio(f.a, f.b))
			}
		}
	}
	for _, f := range []struct {
		name string
		a, b float64
	}{
		{"amplification", a.Amplification, b.Amplification},
		{"probes/call", a.ProbesPerCall, b.ProbesPerCall},
		{"control B/call", a.ControlBytesPerCall, b.ControlBytesPerCall},
		{"second runs", float64(a.SecondRuns), float64(b.SecondRuns)},
	} {
		fmt.Fprintf(w, "%s\t\t%s\t%.3f\t%.3f\t%s\t\n", a.Balancer, f.name, f.a, f.b, ratio(f.a, f.b))
	}
	return pairs
}

func ratio(a, b float64) string {
	if a == 0 {
		return "-"
	}
	return fmt.Sprintf("%.3f", b/a)
}

func formatNumber(v float64) string { return strconv.FormatFloat(v, 'g', -1, 64) }
