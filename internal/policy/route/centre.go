package route

import (
	"math"
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/ident"
)

const (
	// centreLoadWeight is the weight of a new report in the load of a data centre. A report is of one target, whose load
	// changes within milliseconds.
	centreLoadWeight = .2
	// centreLoadDecay is the time constant with which the load of a data centre converges to that of the service. It is
	// long enough to outlast the overload of a cold start, since a daemon of a large fleet calls a remote data centre once
	// in several seconds, and limits how long calls stay away from the local one after it was full.
	centreLoadDecay = 5 * time.Second
	// maxQueueUtilization bounds the utilization in queueWait, which grows without limit towards 1.
	maxQueueUtilization = .95
)

// A centreLoad is the load of the targets of a service in one data centre, from the reports of all of them. It changes
// more slowly than the load of a target, so it tells what to expect of targets whose last report is old.
type centreLoad struct {
	utilization float64
	at          time.Time
}

// recordCentreLoad adds the report of a target to the load of its data centre.
func (t *Table) recordCentreLoad(s *candidateState, load call.Load, now time.Time) {
	if load.Incarnation.IsZero() || load.Down {
		return
	}
	utilization := float64(load.InFlight+load.Queued) / s.concurrencyLimit()
	c, ok := t.centreLoads[s.DataCentre]
	if !ok {
		t.centreLoads[s.DataCentre] = &centreLoad{utilization, now}
		return
	}
	c.utilization += centreLoadWeight * (utilization - c.utilization)
	c.at = now
}

// centreUtilization returns the expected utilization of the targets in a data centre.
func (sc scorer) centreUtilization(d ident.DataCentre) float64 {
	c, ok := sc.centreLoads[d]
	if !ok {
		return sc.meanOtherLoad
	}
	return sc.meanOtherLoad + (c.utilization-sc.meanOtherLoad)*math.Exp(-sc.now.Sub(c.at).Seconds()/centreLoadDecay.Seconds())
}

// queueWait returns the expected wait for a slot at a target with the given usual utilization, in units of its service
// time, by Sakasegawa's approximation for a queue with several servers.
func queueWait(utilization, slots float64) float64 {
	u := min(max(0, utilization), maxQueueUtilization)
	return math.Pow(u, math.Sqrt(2*(slots+1))-1) / (slots * (1 - u))
}
