package fleet

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/bench/cfgsvc"
	"jacinthcross/internal/bench/deploy"
	"jacinthcross/internal/bench/load"
	"jacinthcross/internal/bench/proc"
)

const (
	// downtime is how long the daemons of a data centre are down: long enough for the other daemons to detect it.
	downtime = 2 * time.Second
	// observationWindow is how long the fleet is observed after the daemons start or the partition ends.
	observationWindow = 10 * time.Second
	// statusPollInterval is the time between two status requests to a daemon.
	statusPollInterval = 50 * time.Millisecond
	// callSampleInterval is the time between two samples of the number of calls to the configuration service.
	callSampleInterval = 100 * time.Millisecond
	// minDataCentres is the smallest number of data centres with which some daemons are not restarted, or not
	// isolated, and so have the newest release.
	minDataCentres = 2
)

// A Restart is the result of killing all daemons of a data centre and starting them at once, without state.
type Restart struct {
	// ConfigServiceMode is the name of the mode of the configuration service during the restart.
	ConfigServiceMode string
	Daemons           int
	Restarted         int
	// ServingTimes holds, for each restarted daemon, the time from its start until it serves with the newest release.
	ServingTimes []time.Duration
	// ServedOlder is the number of daemons that served with an older release at any time.
	ServedOlder int
	// NotServing is the number of daemons that did not serve with the newest release within the observation window.
	NotServing int
	// ConfigCallsPeak is the largest number of calls of the whole fleet to the configuration service within a second.
	ConfigCallsPeak int
	// Others is the cost of the daemons in the other data centres within the observation window.
	Others Cost
}

// A Cost is the resource usage of daemons within a window: the mean and the maximum over the daemons of the control
// bytes per second and of the share of a core.
type Cost struct {
	Bytes    float64
	MaxBytes float64
	CPU      float64
	MaxCPU   float64
}

// configServiceModes lists the modes of the configuration service in which a restart is measured.
func configServiceModes() []struct {
	name string
	mode cfgsvc.Mode
} {
	return []struct {
		name string
		mode cfgsvc.Mode
	}{
		{"up", cfgsvc.Normal{}},
		{"down", cfgsvc.Down{}},
		{"older", cfgsvc.PreviousHead{}},
	}
}

// MeasureRestarts restarts all daemons of a data centre in each mode of the configuration service. It first publishes
// releases, whose notes a starting daemon has to read.
func MeasureRestarts(config Config, daemons int, out io.Writer) ([]Restart, error) {
	if config.DataCentres < minDataCentres {
		return nil, errors.NotValidf("--data-centres %d with --restart (want at least %d)", config.DataCentres, minDataCentres)
	}
	m, err := newMeasurement(config, daemons)
	if err != nil {
		return nil, err
	}
	defer m.cluster.Close()
	for i := range config.Changes {
		m.cluster.Publish(m.cluster.Members[0].ChangeTargetEntry(100 + i))
	}
	var results []Restart
	for i, v := range configServiceModes() {
		fmt.Fprintf(out, "%d daemons: restart of a data centre, configuration service %s\n", daemons, v.name)
		serial := m.cluster.Publish(m.cluster.Members[0].ChangeTargetEntry(10 + i))
		if err := m.cluster.WaitInForce(serial, inForceTimeout); err != nil {
			return nil, err
		}
		m.cluster.ConfigService.Send(cfgsvc.SetMode{Mode: v.mode})
		time.Sleep(config.ChangeInterval)
		r, err := m.measureRestart(serial)
		if err != nil {
			return nil, err
		}
		r.ConfigServiceMode, r.Daemons = v.name, daemons
		results = append(results, r)
		m.cluster.ConfigService.Send(cfgsvc.SetMode{Mode: cfgsvc.Normal{}})
	}
	return results, nil
}

// splitLastDataCentre returns the members of the last data centre and those of all others.
func splitLastDataCentre(members []*deploy.Member) (last, others []*deploy.Member) {
	dataCentre := members[len(members)-1].DataCentre
	for _, v := range members {
		if v.DataCentre == dataCentre {
			last = append(last, v)
		} else {
			others = append(others, v)
		}
	}
	return last, others
}

