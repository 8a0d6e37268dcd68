package soak

import (
	"math/rand/v2"
	"slices"
	"time"

	"jacinthcross/platform/fake"
)

// An Action is a fault or a planned change.
type Action interface{ action() }

// A StopDaemon sends SIGTERM to a daemon. It is started again when it has exited.
type StopDaemon struct{ VM int }

// A KillDaemon sends SIGKILL to a daemon. It is started again.
type KillDaemon struct{ VM int }

// A FreezeDaemon sends SIGSTOP to a daemon, and SIGCONT when the step ends.
type FreezeDaemon struct{ VM int }

// A ReloadDaemon sends SIGHUP to a daemon.
type ReloadDaemon struct{ VM int }

// A Disturb applies an Effect to all of a VM's connections of one kind.
type Disturb struct {
	VM     int
	Path   ConnectionKind
	Effect Effect
}

// A StoreFault makes the store fail for all VMs.
type StoreFault struct{ Fault fake.Fault }

// A StoreSlow delays all responses of the store.
type StoreSlow struct{ Delay time.Duration }

// A StoreCompact discards the change history of the store.
type StoreCompact struct{}

// A StoreRestore restores the store from a copy that is at least Age old, or from the oldest one. When the step ends, the
// targets and the operators write again.
type StoreRestore struct{ Age time.Duration }

// A TargetFault changes how a target responds.
type TargetFault struct {
	VM   int
	Mode fake.Mode
}

// A TargetSlow sets the processing time of a target to a percentage of the normal one.
type TargetSlow struct{ VM, Percent int }

// A TargetCrash stops a target at once. When the step ends another one is started at the same address.
type TargetCrash struct{ VM int }

// A ReplaceTarget drains a target. When the step ends it is stopped and another one is started at the same address.
type ReplaceTarget struct{ VM int }

// A ChangeConfig publishes a config with one additional route.
type ChangeConfig struct{}

func (StopDaemon) action()    {}
func (KillDaemon) action()    {}
func (FreezeDaemon) action()  {}
func (ReloadDaemon) action()  {}
func (Disturb) action()       {}
func (StoreFault) action()    {}
func (StoreSlow) action()     {}
func (StoreCompact) action()  {}
func (StoreRestore) action()  {}
func (TargetFault) action()   {}
func (TargetSlow) action()    {}
func (TargetCrash) action()   {}
func (ReplaceTarget) action() {}
func (ChangeConfig) action()  {}

// A ConnectionKind is a kind of connection that passes through a proxy. Its values appear in printed plans and must not change.
type ConnectionKind string

const (
	// Peers are the connections from other daemons to the daemon of a VM.
	Peers ConnectionKind = "Peers"
	// Target are the connections from the daemon to its target.
	Target ConnectionKind = "Target"
	// Store are the connections from the daemon to the store.
	Store ConnectionKind = "Store"
)

// An Effect is a fault that a proxy injects into connections. Its values appear in printed plans and must not change.
type Effect string

const (
	// Delayed resets the open connections and delays both directions of new ones by addedDelay.
	Delayed Effect = "Delayed"
	// ResetConnections resets the open connections.
	ResetConnections Effect = "Reset"
	// BlockedToClient holds back all bytes to the side that opened the connection.
	BlockedToClient Effect = "OneWay"
	// Silenced keeps the open connections open, but carries no more bytes on them.
	Silenced Effect = "Silenced"
	// Refused closes the open connections, and new ones as soon as they are accepted.
	Refused Effect = "Refused"
)

// A Step is an action with its start, as an offset from the start of the plan, and its duration.
type Step struct {
	At       time.Duration
	Duration time.Duration
	Action   Action
}

const (
	// meanStepInterval is the mean time between the starts of two steps. Given the durations of steps, four or five
	// are active at a time.
	meanStepInterval = 350 * time.Millisecond
	// plannedFraction is the fraction of a plan, from its start, that has planned actions only. No connection may be
	// lost in it.
	plannedFraction = 0.4
	minStepDuration = 100 * time.Millisecond
	maxStepDuration = 3 * time.Second
	// targetDrainTime is the time from the start of a drain until the target stops. The platform allows callers 2 s
	// to stop sending to a draining target.
	targetDrainTime = 3 * time.Second
)

