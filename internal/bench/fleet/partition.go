package fleet

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/bench/deploy"
)

// partitionDelay is the one-way network delay between data centres in MeasurePartition: the longer of the one-way
// delays of the two deployments in package setup.
const partitionDelay = 1500 * time.Microsecond

// A Partition is the result of a network partition in which half of the data centres lose the others and the
// configuration service. Releases are published on the other side before the partition heals.
type Partition struct {
	Daemons int
	// Isolated is the number of isolated daemons.
	Isolated int
	Length   time.Duration
	// Changes is the number of releases published during the partition.
	Changes int
	// UpdatedDuring is the number of isolated daemons that got a new release during the partition.
	UpdatedDuring int
	// RecoveryTimes holds, for each isolated daemon that recovered, the time from the end of the partition until the
	// newest release is in force there.
	RecoveryTimes []time.Duration
	// NotRecovered is the number of isolated daemons at which the newest release was not in force by the end of the
	// observation window.
	NotRecovered int
	// ConfigCallsPeak is the largest number of calls to the configuration service within a second after the partition.
	ConfigCallsPeak int
	// Before, During and After are the costs of all daemons before the partition, while it lasts and in the observation
	// window after its end.
	Before Cost
	During Cost
	After  Cost
}

// MeasurePartition measures a network partition of the given length.
func MeasurePartition(config Config, daemons int, length time.Duration, out io.Writer) (Partition, error) {
	result := Partition{Daemons: daemons, Length: length, Changes: config.Changes}
	if config.DataCentres < minDataCentres || length <= 0 {
		return result, errors.NotValidf("--cut %v with %d data centres (want a positive duration and at least %d data centres)", length, config.DataCentres, minDataCentres)
	}
	l := config.layout(daemons)
	l.OneWay = partitionDelay
	cluster, err := deploy.Start(deploy.Config{
		Layout: l, Seed: 1, Daemons: deploy.DaemonProcesses{Path: config.DaemonPath}, NoTargets: true, ConfigProxies: true,
	})
	if err != nil {
		return result, err
	}
	defer cluster.Close()
	isolated := map[ident.DataCentre]bool{}
	for _, dc := range l.DataCentres[config.DataCentres/2:] {
		isolated[dc] = true
	}
	m := &measurement{config: config, cluster: cluster}
	err = m.measurePartition(&result, isolated, out)
	return result, err
}

func (m *measurement) measurePartition(result *Partition, isolatedDCs map[ident.DataCentre]bool, out io.Writer) error {
	var isolated []*deploy.Member
	for _, v := range m.cluster.Members {
		if isolatedDCs[v.DataCentre] {
			isolated = append(isolated, v)
		}
	}
	result.Isolated = len(isolated)
	time.Sleep(m.config.ChangeInterval)
	var err error
	result.Before, err = m.measureCost(func() error { time.Sleep(m.config.IdleDuration); return nil })
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "%d daemons: %d of them are cut off for %v\n", result.Daemons, result.Isolated, result.Length)
	var newest ident.Serial
	result.During, err = m.measureCost(func() error {
		m.cluster.PartitionNetwork(isolatedDCs)
		for i := range m.config.Changes {
			time.Sleep(result.Length / time.Duration(m.config.Changes+1))
			newest = m.cluster.Publish(m.cluster.Members[0].ChangeTargetEntry(100 + i))
		}
		time.Sleep(result.Length / time.Duration(m.config.Changes+1))
		for _, v := range isolated {
			s, err := m.cluster.Status(v)
			if err != nil {
				return err
			}
			if s.Release.Serial > newest-ident.Serial(m.config.Changes) {
				result.UpdatedDuring++
			}
		}
		return nil
	})
	if err != nil {
		return err
	}
	result.After, err = m.measureCost(func() error { m.measureRecovery(result, isolated, newest); return nil })
	return err
}

// measureCost returns the cost of all daemons while step runs.
func (m *measurement) measureCost(step func() error) (Cost, error) {
	before, err := readUsage(m.cluster.Members)
	if err != nil {
		return Cost{}, err
	}
	start := time.Now()
	if err := step(); err != nil {
		return Cost{}, err
	}
	after, err := readUsage(m.cluster.Members)
	if err != nil {
		return Cost{}, err
	}
	return costBetween(before, after, time.Since(start)), nil
}

// measureRecovery ends the partition and observes the daemons that were isolated.
func (m *measurement) measureRecovery(result *Partition, isolated []*deploy.Member, newest ident.Serial) {
	start := time.Now()
	m.cluster.PartitionNetwork(nil)
	var observers sync.WaitGroup
	var calls []int
	observers.Go(func() { calls = m.sampleCalls(start.Add(observationWindow)) })
	observations := make([]observation, len(isolated))
	for i, v := range isolated {
		observers.Go(func() { observations[i] = m.waitServing(v, newest, start) })
	}
	observers.Wait()
	result.ConfigCallsPeak = peakIncrease(calls, int(time.Second/callSampleInterval))
	for _, s := range observations {
		if s.servingAfter == 0 {
			result.NotRecovered++
			continue
		}
		result.RecoveryTimes = append(result.RecoveryTimes, s.servingAfter)
	}
}
