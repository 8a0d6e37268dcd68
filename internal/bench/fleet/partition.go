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

// partitionOneWay is the one-way delay between two data centres: the longer one of the two deployments.
const partitionOneWay = 1500 * time.Microsecond

// A Partition is the result of a network partition in which half of the data centres lose the others and
// the platform. Releases are published on the other side before the partition heals.
type Partition struct {
	Daemons int
	// Lost is the number of isolated daemons.
	Isolated int
	Length   time.Duration
	Notes    int
	// Leaked is the number of isolated daemons that got a new release during the partition.
	UpdatedDuring int
	// Repaired has the times from the end of the partition until an isolated daemon has the newest release in force.
	RecoveryTimes []time.Duration
	// Missing is the number of isolated daemons that did not get the newest release within the observation window.
	NotRecovered int
	// PlatformPeak is the largest number of platform calls within a second after the partition.
	PlatformPeak int
	// Idle, During and After cover all daemons: before the partition, while it lasts and in the window after its end.
	Before Cost
	During Cost
	After  Cost
}

// MeasurePartition measures a network partition of the given length.
func MeasurePartition(f Config, daemons int, length time.Duration, out io.Writer) (Partition, error) {
	row := Partition{Daemons: daemons, Length: length, Notes: f.Changes}
	if f.DataCentres < minDataCentres || length <= 0 {
		return row, errors.NotValidf("--cut %v of %d data centres (want a positive time, at least %d)", length, f.DataCentres, minDataCentres)
	}
	l := f.layout(daemons)
	l.OneWay = partitionOneWay
	st, err := stage.Start(stage.Config{
		Layout: l, Seed: 1, Daemons: stage.DaemonProcesses{Path: f.DaemonPath}, NoTargets: true, PlatformRelays: true,
	})
	if err != nil {
		return row, err
	}
	defer st.Close()
	isolated := map[ident.DataCentre]bool{}
	for _, dc := range l.DataCentres[f.DataCentres/2:] {
		isolated[dc] = true
	}
	m := &measurement{config: f, stage: st}
	err = m.measurePartition(&row, isolated, out)
	return row, err
}

func (m *measurement) measurePartition(row *Partition, isolatedDCs map[ident.DataCentre]bool, out io.Writer) error {
	var isolated []*stage.Member
	for _, v := range m.stage.Members {
		if isolatedDCs[v.DataCentre] {
			isolated = append(isolated, v)
		}
	}
	row.Isolated = len(isolated)
	time.Sleep(m.config.ChangeInterval)
	var err error
	row.Before, err = m.measureCost(func() error { time.Sleep(m.config.IdleDuration); return nil })
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d daemons: %d of them are cut off for %v\n", row.Daemons, row.Isolated, row.Length)
	var newest ident.Serial
	row.During, err = m.measureCost(func() error {
		m.stage.PartitionNetwork(isolatedDCs)
		for i := range m.config.Changes {
			time.Sleep(row.Length / time.Duration(m.config.Changes+1))
			newest = m.stage.Publish(m.stage.Members[0].ChangeTargetEntry(100 + i))
		}
		time.Sleep(row.Length / time.Duration(m.config.Changes+1))
		for _, v := range isolated {
			s, err := m.stage.Status(v)
			if err != nil {
				return err
			}
			if s.Release.Serial > newest-ident.Serial(m.config.Changes) {
				row.UpdatedDuring++
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	row.After, err = m.measureCost(func() error { m.measureRecovery(row, isolated, newest); return nil })
	return err
}

// measureCost returns the cost of all daemons while step runs.
func (m *measurement) measureCost(step func() error) (Cost, error) {
	before, err := readUsage(m.stage.Members)
	if err != nil {
		return Cost{}, err
	}
	start := time.Now()
	if err := step(); err != nil {
		return Cost{}, err
	}
	after, err := readUsage(m.stage.Members)
	if err != nil {
		return Cost{}, err
	}
	return costBetween(before, after, time.Since(start)), nil
}

// measureRecovery ends the partition and observes the daemons that were isolated.
func (m *measurement) measureRecovery(row *Partition, isolated []*stage.Member, newest ident.Serial) {
	start := time.Now()
	m.stage.PartitionNetwork(nil)
	var observers sync.WaitGroup
	var calls []int
	observers.Go(func() { calls = m.sampleCalls(start.Add(observationWindow)) })
	observations := make([]observation, len(isolated))
	for i, v := range isolated {
		observers.Go(func() { observations[i] = m.waitServing(v, newest, start) })
	}
	observers.Wait()
	row.PlatformPeak = peakIncrease(calls, int(time.Second/callSampleInterval))
	for _, s := range observations {
		if s.servingAfter == 0 {
			row.NotRecovered++
			continue
		}
		row.RecoveryTimes = append(row.RecoveryTimes, s.servingAfter)
	}
}