func (m *measurement) measureRestart(newest ident.Serial) (Restart, error) {
	restarted, others := splitLastDataCentre(m.cluster.Members)
	r := Restart{Restarted: len(restarted)}
	if err := m.cluster.KillDaemons(restarted); err != nil {
		return r, err
	}
	time.Sleep(downtime)
	before, err := readUsage(others)
	if err != nil {
		return r, err
	}
	start := time.Now()
	if err := m.cluster.StartKilledDaemons(restarted); err != nil {
		return r, err
	}
	var observers sync.WaitGroup
	var calls []int
	observers.Go(func() { calls = m.sampleCalls(start.Add(observationWindow)) })
	observations := make([]observation, len(restarted))
	for i, v := range restarted {
		observers.Go(func() { observations[i] = m.waitServing(v, newest, start) })
	}
	observers.Wait()
	after, err := readUsage(others)
	if err != nil {
		return r, err
	}
	r.Others = costBetween(before, after, time.Since(start))
	r.ConfigCallsPeak = peakIncrease(calls, int(time.Second/callSampleInterval))
	for _, s := range observations {
		if s.servedOlder {
			r.ServedOlder++
		}
		if s.servingAfter == 0 {
			r.NotServing++
			continue
		}
		r.ServingTimes = append(r.ServingTimes, s.servingAfter)
	}
	return r, nil
}

// An observation is the result of polling a daemon. servingAfter is 0 when the daemon did not serve with the newest
// release.
type observation struct {
	servingAfter time.Duration
	servedOlder  bool
}

// waitServing polls the status of a daemon until the newest release is in force there and confirmed, so that the daemon
// runs calls with an idempotency key, or until the observation window ends.
func (m *measurement) waitServing(v *deploy.Member, newest ident.Serial, start time.Time) observation {
	var result observation
	for time.Since(start) < observationWindow {
		s, err := m.cluster.Status(v)
		if err == nil && !s.Unconfirmed && s.Release.Serial != 0 {
			if s.Release.Serial >= newest {
				result.servingAfter = time.Since(start)
				return result
			}
			result.servedOlder = true
		}
		time.Sleep(statusPollInterval)
	}
	return result
}

func (m *measurement) sampleCalls(until time.Time) []int {
	var calls []int
	for time.Now().Before(until) {
		calls = append(calls, m.cluster.ConfigService.Reads())
		time.Sleep(callSampleInterval)
	}
	return calls
}

// peakIncrease returns the largest increase of a counter within a number of consecutive samples.
func peakIncrease(counts []int, samples int) int {
	largest := 0
	for i, n := range counts {
		largest = max(largest, n-counts[max(0, i-samples)])
	}
	return largest
}

// usage is the cumulative resource usage of one daemon.
type usage struct {
	bytes float64
	cpu   time.Duration
}

// readUsage returns the usage of each daemon so far.
func readUsage(members []*deploy.Member) ([]usage, error) {
	client := &http.Client{Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	list := make([]usage, len(members))
	semaphore := make(chan struct{}, maxConcurrentReads)
	var readers sync.WaitGroup
	for i, v := range members {
		readers.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			list[i].bytes = load.ReadCounters(client, v.Settings.Admin)["jacinthcross_control_bytes_total"]
		})
	}
	readers.Wait()
	for i, v := range members {
		pid, ok := v.PID()
		if !ok {
			return nil, errors.Errorf("daemon on %s is not running", v.VM)
		}
		u, err := proc.ReadUsage(pid)
		if err != nil {
			return nil, errors.Annotate(err, "daemon exited during the measurement")
		}
		list[i].cpu = u.CPU
	}
	return list, nil
}

// costBetween returns the cost of daemons from their usage before and after a window.
func costBetween(before, after []usage, window time.Duration) Cost {
	var c Cost
	n := float64(len(after))
	for i, a := range after {
		bytes := (a.bytes - before[i].bytes) / window.Seconds()
		cpu := (a.cpu - before[i].cpu).Seconds() / window.Seconds()
		c.Bytes, c.MaxBytes = c.Bytes+bytes/n, max(c.MaxBytes, bytes)
		c.CPU, c.MaxCPU = c.CPU+cpu/n, max(c.MaxCPU, cpu)
	}
	return c
}
