package fleet

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/bench/stage"
)

// cutOneWay is the delay between two data centres, that of the deployment with the longer one.
const cutOneWay = 1500 * time.Microsecond

// A Cut is what was measured when half of the data centres lose the others and the platform, and
// meet them again after releases were published on the other side.
type Cut struct {
	Daemons int
	Lost    int
	Length  time.Duration
	Notes   int
	// Leaked is the number of lost daemons that got a note during the cut.
	Leaked int
	// Repaired are the times from the end of the cut until a lost daemon has the newest release in force.
	Repaired []time.Duration
	Missing  int
	// PlatformPeak is the largest number of platform calls within a second after the cut.
	PlatformPeak int
	// Idle is before the cut, During is while it lasts, After is the window from its end on; each of all daemons.
	Idle   Cost
	During Cost
	After  Cost
}

// MeasureCut measures a cut of a length.
func MeasureCut(f Config, daemons int, length time.Duration, out io.Writer) (Cut, error) {
	row := Cut{Daemons: daemons, Length: length, Notes: f.Changes}
	if f.DataCentres < minDataCentres || length <= 0 {
		return row, errors.NotValidf("--cut %v of %d data centres (want a positive time, at least %d)", length, f.DataCentres, minDataCentres)
	}
	l := f.layout(daemons)
	l.OneWay = cutOneWay
	st, err := stage.Start(stage.Config{
		Layout: l, Seed: 1, Daemons: stage.Processes{Path: f.Program}, NoTargets: true, PlatformRelays: true,
	})
	if err != nil {
		return row, err
	}
	defer st.Close()
	part := map[ident.DataCentre]bool{}
	for _, dc := range l.DataCentres[f.DataCentres/2:] {
		part[dc] = true
	}
	m := &measurement{config: f, stage: st}
	err = m.cut(&row, part, out)
	return row, err
}

func (m *measurement) cut(row *Cut, part map[ident.DataCentre]bool, out io.Writer) error {
	var lost []*stage.Member
	for _, v := range m.stage.Members {
		if part[v.DataCentre] {
			lost = append(lost, v)
		}
	}
	row.Lost = len(lost)
	time.Sleep(m.config.Gap)
	var err error
	row.Idle, err = m.during(func() error { time.Sleep(m.config.Idle); return nil })
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d daemons: %d of them are cut off for %v\n", row.Daemons, row.Lost, row.Length)
	var newest ident.Serial
	row.During, err = m.during(func() error {
		m.stage.Cut(part)
		for i := range m.config.Changes {
			time.Sleep(row.Length / time.Duration(m.config.Changes+1))
			newest = m.stage.Publish(m.stage.Members[0].Change(100 + i))
		}
		time.Sleep(row.Length / time.Duration(m.config.Changes+1))
		for _, v := range lost {
			s, err := m.stage.Status(v)
			if err != nil {
				return err
			}
			if s.Release.Serial > newest-ident.Serial(m.config.Changes) {
				row.Leaked++
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	row.After, err = m.during(func() error { m.repair(row, lost, newest); return nil })
	return err
}

// during returns what all daemons use while a step runs.
func (m *measurement) during(step func() error) (Cost, error) {
	before, err := uses(m.stage.Members)
	if err != nil {
		return Cost{}, err
	}
	start := time.Now()
	if err := step(); err != nil {
		return Cost{}, err
	}
	after, err := uses(m.stage.Members)
	if err != nil {
		return Cost{}, err
	}
	return cost(before, after, time.Since(start)), nil
}

// repair ends the cut and observes the daemons that were lost.
func (m *measurement) repair(row *Cut, lost []*stage.Member, newest ident.Serial) {
	start := time.Now()
	m.stage.Cut(nil)
	var observers sync.WaitGroup
	var calls []int
	observers.Go(func() { calls = m.countCalls(start.Add(restartWindow)) })
	seen := make([]startup, len(lost))
	for i, v := range lost {
		observers.Go(func() { seen[i] = m.observe(v, newest, start) })
	}
	observers.Wait()
	row.PlatformPeak = peak(calls, int(time.Second/countGap))
	for _, s := range seen {
		if s.serving == 0 {
			row.Missing++
			continue
		}
		row.Repaired = append(row.Repaired, s.serving)
	}
}
