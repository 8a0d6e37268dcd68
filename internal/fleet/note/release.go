// Package note holds release notes and the release that they add up to.
package note

import (
	"jacinthcross/internal/base/ident"
	"maps"
	"net/netip"
	"slices"
	"time"
)

// A Service is a service of a release.
type Service struct {
	Name              ident.Service
	Hosts             []string
	Rank              ident.Rank
	KeyRequired       bool
	IdempotentMethods []string
	Timeout           time.Duration
}

// Idempotent reports whether a call with the method may be run more than once.
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
	Daemon     netip.AddrPort
	Address    netip.AddrPort
	Slots      int
}

// A Release is the sum of all notes up to its head. It is never changed after it was built.
type Release struct {
	Head      ident.Head
	Services  map[ident.Service]Service
	Targets   map[ident.Target]Target
	Withdrawn map[ident.Target]Withdrawal
}

// A Withdrawal is a target that a recent note withdrew. Resends of keyed calls
// still reach the daemon beside it, which remembers their answers.
type Withdrawal struct {
	Target Target
	Serial ident.Serial
}

// withdrawalsKept is the number of serials for which a withdrawal is remembered.
// At 2,000 notes a day it covers about three hours, longer than any key is valid.
const withdrawalsKept = 256

// NewRelease returns the empty release before the first note.
func NewRelease() *Release {
	return &Release{
		Services:  map[ident.Service]Service{},
		Targets:   map[ident.Target]Target{},
		Withdrawn: map[ident.Target]Withdrawal{},
	}
}

// TargetOn returns the target on a VM.
func (r *Release) TargetOn(vm ident.VM) (Target, bool) {
	for _, t := range r.Targets {
		if t.VM == vm {
			return t, true
		}
	}
	return Target{}, false
}

// TargetsOf returns the targets of a service, ordered by name.
func (r *Release) TargetsOf(service ident.Service) []Target {
	var targets []Target
	for _, t := range r.Targets {
		if t.Service == service {
			targets = append(targets, t)
		}
	}
	slices.SortFunc(targets, func(a, b Target) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return targets
}

// ServiceOfHost returns the service that lists host.
func (r *Release) ServiceOfHost(host string) (ident.Service, bool) {
	for _, s := range r.Services {
		if slices.Contains(s.Hosts, host) {
			return s.Name, true
		}
	}
	return "", false
}

func (r *Release) clone() *Release {
	return &Release{
		Head:      r.Head,
		Services:  maps.Clone(r.Services),
		Targets:   maps.Clone(r.Targets),
		Withdrawn: maps.Clone(r.Withdrawn),
	}
}
