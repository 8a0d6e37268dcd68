// Package simul compares load-balancing policies by discrete-event simulation of one service in virtual time.
package simul

import (
	"slices"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/policy/route"
)

// A Policy chooses targets: Random, RoundRobin, StaleLeast, TwoChoices, DaemonTable or Oracle.
type Policy interface{ policy() }

// A Random policy chooses a target uniformly at random.
type Random struct{}

// A RoundRobin policy chooses the targets in turn.
type RoundRobin struct{}

// A StaleLeast policy chooses the target with the least load in its last report to the daemon.
type StaleLeast struct{}

// A TwoChoices policy chooses, of two random targets, the one with fewer calls in flight from the same daemon.
type TwoChoices struct{}

// A DaemonTable policy uses the daemon's own routing table (package route) with the given profile.
type DaemonTable struct{ Profile route.Profile }

// An Oracle policy knows the current calls in flight on all targets and, if KnowsSpeed is true, their speed.
type Oracle struct{ KnowsSpeed bool }

func (Random) policy()      {}
func (RoundRobin) policy()  {}
func (StaleLeast) policy()  {}
func (TwoChoices) policy()  {}
func (DaemonTable) policy() {}
func (Oracle) policy()      {}

// Policies lists the policies that Compare runs.
func Policies() []Policy {
	return []Policy{
		Random{},
		RoundRobin{},
		StaleLeast{},
		TwoChoices{},
		DaemonTable{route.ProfileTail},
		DaemonTable{route.ProfileCost},
		Oracle{},
		Oracle{KnowsSpeed: true},
	}
}

// PolicyName returns the name of a policy in the table of Compare.
func PolicyName(p Policy) string {
	switch p := p.(type) {
	case Random:
		return "random"
	case RoundRobin:
		return "round robin"
	case StaleLeast:
		return "stale report"
	case TwoChoices:
		return "two choices"
	case DaemonTable:
		return "table " + string(p.Profile)
	case Oracle:
		if p.KnowsSpeed {
			return "oracle+speed"
		}
		return "oracle"
	}
	return "unknown"
}

// choose returns the index of the target for a call at daemon d. It reports false when no target is left.
func (m *model) choose(d *daemon, c *simCall) (int, bool) {
	var usable []int
	for i, t := range m.targets {
		if t.registered && !slices.Contains(c.tried, i) {
			usable = append(usable, i)
		}
	}
	if len(usable) == 0 {
		return 0, false
	}
	switch m.policy.(type) {
	case Random:
		return usable[m.random.IntN(len(usable))], true
	case RoundRobin:
		d.next++
		return usable[d.next%len(usable)], true
	case StaleLeast:
		return m.leastCost(usable, func(i int) float64 { return float64(d.reports[i]) }), true
	case TwoChoices:
		a, b := usable[m.random.IntN(len(usable))], usable[m.random.IntN(len(usable))]
		if d.inFlight[b] < d.inFlight[a] {
			a = b
		}
		return a, true
	case DaemonTable:
		return m.pickFromTable(d, c)
	case Oracle:
		return m.leastCost(usable, func(i int) float64 { return m.expectedLatency(d, i) }), true
	}
	return 0, false
}

func (m *model) pickFromTable(d *daemon, c *simCall) (int, bool) {
	excluded := make([]ident.Target, 0, len(c.tried))
	for _, i := range c.tried {
		excluded = append(excluded, m.targets[i].name)
	}
	name, ok := d.table.Pick(m.time(), excluded)
	return m.index[name], ok
}

// leastCost returns the choice with the lowest cost. Ties are broken at random.
func (m *model) leastCost(choices []int, cost func(int) float64) int {
	m.random.Shuffle(len(choices), func(i, j int) { choices[i], choices[j] = choices[j], choices[i] })
	return slices.MinFunc(choices, func(a, b int) int {
		switch x, y := cost(a), cost(b); {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
}

// expectedLatency estimates the time until the answer in seconds: network delay, wait for a slot and service time. The
// small last term spreads calls over targets with free slots.
func (m *model) expectedLatency(d *daemon, i int) float64 {
	t := m.targets[i]
	if t.crashed {
		// A crashed target is chosen last.
		return 1e9
	}
	run := meanWorkSeconds
	if m.policy.(Oracle).KnowsSpeed {
		run /= t.speed
	}
	n := float64(t.assigned+1) / float64(m.deployment.Slots)
	return 2*m.oneWay(d.dataCentre, t.dataCentre) + run*(1+max(0, n-1)) + run*n*1e-3
}
