// Package fleet measures what a release note costs and how fast it spreads over many daemons.
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

// maxDaemons is the most processes that one machine is to run.
const maxDaemons = 300

// A Config describes a measurement.
type Config struct {
	Program     string
	DataCentres int
	// PerService is the number of targets in a service. The design scale has 1,800 in 220 services.
	PerService int
	Changes    int
	Idle       time.Duration
	Gap        time.Duration
}

// Check checks the Config and the numbers of daemons.
func (f Config) Check(daemons []int) error {
	for _, n := range daemons {
		if n < 1 || n > maxDaemons {
			return errors.NotValidf("--daemons %d (want 1 to %d)", n, maxDaemons)
		}
	}
	if f.DataCentres < 1 || f.PerService < 1 || f.Changes < 1 || f.Idle <= 0 || f.Gap <= 0 {
		return errors.NotValidf("--data-centres, --per-service, --changes, --idle or --gap that is not positive")
	}
	return nil
}

// A Row is what was measured with a number of daemons. Figures per daemon are means.
type Row struct {
	Daemons int
	// Start is the time from the start of the processes until the first release is in force at all.
	Start time.Duration
	// Median and Last are the median and the slowest change until the last daemon has it in force.
	Median time.Duration
	Last   time.Duration
	// PlatformIdle is per second and in all; PlatformChange is per change and in all.
	PlatformIdle   float64
	PlatformChange float64
	// Shares of a core without a change, and processor time per change, for one daemon.
	IdleCPU   float64
	ChangeCPU time.Duration
	// Control bytes sent and received by one daemon, per second and per change.
	IdleBytes   float64
	ChangeBytes float64
	// Resident memory of one daemon: mean and largest.
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

// A reading is what all daemons have used up to a moment.
type reading struct {
	cpu      time.Duration
	bytes    float64
	platform int
}

type measurement struct {
	config Config
	stage  *stage.Stage
	pids   []int
}

// Measure starts daemons as processes, measures, and ends them.
func Measure(f Config, daemons int, out io.Writer) (Row, error) {
	fmt.Fprintf(out, "%d daemons: start\n", daemons)
	began := time.Now()
	m, err := start(f, daemons)
	if err != nil {
		return Row{}, err
	}
	defer m.stage.Close()
	row := Row{Daemons: daemons, Start: time.Since(began)}
	for _, v := range m.stage.Members {
		pid, ok := v.PID()
		if !ok {
			return Row{}, errors.Errorf("the daemon on %s does not run", v.VM)
		}
		m.pids = append(m.pids, pid)
	}
	fmt.Fprintf(out, "%d daemons: idle for %v\n", daemons, f.Idle)
	// The work of the start ends before the idle measurement begins.
	time.Sleep(f.Gap)
	idle, err := m.idle(&row)
	if err != nil {
		return Row{}, err
	}
	if err := m.changes(&row, idle, out); err != nil {
		return Row{}, err
	}
	return row, m.resident(&row)
}

// start starts daemons as processes, with the first release in force.
func start(f Config, daemons int) (*measurement, error) {
	st, err := stage.Start(stage.Config{
		Layout: f.layout(daemons), Seed: 1, Daemons: stage.Processes{Path: f.Program}, NoTargets: true, NoRelays: true,
	})
	if err != nil {
		return nil, err
	}
	return &measurement{config: f, stage: st}, nil
}

// idle measures without changes and returns what all daemons use in a second.
func (m *measurement) idle(row *Row) (reading, error) {
	before, err := m.read()
	if err != nil {
		return reading{}, err
	}
	start := time.Now()
	time.Sleep(m.config.Idle)
	after, err := m.read()
	if err != nil {
		return reading{}, err
	}
	seconds, n := time.Since(start).Seconds(), float64(row.Daemons)
	row.IdleCPU = (after.cpu - before.cpu).Seconds() / seconds / n
	row.IdleBytes = (after.bytes - before.bytes) / seconds / n
	row.PlatformIdle = float64(after.platform-before.platform) / seconds
	return reading{cpu: time.Duration(row.IdleCPU * n * float64(time.Second)), bytes: row.IdleBytes * n}, nil
}

func (m *measurement) changes(row *Row, idle reading, out io.Writer) error {
	var spread []time.Duration
	before, err := m.read()
	if err != nil {
		return err
	}
	start := time.Now()
	published := make([]time.Time, m.config.Changes)
	var cpu time.Duration
	for i := range published {
		from, err := m.cpu()
		if err != nil {
			return err
		}
		windowStart := time.Now()
		published[i] = time.Now()
		target := m.stage.Members[0]
		serial := m.stage.Publish(target.Change(10 + i))
		// Nothing is asked of the daemons in the window, so that asking costs them nothing.
		time.Sleep(m.config.Gap)
		to, err := m.cpu()
		if err != nil {
			return err
		}
		cpu += to - from - time.Duration(idle.cpu.Seconds()*float64(time.Since(windowStart)))
		last, err := m.inForce(serial, published[i])
		if err != nil {
			return err
		}
		spread = append(spread, last)
		fmt.Fprintf(out, "%d daemons: change %d in force at the last after %v\n", row.Daemons, i+1, last)
	}
	seconds := time.Since(start).Seconds()
	after, err := m.read()
	if err != nil {
		return err
	}
	changes, n := float64(m.config.Changes), float64(row.Daemons)
	row.Median, row.Last = middle(spread), largest(spread)
	row.ChangeCPU = time.Duration(float64(cpu) / changes / n)
	row.ChangeBytes = (after.bytes - before.bytes - idle.bytes*seconds) / changes / n
	row.PlatformChange = (float64(after.platform-before.platform) - row.PlatformIdle*seconds) / changes
	return nil
}

// inForceTimeout bounds the wait for a change beyond the window of its measurement.
const inForceTimeout = 30 * time.Second

// inForce waits until a release is in force at all daemons and returns when the last one had it.
func (m *measurement) inForce(serial ident.Serial, published time.Time) (time.Duration, error) {
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

func (m *measurement) cpu() (time.Duration, error) {
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

func (m *measurement) resident(row *Row) error {
	for _, pid := range m.pids {
		u, err := proc.ReadUsage(pid)
		if err != nil {
			return err
		}
		row.Resident += u.Resident / int64(row.Daemons)
		row.MaxResident = max(row.MaxResident, u.Resident)
	}
	return nil
}

// readersAtOnce bounds the requests for metrics at one time.
const readersAtOnce = 16

func (m *measurement) read() (reading, error) {
	client := &http.Client{Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	bytes := make([]float64, len(m.stage.Members))
	tokens := make(chan struct{}, readersAtOnce)
	var readers sync.WaitGroup
	for i, v := range m.stage.Members {
		readers.Go(func() {
			tokens <- struct{}{}
			defer func() { <-tokens }()
			bytes[i] = load.Metrics(client, v.Settings.Admin)["jacinthcross_control_bytes_total"]
		})
	}
	readers.Wait()
	r := reading{platform: m.stage.Platform.Calls()}
	for _, b := range bytes {
		r.bytes += b
	}
	var err error
	r.cpu, err = m.cpu()
	return r, err
}
