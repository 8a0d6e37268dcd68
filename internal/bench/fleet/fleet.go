// Package fleet measures the cost of publishing a release and the time until many daemons have it in force.
package fleet

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/bench/load"
	"jacinthcross/internal/bench/proc"
	"jacinthcross/internal/bench/setup"
	"jacinthcross/internal/bench/stage"
)

// maxDaemons bounds the number of processes on one machine.
const maxDaemons = 300

// A Config configures a measurement.
type Config struct {
	// Program is the path of the daemon.
	DaemonPath  string
	DataCentres int
	// PerService is the number of targets in a service. The design scale is 1,800 targets in 220 services.
	PerService int
	// Changes is the number of releases to publish.
	Changes int
	// Idle is the length of the measurement without changes.
	IdleDuration time.Duration
	// Gap is the time between two changes.
	ChangeInterval time.Duration
}

// Check validates the Config and the numbers of daemons.
func (f Config) Check(daemons []int) error {
	for _, n := range daemons {
		if n < 1 || n > maxDaemons {
			return errors.NotValidf("--daemons %d (want 1 to %d)", n, maxDaemons)
		}
	}
	if f.DataCentres < 1 || f.PerService < 1 || f.Changes < 1 || f.IdleDuration <= 0 || f.ChangeInterval <= 0 {
		return errors.NotValidf("--data-centres, --per-service, --changes, --idle or --gap that is not positive")
	}
	return nil
}

// A Result is the result for one number of daemons. Values per daemon are means.
type Result struct {
	Daemons int
	// Start is the time from the start of the processes until all have the first release in force.
	Start time.Duration
	// Median and Last are the median and the maximum over the changes of the time until all daemons have one in force.
	Median  time.Duration
	Slowest time.Duration
	// PlatformIdle is the platform calls of all daemons per second without changes, PlatformChange those per change.
	PlatformIdle   float64
	PlatformChange float64
	// IdleCPU is the share of a core without changes, ChangeCPU the CPU time per change, both per daemon.
	IdleCPU   float64
	ChangeCPU time.Duration
	// IdleBytes and ChangeBytes are control bytes sent and received per daemon, per idle second and per change.
	IdleBytes   float64
	ChangeBytes float64
	// Resident and MaxResident are the mean and the largest resident memory of a daemon, in bytes.
	Resident    int64
	MaxResident int64
}

func (f Config) layout(daemons int) setup.Layout {
	l := setup.Layout{Name: "Fleet"}
	for i := range f.DataCentres {
		l.DataCentres = append(l.DataCentres, ident.DataCentre(fmt.Sprintf("dc-%d", i)))
	}
	for i := 0; daemons > 0; i++ {
		n := min(daemons, f.PerService)
		l.Services = append(l.Services, setup.Service{Name: fmt.Sprintf("service-%d", i), Targets: n, Slots: 10, Rank: ident.Normal})
		daemons -= n
	}
	return l
}

// totals is the cumulative usage of all daemons: CPU time, control bytes and platform calls.
type totals struct {
	cpu      time.Duration
	bytes    float64
	platform int
}

type measurement struct {
	config Config
	stage  *stage.Stage
	pids   []int
}

// Measure starts daemons as processes, takes all measurements of a Row and stops the daemons.
func Measure(f Config, daemons int, out io.Writer) (Result, error) {
	fmt.Fprintf(out, "%d daemons: starting\n", daemons)
	started := time.Now()
	m, err := startFleet(f, daemons)
	if err != nil {
		return Result{}, err
	}
	defer m.stage.Close()
	row := Result{Daemons: daemons, Start: time.Since(started)}
	for _, v := range m.stage.Members {
		pid, ok := v.PID()
		if !ok {
			return Result{}, errors.Errorf("daemon on %s is not running", v.VM)
		}
		m.pids = append(m.pids, pid)
	}
	fmt.Fprintf(out, "%d daemons: idle for %v\n", daemons, f.IdleDuration)
	// Waits until the start-up work is over, which would distort the idle measurement.
	time.Sleep(f.ChangeInterval)
	idle, err := m.measureIdle(&row)
	if err != nil {
		return Result{}, err
	}
	if err := m.measureChanges(&row, idle, out); err != nil {
		return Result{}, err
	}
	return row, m.measureMemory(&row)
}

// startFleet starts daemons as processes, with the first release in force.
func startFleet(f Config, daemons int) (*measurement, error) {
	st, err := stage.Start(stage.Config{
		Layout: f.layout(daemons), Seed: 1, Daemons: stage.DaemonProcesses{Path: f.DaemonPath}, NoTargets: true, NoRelays: true,
	})
	if err != nil {
		return nil, err
	}
	return &measurement{config: f, stage: st}, nil
}

