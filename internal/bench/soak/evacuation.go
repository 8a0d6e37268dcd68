package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"jacinthcross/platform/fake"
)

// An EvacuateDataCentre evacuates a data centre. It is restored when the step ends.
type EvacuateDataCentre struct{ DataCentre string }

func (EvacuateDataCentre) action() {}

// An Evacuation is an evacuation of a data centre, from the time at which the store had the key until its removal.
type Evacuation struct {
	DataCentre string
	From, To   time.Time
}

// NoRunWhileEvacuated means that a target in an evacuated data centre starts no requests later than applyTimeout after the
// store had the key if there are no unplanned faults, and none later than evacuationTimeout after it, or after the end of the faults
// that may have kept the daemon beside the target from learning of it.
const NoRunWhileEvacuated Guarantee = "Evacuated"

const (
	// evacuationTimeout is that of the platform on which the daemons run.
	evacuationTimeout = 5 * time.Second
	// A plan has an evacuation for each evacuationInterval.
	evacuationInterval = 4 * time.Second
	// The shortest evacuation exceeds applyTimeout, and the longest evacuationTimeout.
	minEvacuation = 2500 * time.Millisecond
	maxEvacuation = 8 * time.Second
)

// dataCentreOf returns the data centre of a VM.
func dataCentreOf(vm int) string { return fmt.Sprintf("d%d", vm/2%2) }

// withEvacuations returns a plan with additional steps that evacuate data centres. They are drawn apart from the other
// steps, so that a seed has the same other steps with and without them.
func withEvacuations(plan []Step, seed uint64, length time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, 1))
	plan = slices.Clone(plan)
	busyUntil := map[string]time.Duration{}
	var added []Step
	for range length / evacuationInterval {
		duration := min(length, minEvacuation+time.Duration(r.Int64N(int64(maxEvacuation-minEvacuation))))
		at := time.Duration(r.Int64N(int64(length-duration) + 1))
		added = append(added, Step{At: at, Duration: duration, Action: EvacuateDataCentre{dataCentreOf(2 * r.IntN(2))}})
	}
	slices.SortStableFunc(added, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	for _, s := range added {
		// Skip an evacuation of a data centre that is evacuated already.
		if a, ok := s.Action.(EvacuateDataCentre); ok && s.At > busyUntil[a.DataCentre] {
			busyUntil[a.DataCentre] = s.At + s.Duration
			plan = append(plan, s)
		}
	}
	slices.SortStableFunc(plan, func(a, b Step) int { return cmp.Compare(a.At, b.At) })
	return plan
}

// evacuate begins or ends the evacuation of a data centre.
func (s *soak) evacuate(dataCentre string, begin bool) {
	if begin {
		s.history.Evacuations = append(s.history.Evacuations, Evacuation{DataCentre: dataCentre, From: s.site.Evacuate(dataCentre)})
		return
	}
	for i := range s.history.Evacuations {
		if e := &s.history.Evacuations[i]; e.DataCentre == dataCentre && e.To.IsZero() {
			e.To = s.site.Restore(dataCentre)
		}
	}
}

// checkEvacuations checks that no request started in an evacuated data centre, and that those that were restored have
// requests again after the plan.
func (h *History) checkEvacuations() []Finding {
	var out []Finding
	for _, e := range h.Evacuations {
		served := false
		for _, r := range h.Runs {
			if r.DataCentre != e.DataCentre {
				continue
			}
			served = served || r.StartedAt.After(h.PlanEnd.Add(recoveryTimeout))
			if !r.StartedAt.After(e.From) || !r.StartedAt.Before(e.To) {
				continue
			}
			after := r.StartedAt.Sub(e.From)
			inTime := after <= applyTimeout || !h.faultFree(e.From.Add(-settleTime), r.StartedAt)
			if !inTime || r.StartedAt.Sub(h.learnableFrom(e.From, r)) > evacuationTimeout {
				out = append(out, Finding{NoRunWhileEvacuated, r.ID, fmt.Sprintf("ran on %s %s after the evacuation of %s", r.Target, after, e.DataCentre)})
			}
		}
		if !served {
			out = append(out, Finding{Recovers, "", "the targets of " + e.DataCentre + " run no requests after its evacuation"})
		}
	}
	return out
}

// learnableFrom returns the time from which on the daemon beside the target of a run could learn what the store had at the
// given time: the end of the faults before the run that affected the daemon or its connections to peers and the store.
func (h *History) learnableFrom(from time.Time, r fake.Run) time.Time {
	vm := slices.Index(h.Targets, r.Address)
	for _, s := range h.Steps {
		affected := false
		switch a := s.Action.(type) {
		case StoreFault, StoreSlow:
			affected = true
		case FreezeDaemon:
			affected = a.VM == vm
		case Disturb:
			affected = a.VM == vm && a.Path != Target
		}
		begin, end := h.StartedAt.Add(s.At), h.StartedAt.Add(s.At+s.Duration)
		if affected && begin.Before(r.StartedAt) && end.After(from) {
			from = earlier(end, r.StartedAt)
		}
	}
	// Each process of a daemon has to learn it anew.
	for _, started := range h.Starts[vm] {
		if started.After(from) && started.Before(r.StartedAt) {
			from = started
		}
	}
	return from
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// targetAddresses returns the addresses of the targets, by VM.
func targetAddresses(nodes []*node) []netip.AddrPort {
	var out []netip.AddrPort
	for _, n := range nodes {
		out = append(out, n.vm.Target.Address)
	}
	return out
}