// NewPlan returns the steps for a seed and a number of VMs. All steps end within length.
func NewPlan(seed uint64, vms int, length time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, 0))
	var steps []Step
	busyUntil := map[int]time.Duration{}
	for at := time.Duration(0); ; {
		at += time.Duration(r.ExpFloat64() * float64(meanStepInterval))
		duration := minStepDuration + time.Duration(r.Int64N(int64(maxStepDuration-minStepDuration)))
		if at+duration > length {
			break
		}
		planned := float64(at) < plannedFraction*float64(length)
		action := unplannedAction(r, vms)
		if planned {
			action = plannedAction(r, vms)
		}
		if v, ok := action.(ReplaceTarget); ok {
			duration = targetDrainTime
			// Skip a target that is already being replaced, and a drain that would not end within the plan.
			if at < busyUntil[v.VM] || at+duration > length {
				continue
			}
			busyUntil[v.VM] = at + duration
		}
		if v, ok := action.(TargetCrash); ok {
			if at < busyUntil[v.VM] {
				continue
			}
			busyUntil[v.VM] = at + duration
		}
		steps = append(steps, Step{At: at, Duration: duration, Action: action})
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return int(a.At - b.At) })
	return steps
}

const (
	// meanRestoreInterval is the mean time between two restores of the store.
	meanRestoreInterval = 2500 * time.Millisecond
	// Targets write their entries again within about two seconds after a restore.
	minRestoreDuration = 200 * time.Millisecond
	maxRestoreDuration = 1800 * time.Millisecond
	minCopyAge         = 2 * time.Second
	maxCopyAge         = 6 * time.Second
)

// withRestores adds restores of the store to the unplanned part of a plan. They are drawn independently, so that the other
// steps of a seed stay the same.
func withRestores(steps []Step, seed uint64, length time.Duration) []Step {
	r := rand.New(rand.NewPCG(seed, 1))
	for at := time.Duration(plannedFraction * float64(length)); ; {
		at += time.Duration(r.ExpFloat64() * float64(meanRestoreInterval))
		duration := minRestoreDuration + time.Duration(r.Int64N(int64(maxRestoreDuration-minRestoreDuration)))
		age := minCopyAge + time.Duration(r.Int64N(int64(maxCopyAge-minCopyAge)))
		if at+duration > length {
			break
		}
		steps = append(steps, Step{At: at, Duration: duration, Action: StoreRestore{age}})
		at += duration
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
		return Disturb{vm, pick(r, Peers, Target, Store), pick(r, Delayed, ResetConnections, BlockedToClient, Silenced, Refused)}
	case 6:
		return StoreFault{pick(r, fake.Busy, fake.Reset, fake.Silent)}
	case 7:
		return StoreSlow{time.Duration(r.IntN(500)) * time.Millisecond}
	case 8:
		return StoreCompact{}
	case 9, 10, 11:
		return TargetFault{vm, pick(r, fake.Failing, fake.Shedding, fake.Hanging, fake.ResetAfterRun, fake.TruncatedBody, fake.ExtraResponse, fake.StaleResponse, fake.WithoutStamp)}
	case 12:
		return TargetSlow{vm, 200 + r.IntN(1000)}
	case 13, 14:
		return TargetCrash{vm}
	default:
		return plannedAction(r, vms)
	}
}

func pick[T any](r *rand.Rand, choices ...T) T { return choices[r.IntN(len(choices))] }

// isPlanned reports whether an action is a planned change, during which no request may be lost.
func isPlanned(a Action) bool {
	switch a.(type) {
	case StopDaemon, ReloadDaemon, ReplaceTarget, ChangeConfig, EvacuateDataCentre:
		return true
	case KillDaemon, FreezeDaemon, Disturb, StoreFault, StoreSlow, StoreCompact, StoreRestore, TargetFault, TargetSlow, TargetCrash:
	}
	return false
}
