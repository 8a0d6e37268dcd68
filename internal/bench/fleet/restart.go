package fleet

import (
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/bench/config"
	"jacinthcross/internal/bench/load"
	"jacinthcross/internal/bench/proc"
	"jacinthcross/internal/bench/stage"
)

const (
	// away is how long the daemons of a data centre are gone: the others have noticed it by then.
	away = 2 * time.Second
	// restartWindow is how long the others are observed from the start of the daemons on.
	restartWindow = 10 * time.Second
	// restartPoll is the time between two questions to a daemon that starts.
	restartPoll = 50 * time.Millisecond
	// countGap is the time between two counts of the platform calls.
	countGap = 100 * time.Millisecond
	// minDataCentres is needed so that others keep the release.
	minDataCentres = 2
)

// A Restart is what was measured when all daemons of a data centre start at once with empty memory.
type Restart struct {
	// Service names how the configuration service answers.
	Service   string
	Daemons   int
	Restarted int
	// Serving are the times from the start until a daemon serves with the newest release.
	Serving []time.Duration
	// Older is the number of daemons that served with an older release.
	Older int
	// Missing is the number of daemons that did not serve with the newest release within the window.
	Missing int
	// PlatformPeak is the largest number of platform calls within a second, of the whole fleet.
	PlatformPeak int
	// Others are the daemons of the other data centres, within the window.
	Others Cost
}

// A Cost is what daemons used within a window: control bytes per second and shares of a core, mean and largest.
type Cost struct {
	Bytes    float64
	MaxBytes float64
	CPU      float64
	MaxCPU   float64
}

// modes are the ways in which the configuration service answers while a data centre starts.
func modes() []struct {
	name string
	mode config.Mode
} {
	return []struct {
		name string
		mode config.Mode
	}{
		{"up", config.Normal{}},
		{"down", config.Down{}},
		{"older", config.Older{}},
	}
}

// MeasureRestarts publishes notes, which a daemon that starts has to read, and kills and starts a data centre for each way in which the configuration service answers.
func MeasureRestarts(f Config, daemons int, out io.Writer) ([]Restart, error) {
	if f.DataCentres < minDataCentres {
		return nil, errors.NotValidf("--data-centres %d with --restart (want at least %d)", f.DataCentres, minDataCentres)
	}
	m, err := start(f, daemons)
	if err != nil {
		return nil, err
	}
	defer m.stage.Close()
	for i := range f.Changes {
		m.stage.Publish(m.stage.Members[0].Change(100 + i))
	}
	var rows []Restart
	for i, v := range modes() {
		fmt.Fprintf(out, "%d daemons: restart of a data centre, configuration service %s\n", daemons, v.name)
		serial := m.stage.Publish(m.stage.Members[0].Change(10 + i))
		if err := m.stage.WaitInForce(serial, inForceTimeout); err != nil {
			return nil, err
		}
		m.stage.Platform.Send(config.Behave{Mode: v.mode})
		time.Sleep(f.Gap)
		r, err := m.restart(serial)
		if err != nil {
			return nil, err
		}
		r.Service, r.Daemons = v.name, daemons
		rows = append(rows, r)
		m.stage.Platform.Send(config.Behave{Mode: config.Normal{}})
	}
	return rows, nil
}

// split returns the members of the last data centre and the others.
func split(members []*stage.Member) (last, others []*stage.Member) {
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

func (m *measurement) restart(newest ident.Serial) (Restart, error) {
	ended, others := split(m.stage.Members)
	r := Restart{Restarted: len(ended)}
	if err := m.stage.End(ended); err != nil {
		return r, err
	}
	time.Sleep(away)
	before, err := uses(others)
	if err != nil {
		return r, err
	}
	start := time.Now()
	if err := m.stage.StartAgain(ended); err != nil {
		return r, err
	}
	var observers sync.WaitGroup
	var calls []int
	observers.Go(func() { calls = m.countCalls(start.Add(restartWindow)) })
	seen := make([]startup, len(ended))
	for i, v := range ended {
		observers.Go(func() { seen[i] = m.observe(v, newest, start) })
	}
	observers.Wait()
	after, err := uses(others)
	if err != nil {
		return r, err
	}
	r.Others = cost(before, after, time.Since(start))
	r.PlatformPeak = peak(calls, int(time.Second/countGap))
	for _, s := range seen {
		if s.older {
			r.Older++
		}
		if s.serving == 0 {
			r.Missing++
			continue
		}
		r.Serving = append(r.Serving, s.serving)
	}
	return r, nil
}

// A startup is what was seen of a daemon that starts. Serving is 0 when it did not serve.
type startup struct {
	serving time.Duration
	older   bool
}

// observe asks a daemon until it serves keyed calls with the newest release.
func (m *measurement) observe(v *stage.Member, newest ident.Serial, start time.Time) startup {
	var seen startup
	for time.Since(start) < restartWindow {
		s, err := m.stage.Status(v)
		if err == nil && !s.Unconfirmed && s.Release.Serial != 0 {
			if s.Release.Serial >= newest {
				seen.serving = time.Since(start)
				return seen
			}
			seen.older = true
		}
		time.Sleep(restartPoll)
	}
	return seen
}

func (m *measurement) countCalls(until time.Time) []int {
	var calls []int
	for time.Now().Before(until) {
		calls = append(calls, m.stage.Platform.Calls())
		time.Sleep(countGap)
	}
	return calls
}

// peak returns the largest increase of a counter over a number of samples.
func peak(counts []int, samples int) int {
	largest := 0
	for i, n := range counts {
		largest = max(largest, n-counts[max(0, i-samples)])
	}
	return largest
}

// A use is what one daemon has used up to a moment.
type use struct {
	bytes float64
	cpu   time.Duration
}

// uses reads what daemons have used.
func uses(members []*stage.Member) ([]use, error) {
	client := &http.Client{Timeout: 5 * time.Second}
	defer client.CloseIdleConnections()
	list := make([]use, len(members))
	tokens := make(chan struct{}, readersAtOnce)
	var readers sync.WaitGroup
	for i, v := range members {
		readers.Go(func() {
			tokens <- struct{}{}
			defer func() { <-tokens }()
			list[i].bytes = load.Metrics(client, v.Settings.Admin)["jacinthcross_control_bytes_total"]
		})
	}
	readers.Wait()
	for i, v := range members {
		pid, ok := v.PID()
		if !ok {
			return nil, errors.Errorf("the daemon on %s does not run", v.VM)
		}
		u, err := proc.ReadUsage(pid)
		if err != nil {
			return nil, errors.Annotate(err, "a daemon ended during the measurement")
		}
		list[i].cpu = u.CPU
	}
	return list, nil
}

// cost returns what daemons used between two moments.
func cost(before, after []use, window time.Duration) Cost {
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