// measureIdle measures without changes and returns the usage of all daemons per second.
func (m *measurement) measureIdle(row *Result) (totals, error) {
	before, err := m.readTotals()
	if err != nil {
		return totals{}, err
	}
	start := time.Now()
	time.Sleep(m.config.IdleDuration)
	after, err := m.readTotals()
	if err != nil {
		return totals{}, err
	}
	seconds, n := time.Since(start).Seconds(), float64(row.Daemons)
	row.IdleCPU = (after.cpu - before.cpu).Seconds() / seconds / n
	row.IdleBytes = (after.bytes - before.bytes) / seconds / n
	row.PlatformIdle = float64(after.platform-before.platform) / seconds
	return totals{cpu: time.Duration(row.IdleCPU * n * float64(time.Second)), bytes: row.IdleBytes * n}, nil
}

func (m *measurement) measureChanges(row *Result, idle totals, out io.Writer) error {
	var delays []time.Duration
	before, err := m.readTotals()
	if err != nil {
		return err
	}
	start := time.Now()
	published := make([]time.Time, m.config.Changes)
	var cpu time.Duration
	for i := range published {
		from, err := m.totalCPU()
		if err != nil {
			return err
		}
		windowStart := time.Now()
		published[i] = time.Now()
		target := m.stage.Members[0]
		serial := m.stage.Publish(target.ChangeTargetEntry(10 + i))
		// The daemons are not queried within the window, so that it contains no cost of queries.
		time.Sleep(m.config.ChangeInterval)
		to, err := m.totalCPU()
		if err != nil {
			return err
		}
		cpu += to - from - time.Duration(idle.cpu.Seconds()*float64(time.Since(windowStart)))
		last, err := m.waitInForce(serial, published[i])
		if err != nil {
			return err
		}
		delays = append(delays, last)
		fmt.Fprintf(out, "%d daemons: change %d in force at all daemons after %v\n", row.Daemons, i+1, last)
	}
	seconds := time.Since(start).Seconds()
	after, err := m.readTotals()
	if err != nil {
		return err
	}
	changes, n := float64(m.config.Changes), float64(row.Daemons)
	row.Median, row.Slowest = median(delays), largest(delays)
	row.ChangeCPU = time.Duration(float64(cpu) / changes / n)
	row.ChangeBytes = (after.bytes - before.bytes - idle.bytes*seconds) / changes / n
	row.PlatformChange = (float64(after.platform-before.platform) - row.PlatformIdle*seconds) / changes
	return nil
}

// inForceTimeout bounds the wait for a release after its measurement window.
const inForceTimeout = 30 * time.Second

// waitInForce waits until all daemons have a release in force and returns the time that the last one took.
func (m *measurement) waitInForce(serial ident.Serial, published time.Time) (time.Duration, error) {
	if err := m.stage.WaitInForce(serial, inForceTimeout); err != nil {
		return 0, err
	}
	var last time.Duration
	for _, v := range m.stage.Members {
		s, err := m.stage.Status(v)
		if err != nil {
			return 0, err
		}
		last = max(last, s.Release.Since.Sub(published))
	}
	return last, nil
}

func (m *measurement) totalCPU() (time.Duration, error) {
	var sum time.Duration
	for _, pid := range m.pids {
		u, err := proc.ReadUsage(pid)
		if err != nil {
			return 0, errors.Annotate(err, "a daemon ended during the measurement")
		}
		sum += u.CPU
	}
	return sum, nil
}

func (m *measurement) measureMemory(row *Result) error {
	for _, pid := range m.pids {
		u, err := proc.ReadUsage(pid)
		if err != nil {
			return err
		}
		row.Resident += u.ResidentBytes / int64(row.Daemons)
		row.MaxResident = max(row.MaxResident, u.ResidentBytes)
	}
	return nil
}

// maxConcurrentReads bounds the concurrent requests for metrics.
const maxConcurrentReads = 16

func (m *measurement) readTotals() (totals, error) {
	client := &http.Client{Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	bytes := make([]float64, len(m.stage.Members))
	semaphore := make(chan struct{}, maxConcurrentReads)
	var readers sync.WaitGroup
	for i, v := range m.stage.Members {
		readers.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			bytes[i] = load.ReadCounters(client, v.Settings.Admin)["jacinthcross_control_bytes_total"]
		})
	}
	readers.Wait()
	r := totals{platform: m.stage.Platform.Calls()}
	for _, b := range bytes {
		r.bytes += b
	}
	var err error
	r.cpu, err = m.totalCPU()
	return r, err
}
