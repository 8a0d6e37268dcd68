package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"jacinthcross/platform/fake"
)

// An Action is a fault or a change.
type Action interface{ action() }

// A StopDaemon sends SIGTERM. The daemon is started again when it has ended.
type StopDaemon struct{ VM int }

// A KillDaemon sends SIGKILL. The daemon is started again.
type KillDaemon struct{ VM int }

// A FreezeDaemon sends SIGSTOP, and SIGCONT at its end.
type FreezeDaemon struct{ VM int }

// A ReloadDaemon sends SIGHUP.
type ReloadDaemon struct{ VM int }

// A Disturb harms the connections to a VM, or from it to the store.
type Disturb struct {
	VM     int
	Path   Path
	Effect Effect
}

// A StoreFault is a fault of the store for all VMs.
type StoreFault struct{ Fault fake.Fault }

// A StoreSlow delays all answers of the store.
type StoreSlow struct{ Delay time.Duration }

// A StoreCompact drops the history of the store.
type StoreCompact struct{}

// A TargetFault changes how a target answers.
type TargetFault struct {
	VM   int
	Mode fake.Mode
}

// A TargetSlow changes how long a target works, in percent.
type TargetSlow struct{ VM, Percent int }

// A TargetCrash ends a target, and starts another one at its address at its end.
type TargetCrash struct{ VM int }

// A ReplaceTarget drains a target, and starts another one at its address at its end.
type ReplaceTarget struct{ VM int }

// A ChangeConfig publishes a config with one more route.
type ChangeConfig struct{}

func (StopDaemon) action()    {}
func (KillDaemon) action()    {}
func (FreezeDaemon) action()  {}
func (ReloadDaemon) action()  {}
func (Disturb) action()       {}
func (StoreFault) action()    {}
func (StoreSlow) action()     {}
func (StoreCompact) action()  {}
func (TargetFault) action()   {}
func (TargetSlow) action()    {}
func (TargetCrash) action()   {}
func (ReplaceTarget) action() {}
func (ChangeConfig) action()  {}

// A Path is where connections run through a relay.
type Path string

// The paths.
const (
	// Peers is from other daemons to the daemon of a VM, Target from that daemon to its target, Store to the store.
	Peers  Path = "Peers"
	Target Path = "Target"
	Store  Path = "Store"
)

// An Effect is what a relay does to connections.
type Effect string

// The effects.
const (
	Delayed  Effect = "Delayed"
	Reset    Effect = "Reset"
	OneWay   Effect = "OneWay"
	Silenced Effect = "Silenced"
	Refused  Effect = "Refused"
)

// A Step is an action, when it begins and for how long it holds.
type Step struct {
	At     time.Duration
	For    time.Duration
	Action Action
}

const (
	// stepGap is the mean time between the beginnings of two steps: with the times for which steps hold, four or
	// five overlap.
	stepGap = 350 * time.Millisecond
	// plannedShare is the part of a plan that has planned work only, in which no connection may be lost.
	plannedShare = 0.4
	minHold      = 100 * time.Millisecond
	maxHold      = 3 * time.Second
	// leaveTime is how long a target that leaves lives on: the platform gives its callers 2 s.
	leaveTime = 3 * time.Second
)

// NewPlan returns the steps of a seed for a number of VMs. They end within length.
func NewPlan(seed uint64, vms int, length time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, 0))
	var steps []Step
	busy := map[int]time.Duration{}
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() * float64(stepGap))
		hold := minHold + time.Duration(r.Int64N(int64(maxHold-minHold)))
		if at+hold > length {
			break
		}
		planned := float64(at) < plannedShare*float64(length)
		action := unplannedAction(r, vms)
		if planned {
			action = plannedAction(r, vms)
		}
		if v, ok := action.(ReplaceTarget); ok {
			hold = leaveTime
			// A target that leaves already, or would be the last of the plan, is left alone.
			if at < busy[v.VM] || at+hold > length {
				continue
			}
			busy[v.VM] = at + hold
		}
		if v, ok := action.(TargetCrash); ok {
			if at < busy[v.VM] {
				continue
			}
			busy[v.VM] = at + hold
		}
		steps = append(steps, Step{At: at, For: hold, Action: action})
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}

func plannedAction(r *rand.Rand, vms int) Action {
	switch r.IntN(6) {
	case 0, 1:
		return StopDaemon{r.IntN(vms)}
	case 2:
		return ReloadDaemon{r.IntN(vms)}
	case 3:
		return ReplaceTarget{r.IntN(vms)}
	default:
		return ChangeConfig{}
	}
}

func unplannedAction(r *rand.Rand, vms int) Action {
	vm := r.IntN(vms)
	switch r.IntN(16) {
	case 0:
		return KillDaemon{vm}
	case 1:
		return FreezeDaemon{vm}
	case 2, 3, 4, 5:
		return Disturb{vm, pick(r, Peers, Target, Store), pick(r, Delayed, Reset, OneWay, Silenced, Refused)}
	case 6:
		return StoreFault{pick(r, fake.Busy, fake.Reset, fake.Silent)}
	case 7:
		return StoreSlow{time.Duration(r.IntN(500)) * time.Millisecond}
	case 8:
		return StoreCompact{}
	case 9, 10, 11:
		return TargetFault{vm, pick(r, fake.Failing, fake.Shedding, fake.Hanging, fake.Losing, fake.Cutting, fake.Doubling, fake.Trailing, fake.Unstamped)}
	case 12:
		return TargetSlow{vm, 200 + r.IntN(1000)}
	case 13, 14:
		return TargetCrash{vm}
	default:
		return plannedAction(r, vms)
	}
}

func pick[T any](r *rand.Rand, of ...T) T { return of[r.IntN(len(of))] }

// isPlanned reports whether an action is planned work, which excuses no lost request.
func isPlanned(a Action) bool {
	switch a.(type) {
	case StopDaemon, ReloadDaemon, ReplaceTarget, ChangeConfig:
		return true
	case KillDaemon, FreezeDaemon, Disturb, StoreFault, StoreSlow, StoreCompact, TargetFault, TargetSlow, TargetCrash:
	}
	return false
}
