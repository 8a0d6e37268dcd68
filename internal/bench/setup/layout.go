// Package setup describes the experiments of jcbench: the deployments (Layout) and the scenarios, which it reads from
// files.
package setup

import (
	"fmt"
	"time"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/policy/route"
)

// A Layout describes a deployment: its data centres and the services that run there.
type Layout struct {
	Name        string
	DataCentres []ident.DataCentre
	// OneWay is the one-way network delay between two data centres.
	OneWay time.Duration
	// ClientDelay is the one-way network delay between callers and the data centres.
	ClientDelay time.Duration
	// OpenDelay is added to the opening of each new connection.
	OpenDelay time.Duration
	// Profile is the routing profile of the daemons. If empty, the daemons use their default.
	Profile  route.Profile
	Services []Service
}

// A Service describes the targets of one service. Median and Sigma parameterise the log-normal service time.
type Service struct {
	Name    string
	Targets int
	Slots   int
	Rank    ident.Rank
	Median  time.Duration
	Sigma   float64
	// Keyed means that calls are not idempotent and carry an idempotency key.
	Keyed bool
	// Next is the service that a target calls while it runs a call. Empty means none.
	Next string
}

// Perizia is the deployment for surveys in Sicily: 3 data centres and 11 targets, with the profile for tail latency.
func Perizia() Layout {
	return Layout{
		Name:        "Perizia",
		DataCentres: []ident.DataCentre{"catania", "palermo", "messina"},
		OneWay:      1500 * time.Microsecond,
		Profile:     route.ProfileTail,
		Services: []Service{
			{Name: "summaries", Targets: 5, Slots: 10, Rank: ident.Urgent, Median: 30 * time.Millisecond, Sigma: 0.5},
			{Name: "bookings", Targets: 3, Slots: 10, Rank: ident.Urgent, Median: 40 * time.Millisecond, Sigma: 0.3, Keyed: true},
			{Name: "reports", Targets: 3, Slots: 10, Rank: ident.Normal, Median: 60 * time.Millisecond, Sigma: 0.5},
		},
	}
}

// Clachan is the deployment for pendulum hire in Scotland: 4 data centres and 12 targets, with the profile for cost.
func Clachan() Layout {
	return Layout{
		Name:        "Clachan",
		DataCentres: []ident.DataCentre{"glasgow", "edinburgh", "aberdeen", "inverness"},
		OneWay:      500 * time.Microsecond,
		Profile:     route.ProfileCost,
		Services: []Service{
			{Name: "catalogue", Targets: 4, Slots: 6, Rank: ident.Urgent, Median: 30 * time.Millisecond, Sigma: 0.5},
			{Name: "bookings", Targets: 4, Slots: 6, Rank: ident.Urgent, Median: 40 * time.Millisecond, Sigma: 0.3, Keyed: true},
			{Name: "deliveries", Targets: 4, Slots: 6, Rank: ident.Deferred, Median: 60 * time.Millisecond, Sigma: 0.5},
		},
	}
}

// A Placement places one target on a VM and in a data centre.
type Placement struct {
	Service    Service
	Target     string
	VM         ident.VM
	DataCentre ident.DataCentre
}

// Placements distributes the targets of each service round-robin over the data centres.
func (l Layout) Placements() []Placement {
	var placements []Placement
	for i, s := range l.Services {
		for j := range s.Targets {
			placements = append(placements, Placement{
				Service:    s,
				Target:     fmt.Sprintf("%s-%d", s.Name, j),
				VM:         ident.VM(fmt.Sprintf("vm-%s-%d", s.Name, j)),
				DataCentre: l.DataCentres[(i+j)%len(l.DataCentres)],
			})
		}
	}
	return placements
}

// Service returns the service with the given name.
func (l Layout) Service(name string) (Service, bool) {
	for _, s := range l.Services {
		if s.Name == name {
			return s, true
		}
	}
	return Service{}, false
}

// ChainDepth returns the number of services that a call to a service passes through.
func (l Layout) ChainDepth(service string) int {
	depth := 0
	for s, ok := l.Service(service); ok; s, ok = l.Service(s.Next) {
		depth++
	}
	return depth
}
