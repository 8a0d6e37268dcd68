package soak

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"jacinthcross/platform/fake"
)

// start starts the targets, proxies and daemons and waits until all daemons are ready.
func (s *soak) start() error {
	for i := range s.config.VMs {
		service := services[i%len(services)]
		vm := s.site.AddVM(service, dataCentreOf(i), targetSlots, targetWorkTime)
		n, err := newNode(vm, i, s.site.Store.Address())
		if err != nil {
			return err
		}
		s.history.Services = append(s.history.Services, service)
		if s.config.CrashRequests {
			vm.Target.CrashPath, vm.Target.CrashDelay, vm.Target.RestartDelay = crashPath, crashDelay, crashRestartDelay
		}
		if err := vm.Target.Start(s.site.Store); err != nil {
			return err
		}
		if err := n.startDaemon(s.config.DaemonPath, s.config.Dir, s.inbox); err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
	}
	s.publishConfig()
	deadline := time.Now().Add(readyTimeout)
	for _, n := range s.nodes {
		for !n.ready() {
			if time.Now().After(deadline) {
				return errors.Timeoutf("wait for the daemon on VM %d to become ready:", n.number)
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

const (
	// The targets have enough slots and short enough requests to be idle most of the time, so that any refusal is
	// due to a fault rather than to load.
	targetSlots       = 8
	targetWorkTime    = 50 * time.Millisecond
	readyPollInterval = 20 * time.Millisecond
)

func (s *soak) stop() {
	for _, n := range s.nodes {
		n.stop()
	}
}

// publishConfig publishes a config version with one additional route, whose path prefix contains the version.
// Callers can thus tell by a request whether a daemon has applied the version.
func (s *soak) publishConfig() {
	version := len(s.history.Published) + 1
	route := baseRoutes[0]
	route.Name, route.Prefix = fmt.Sprintf("version-%d", version), versionPrefix(version)
	s.routes = append(s.routes, route)
	s.site.PublishConfig(services, s.routes...)
	s.history.Published[version] = time.Now()
	s.newestVersion.version.Store(int64(version))
}

func versionPrefix(version int) string { return fmt.Sprintf("/version/%d/", version) }

// apply begins or ends an action.
func (s *soak) apply(a Action, begin bool) {
	switch a := a.(type) {
	case StopDaemon:
		s.sendCommand(a.VM, begin, commandStop, "")
	case KillDaemon:
		s.sendCommand(a.VM, begin, commandKill, "")
	case FreezeDaemon:
		s.sendCommand(a.VM, begin, commandPause, commandContinue)
	case ReloadDaemon:
		s.sendCommand(a.VM, begin, commandReload, "")
	case Disturb:
		s.nodes[a.VM].proxies[a.Path].setEffect(a.Effect, begin)
	case StoreFault:
		if !begin {
			a.Fault = fake.NoFault
		}
		s.site.Store.SetFault(a.Fault)
	case StoreSlow:
		if !begin {
			a.Delay = 0
		}
		s.site.Store.SetDelay(a.Delay)
	case StoreCompact:
		s.site.Store.DropHistory()
	case StoreRestore:
		s.restoreStore(a.Age, begin)
	case TargetFault:
		if !begin {
			a.Mode = fake.Healthy
		}
		s.nodes[a.VM].vm.Target.SetMode(a.Mode)
	case TargetSlow:
		if !begin {
			a.Percent = 100
		}
		s.nodes[a.VM].vm.Target.SetSlowness(a.Percent)
	case TargetCrash, ReplaceTarget:
		s.replaceTarget(a, begin)
	case EvacuateDataCentre:
		s.evacuate(a.DataCentre, begin)
	case ChangeConfig:
		if begin {
			s.publishConfig()
		}
	}
}

// sendCommand sends onBegin or onEnd to the daemon of a VM. An empty command is skipped.
func (s *soak) sendCommand(vm int, begin bool, onBegin, onEnd command) {
	c := onBegin
	if !begin {
		c = onEnd
	}
	if c == "" {
		return
	}
	select {
	case s.nodes[vm].commands <- c:
	case <-s.nodes[vm].ended:
	}
}

// replaceTarget begins or ends the replacement of a target. At the beginning the target crashes or starts to drain; at
// the end another target is started at the same address.
func (s *soak) replaceTarget(a Action, begin bool) {
	var n *node
	drains := false
	switch a := a.(type) {
	case TargetCrash:
		n = s.nodes[a.VM]
	case ReplaceTarget:
		n, drains = s.nodes[a.VM], true
	default:
		return
	}
	old := n.vm.Target
	switch {
	case begin && drains:
		s.history.DrainStarted[old.ID] = time.Now()
		old.Drain()
		return
	case begin:
		old.Crash()
		return
	case drains:
		old.Crash()
	}
	old.Unregister()
	s.retiredTargets = append(s.retiredTargets, old)
	n.vm.Target = &fake.Target{
		ID: fmt.Sprintf("%s-%d", old.ID, len(s.retiredTargets)), Service: old.Service, DataCentre: old.DataCentre, Address: old.Address, EntryAddress: old.EntryAddress,
		Slots: old.Slots, WorkTime: old.WorkTime, CrashPath: old.CrashPath, CrashDelay: old.CrashDelay, RestartDelay: old.RestartDelay,
	}
	if err := n.vm.Target.Start(s.site.Store); err != nil {
		s.history.Errors = append(s.history.Errors, err)
	}
}
