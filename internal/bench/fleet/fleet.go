// Package fleet measures the cost of publishing a release to many daemons and the time until it is in force at all of
// them. A release is in force at a daemon once the daemon routes calls by it.
package fleet

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/bench/deploy"
	"jacinthcross/internal/bench/load"
	"jacinthcross/internal/bench/proc"
	"jacinthcross/internal/bench/setup"
)

// maxDaemons is the maximum number of daemon processes on one machine.
const maxDaemons = 300

// A Config configures a measurement.
type Config struct {
	// DaemonPath is the path of the daemon executable.
	DaemonPath  string
	DataCentres int
	// PerService is the number of targets in a service. The system is designed for 1,800 targets in
	// 220 services.
	PerService int
	// Changes is the number of releases to publish.
	Changes int
	// IdleDuration is the length of the measurement without changes.
	IdleDuration time.Duration
	// ChangeInterval is the time between two changes.
	ChangeInterval time.Duration
}

// Check validates the Config and the numbers of daemons.
func (c Config) Check(daemons []int) error {
	for _, n := range daemons {
		if n < 1 || n > maxDaemons {
			return errors.NotValidf("--daemons %d (want 1 to %d)", n, maxDaemons)
		}
	}
	if c.DataCentres < 1 || c.PerService < 1 || c.Changes < 1 || c.IdleDuration <= 0 || c.ChangeInterval <= 0 {
		return errors.NotValidf("non-positive --data-centres, --per-service, --changes, --idle or --gap")
	}
	return nil
}

// A Result is the result for one number of daemons. Values per daemon are means.
type Result struct {
	Daemons int
	// Start is the time from the start of the processes until the first release is in force at all of them.
	Start time.Duration
	// Median and Slowest are the median and the maximum, over the changes, of the time from the publication of a change
	// until it is in force at all daemons.
	Median  time.Duration
	Slowest time.Duration
	// ConfigCallsIdle is the number of calls of all daemons to the configuration service per second without changes,
	// ConfigCallsPerChange the number of additional calls per change.
	ConfigCallsIdle      float64
	ConfigCallsPerChange float64
	// IdleCPU is the share of a core that a daemon uses without changes, ChangeCPU its additional CPU time per change.
	IdleCPU   float64
	ChangeCPU time.Duration
	// IdleBytes is the number of control bytes that a daemon sends and receives per second without changes, ChangeBytes
	// the number of additional bytes per change.
	IdleBytes   float64
	ChangeBytes float64
	// Resident and MaxResident are the mean and the largest resident memory of a daemon, in bytes.
	Resident    int64
	MaxResident int64
}

func (c Config) layout(daemons int) setup.Layout {
	l := setup.Layout{Name: "Fleet"}
	for i := range c.DataCentres {
		l.DataCentres = append(l.DataCentres, ident.DataCentre(fmt.Sprintf("dc-%d", i)))
	}
	for i := 0; daemons > 0; i++ {
		n := min(daemons, c.PerService)
		l.Services = append(l.Services, setup.Service{Name: fmt.Sprintf("service-%d", i), Targets: n, Slots: 10, Rank: ident.Normal})
		daemons -= n
	}
	return l
}

// totals is the usage of all daemons: CPU time, control bytes and calls to the configuration service. It is cumulative,
// except that measureIdle returns CPU time and control bytes per second, without the calls.
type totals struct {
	cpu         time.Duration
	bytes       float64
	configCalls int
}

type measurement struct {
	config  Config
	cluster *deploy.Cluster
	pids    []int
}

// Measure starts daemons as processes, takes all measurements of a Result and stops the daemons.
func Measure(config Config, daemons int, out io.Writer) (Result, error) {
	fmt.Fprintf(out, "%d daemons: starting\n", daemons)
	started := time.Now()
	m, err := newMeasurement(config, daemons)
	if err != nil {
		return Result{}, err
	}
	defer m.cluster.Close()
	result := Result{Daemons: daemons, Start: time.Since(started)}
	for _, v := range m.cluster.Members {
		pid, ok := v.PID()
		if !ok {
			return Result{}, errors.Errorf("daemon on %s is not running", v.VM)
		}
		m.pids = append(m.pids, pid)
	}
	fmt.Fprintf(out, "%d daemons: idle for %v\n", daemons, config.IdleDuration)
	// Start-up work would distort the idle measurement, so wait until it is over.
	time.Sleep(config.ChangeInterval)
	idle, err := m.measureIdle(&result)
	if err != nil {
		return Result{}, err
	}
	if err := m.measureChanges(&result, idle, out); err != nil {
		return Result{}, err
	}
	return result, m.measureMemory(&result)
}

