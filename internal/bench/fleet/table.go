package fleet

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/juju/errors"
)

func median(list []time.Duration) time.Duration {
	s := slices.Clone(list)
	slices.Sort(s)
	return s[len(s)/2]
}

func largest(list []time.Duration) time.Duration { return slices.Max(list) }

// A valueRow is a row of the table that Print writes: a label and a function that returns its value for one result.
type valueRow struct {
	name  string
	value func(Result) float64
}

// valueRows returns the rows of the table that Print writes. "Platform calls" are calls to the configuration service.
func valueRows() []valueRow {
	millis := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	const megabyte = 1 << 20
	return []valueRow{
		{"Start ms", func(r Result) float64 { return millis(r.Start) }},
		{"In force ms, median", func(r Result) float64 { return millis(r.Median) }},
		{"In force ms, slowest", func(r Result) float64 { return millis(r.Slowest) }},
		{"Platform calls/s idle", func(r Result) float64 { return r.ConfigCallsIdle }},
		{"Platform calls/change", func(r Result) float64 { return r.ConfigCallsPerChange }},
		{"Idle CPU, % of a core/daemon", func(r Result) float64 { return 100 * r.IdleCPU }},
		{"CPU ms/change/daemon", func(r Result) float64 { return millis(r.ChangeCPU) }},
		{"Control B/s/daemon idle", func(r Result) float64 { return r.IdleBytes }},
		{"Control B/change/daemon", func(r Result) float64 { return r.ChangeBytes }},
		{"Resident MB, mean", func(r Result) float64 { return float64(r.Resident) / megabyte }},
		{"Resident MB, largest", func(r Result) float64 { return float64(r.MaxResident) / megabyte }},
	}
}

// Print writes one row per measured value, with its slope over the number of daemons.
func Print(out io.Writer, results []Result) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprint(w, "Daemons\t")
	for _, r := range results {
		fmt.Fprintf(w, "%d\t", r.Daemons)
	}
	fmt.Fprintln(w, "Slope per daemon\t")
	for _, f := range valueRows() {
		fmt.Fprintf(w, "%s\t", f.name)
		points := make([]point, len(results))
		for i, r := range results {
			points[i] = point{float64(r.Daemons), f.value(r)}
			fmt.Fprintf(w, "%.2f\t", points[i].y)
		}
		if s, ok := slope(points); ok {
			fmt.Fprintf(w, "%.4f\t\n", s)
		} else {
			fmt.Fprint(w, "-\t\n")
		}
	}
	return errors.Trace(w.Flush())
}

// A textRow is a label and a function that formats its value for one result.
type textRow[R any] struct {
	name  string
	value func(R) string
}

func printRows[R any](out io.Writer, results []R, rows []textRow[R]) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', tabwriter.AlignRight)
	for _, row := range rows {
		fmt.Fprintf(w, "%s\t", row.name)
		for _, r := range results {
			fmt.Fprintf(w, "%s\t", row.value(r))
		}
		fmt.Fprintln(w)
	}
	return errors.Trace(w.Flush())
}

// costRows returns the rows of a Cost. costOf selects the Cost of a result.
func costRows[R any](name string, costOf func(R) Cost) []textRow[R] {
	return []textRow[R]{
		{name + ": control B/s, mean", func(r R) string { return fmt.Sprintf("%.0f", costOf(r).Bytes) }},
		{name + ": control B/s, largest", func(r R) string { return fmt.Sprintf("%.0f", costOf(r).MaxBytes) }},
		{name + ": CPU, % of a core, mean", func(r R) string { return fmt.Sprintf("%.2f", 100*costOf(r).CPU) }},
		{name + ": CPU, % of a core, largest", func(r R) string { return fmt.Sprintf("%.2f", 100*costOf(r).MaxCPU) }},
	}
}

// PrintRestarts writes a table with a column for each restart.
func PrintRestarts(out io.Writer, results []Restart) error {
	rows := []textRow[Restart]{
		{"Configuration service", func(r Restart) string { return r.ConfigServiceMode }},
		{"Daemons", func(r Restart) string { return fmt.Sprint(r.Daemons) }},
		{"Restarted", func(r Restart) string { return fmt.Sprint(r.Restarted) }},
		{"Serving ms, median", func(r Restart) string { return formatMillis(r.ServingTimes, median) }},
		{"Serving ms, last", func(r Restart) string { return formatMillis(r.ServingTimes, largest) }},
		{"Served an older release", func(r Restart) string { return fmt.Sprint(r.ServedOlder) }},
		{"Not serving in the window", func(r Restart) string { return fmt.Sprint(r.NotServing) }},
		{"Platform calls/s, peak", func(r Restart) string { return fmt.Sprint(r.ConfigCallsPeak) }},
	}
	return printRows(out, results, append(rows, costRows("Others", func(r Restart) Cost { return r.Others })...))
}

// PrintPartitions writes a table with a column for each partition.
func PrintPartitions(out io.Writer, results []Partition) error {
	rows := []textRow[Partition]{
		{"Daemons", func(r Partition) string { return fmt.Sprint(r.Daemons) }},
		{"Cut off", func(r Partition) string { return fmt.Sprint(r.Isolated) }},
		{"Length s", func(r Partition) string { return fmt.Sprint(r.Length.Seconds()) }},
		{"Notes during the cut", func(r Partition) string { return fmt.Sprint(r.Changes) }},
		{"Got a note during the cut", func(r Partition) string { return fmt.Sprint(r.UpdatedDuring) }},
		{"Repaired ms, median", func(r Partition) string { return formatMillis(r.RecoveryTimes, median) }},
		{"Repaired ms, last", func(r Partition) string { return formatMillis(r.RecoveryTimes, largest) }},
		{"Not repaired in the window", func(r Partition) string { return fmt.Sprint(r.NotRecovered) }},
		{"Platform calls/s, peak", func(r Partition) string { return fmt.Sprint(r.ConfigCallsPeak) }},
	}
	for _, phase := range []struct {
		name string
		of   func(Partition) Cost
	}{
		{"Before", func(r Partition) Cost { return r.Before }},
		{"During", func(r Partition) Cost { return r.During }},
		{"After", func(r Partition) Cost { return r.After }},
	} {
		rows = append(rows, costRows(phase.name, phase.of)...)
	}
	return printRows(out, results, rows)
}

// formatMillis formats a statistic of times in milliseconds, or a dash when there are none.
func formatMillis(list []time.Duration, statistic func([]time.Duration) time.Duration) string {
	if len(list) == 0 {
		return "-"
	}
	return fmt.Sprint(statistic(list).Milliseconds())
}

type point struct{ x, y float64 }

// slope returns the slope of a least-squares fit. It reports false when all points have the same x.
func slope(points []point) (float64, bool) {
	var mx, my float64
	for _, p := range points {
		mx, my = mx+p.x/float64(len(points)), my+p.y/float64(len(points))
	}
	var xy, xx float64
	for _, p := range points {
		xy, xx = xy+(p.x-mx)*(p.y-my), xx+(p.x-mx)*(p.x-mx)
	}
	if xx == 0 {
		return 0, false
	}
	return xy / xx, true
}
