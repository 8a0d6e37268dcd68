// Package note defines release notes, which are numbered change sets, and the release that results from applying them.
package note

import (
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"jacinthcross/internal/base/ident"
)

// A Service is a service of a release.
type Service struct {
	Name  ident.Service
	Hosts []string
	Rank  ident.Rank
	// KeyRequired is set if a non-idempotent call without an idempotency key is refused.
	KeyRequired       bool
	IdempotentMethods []string
	Timeout           time.Duration
	// HealthPath is the health check path of the targets, or empty if they have none.
	HealthPath string
	// MaxConnections is the number of connections that a target accepts, or 0 if it is not known.
	MaxConnections int
	// ColdStart is how long a target is cold after its start, or 0 if it is not known.
	ColdStart time.Duration
	// ColdRate is the number of requests per second that a cold target tolerates, or 0 if cold targets have no limit.
	ColdRate float64
}

// Idempotent reports whether a call with the method may be executed more than once.
func (s *Service) Idempotent(method string) bool {
	return slices.Contains(s.IdempotentMethods, method)
}

// A Target is a target of a release.
type Target struct {
	Name       ident.Target
	Service    ident.Service
	VM         ident.VM
	DataCentre ident.DataCentre
	Region     ident.Region
	// Daemon is the address at which the daemon beside the target accepts peers.
	Daemon netip.AddrPort
	// Address is the address of the target itself.
	Address netip.AddrPort
	// Slots is the number of calls that the target runs at the same time.
	Slots int
	// HealthPath is the path at which the target reports its health and load, or empty if it has none.
	HealthPath string
	// Draining is set if the target gets no new calls.
	Draining bool
	// WarmAt is the time at which a recently started target reaches full speed, or zero if it has reached it.
	WarmAt time.Time
	// StartedAt distinguishes successive processes of a target with the same name. It is zero if the time is not known.
	StartedAt time.Time
}

// Limits holds the limits on requests and connections of callers. A limit of zero is not set by the release.
type Limits struct {
	MaxHeader     int
	MaxBody       int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// A Release is the result of applying all notes up to its head. Its exported fields must not change once it has
// been built.
type Release struct {
	// Head holds the serial and the digest of the last note. In a release built from the store, the serial is the revision
	// of the store and the digest is zero.
	Head ident.Head
	// Version is the version of the config that the platform publishes, or 0 if the release was built from notes.
	Version   uint64
	Routes    map[ident.Route]Route
	Services  map[ident.Service]Service
	Targets   map[ident.Target]Target
	Withdrawn map[ident.Target]Withdrawal
	// Evacuated holds the data centres whose targets get no new calls.
	Evacuated map[ident.DataCentre]bool
	Limits    Limits

	indexOnce        sync.Once
	index            index
	reusedRouteIndex routeIndex
}

// An index speeds up lookups, which would otherwise scan all targets. It is built on the first lookup.
type index struct {
	targetsByVM      map[ident.VM][]Target
	targetsByService map[ident.Service][]Target
	serviceByHost    map[string]ident.Service
	routes           routeIndex
}

// A Withdrawal is a target that a recent note withdrew. Calls with an idempotency key that are sent again still go to
// the daemon beside the target, which has recorded their answers.
type Withdrawal struct {
	Target Target
	Serial ident.Serial
}

// withdrawalRetention is the number of later notes for which a withdrawal is kept. At 2,000 notes per day this covers
// about three hours, which is longer than any idempotency key is valid.
const withdrawalRetention = 256

// NewRelease returns the empty release before the first note.
func NewRelease() *Release {
	return &Release{
		Routes:    map[ident.Route]Route{},
		Services:  map[ident.Service]Service{},
		Targets:   map[ident.Target]Target{},
		Withdrawn: map[ident.Target]Withdrawal{},
		Evacuated: map[ident.DataCentre]bool{},
	}
}

// TargetByVM returns the target on a VM. Of several it returns the one whose name comes last.
func (r *Release) TargetByVM(vm ident.VM) (Target, bool) {
	return r.TargetBeside(vm, "", netip.AddrPort{})
}

// TargetBeside returns the target beside the daemon of a VM. Other processes on the VM may be registered as targets too:
// the one with the address that the settings of the daemon name is the target beside it, whatever its service, since the
// address may have passed to a target of another service. The address in the release may differ, for example behind a
// proxy; then the service decides. The settings may have neither.
func (r *Release) TargetBeside(vm ident.VM, service ident.Service, address netip.AddrPort) (beside Target, ok bool) {
	best := 0
	if address.IsValid() {
		best = 1
	}
	for _, t := range r.lookupIndex().targetsByVM[vm] {
		match := 0
		switch {
		case t.Address == address:
			match = 2
		case t.Service == service:
			match = 1
		}
		if match >= best {
			beside, ok, best = t, true, match
		}
	}
	return beside, ok
}

// TargetsByService returns the targets of a service, ordered by name.
func (r *Release) TargetsByService(service ident.Service) []Target {
	return slices.Clone(r.lookupIndex().targetsByService[service])
}

// ServiceByHost returns the service that lists host.
func (r *Release) ServiceByHost(host string) (ident.Service, bool) {
	s, ok := r.lookupIndex().serviceByHost[host]
	return s, ok
}

// ReuseRouteIndex makes the release use the route index of another release with the same routes. It must be called
// before the first lookup.
func (r *Release) ReuseRouteIndex(other *Release) { r.reusedRouteIndex = other.lookupIndex().routes }

func (r *Release) lookupIndex() *index {
	r.indexOnce.Do(func() {
		r.index = index{
			targetsByVM:      make(map[ident.VM][]Target, len(r.Targets)),
			targetsByService: make(map[ident.Service][]Target, len(r.Services)),
			serviceByHost:    map[string]ident.Service{},
			routes:           r.reusedRouteIndex,
		}
		if r.index.routes == nil {
			r.index.routes = newRouteIndex(r.Routes)
		}
		for _, name := range slices.Sorted(maps.Keys(r.Targets)) {
			t := r.Targets[name]
			r.index.targetsByVM[t.VM] = append(r.index.targetsByVM[t.VM], t)
			r.index.targetsByService[t.Service] = append(r.index.targetsByService[t.Service], t)
		}
		for _, s := range r.Services {
			for _, h := range s.Hosts {
				r.index.serviceByHost[h] = s.Name
			}
		}
	})
	return &r.index
}

func (r *Release) clone() *Release {
	return &Release{
		Head:      r.Head,
		Version:   r.Version,
		Routes:    maps.Clone(r.Routes),
		Limits:    r.Limits,
		Services:  maps.Clone(r.Services),
		Targets:   maps.Clone(r.Targets),
		Withdrawn: maps.Clone(r.Withdrawn),
		Evacuated: maps.Clone(r.Evacuated),
	}
}