// newMeasurement starts daemons as processes and waits until the first release is in force at all of them.
func newMeasurement(config Config, daemons int) (*measurement, error) {
	cluster, err := deploy.Start(deploy.Config{
		Layout: config.layout(daemons), Seed: 1, Daemons: deploy.DaemonProcesses{Path: config.DaemonPath}, NoTargets: true, NoProxies: true,
	})
	if err != nil {
		return nil, err
	}
	return &measurement{config: config, cluster: cluster}, nil
}

// measureIdle measures without changes and returns the usage of all daemons per second.
func (m *measurement) measureIdle(result *Result) (totals, error) {
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
	seconds, n := time.Since(start).Seconds(), float64(result.Daemons)
	result.IdleCPU = (after.cpu - before.cpu).Seconds() / seconds / n
	result.IdleBytes = (after.bytes - before.bytes) / seconds / n
	result.ConfigCallsIdle = float64(after.configCalls-before.configCalls) / seconds
	return totals{cpu: time.Duration(result.IdleCPU * n * float64(time.Second)), bytes: result.IdleBytes * n}, nil
}

func (m *measurement) measureChanges(result *Result, idle totals, out io.Writer) error {
	var durations []time.Duration
	before, err := m.readTotals()
	if err != nil {
		return err
	}
	start := time.Now()
	published := make([]time.Time, m.config.Changes)
	var cpu time.Duration
	for i := range published {
		cpuBefore, err := m.totalCPU()
		if err != nil {
			return err
		}
		windowStart := time.Now()
		published[i] = time.Now()
		target := m.cluster.Members[0]
		serial := m.cluster.Publish(target.ChangeTargetEntry(10 + i))
		// The daemons are not queried within the window, so that it contains no cost of queries.
		time.Sleep(m.config.ChangeInterval)
		cpuAfter, err := m.totalCPU()
		if err != nil {
			return err
		}
		cpu += cpuAfter - cpuBefore - time.Duration(idle.cpu.Seconds()*float64(time.Since(windowStart)))
		slowest, err := m.waitInForce(serial, published[i])
		if err != nil {
			return err
		}
		durations = append(durations, slowest)
		fmt.Fprintf(out, "%d daemons: change %d in force at all daemons after %v\n", result.Daemons, i+1, slowest)
	}
	seconds := time.Since(start).Seconds()
	after, err := m.readTotals()
	if err != nil {
		return err
	}
	changes, n := float64(m.config.Changes), float64(result.Daemons)
	result.Median, result.Slowest = median(durations), largest(durations)
	result.ChangeCPU = time.Duration(float64(cpu) / changes / n)
	result.ChangeBytes = (after.bytes - before.bytes - idle.bytes*seconds) / changes / n
	result.ConfigCallsPerChange = (float64(after.configCalls-before.configCalls) - result.ConfigCallsIdle*seconds) / changes
	return nil
}

// inForceTimeout limits the wait, after the measurement window of a release, until it is in force at all daemons.
const inForceTimeout = 30 * time.Second

// waitInForce waits until a release is in force at all daemons and returns the time from its publication to that
// moment.
func (m *measurement) waitInForce(serial ident.Serial, published time.Time) (time.Duration, error) {
	if err := m.cluster.WaitInForce(serial, inForceTimeout); err != nil {
		return 0, err
	}
	var slowest time.Duration
	for _, v := range m.cluster.Members {
		s, err := m.cluster.Status(v)
		if err != nil {
			return 0, err
		}
		slowest = max(slowest, s.Release.Since.Sub(published))
	}
	return slowest, nil
}

func (m *measurement) totalCPU() (time.Duration, error) {
	var sum time.Duration
	for _, pid := range m.pids {
		u, err := proc.ReadUsage(pid)
		if err != nil {
			return 0, errors.Annotate(err, "a daemon exited during the measurement")
		}
		sum += u.CPU
	}
	return sum, nil
}

func (m *measurement) measureMemory(result *Result) error {
	for _, pid := range m.pids {
		u, err := proc.ReadUsage(pid)
		if err != nil {
			return err
		}
		result.Resident += u.ResidentBytes / int64(result.Daemons)
		result.MaxResident = max(result.MaxResident, u.ResidentBytes)
	}
	return nil
}

// maxConcurrentReads is the maximum number of concurrent requests for metrics.
const maxConcurrentReads = 16

func (m *measurement) readTotals() (totals, error) {
	client := &http.Client{Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	bytes := make([]float64, len(m.cluster.Members))
	semaphore := make(chan struct{}, maxConcurrentReads)
	var readers sync.WaitGroup
	for i, v := range m.cluster.Members {
		readers.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			bytes[i] = load.ReadCounters(client, v.Settings.Admin)["jacinthcross_control_bytes_total"]
		})
	}
	readers.Wait()
	r := totals{configCalls: m.cluster.ConfigService.Reads()}
	for _, b := range bytes {
		r.bytes += b
	}
	var err error
	r.cpu, err = m.totalCPU()
	return r, err
}
