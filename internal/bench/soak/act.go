package soak

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"jacinthcross/platform/fake"
)

// start starts the targets, the relays and the daemons, and waits until these are ready.
func (s *soak) start() error {
	for i := range s.config.VMs {
		service := services[i%len(services)]
		vm := s.site.Add(service, fmt.Sprintf("d%d", i/2%2), slots, workTime)
		n, err := newNode(vm, i, s.site.Store.Address())
		if err != nil {
			return err
		}
		s.history.Services = append(s.history.Services, service)
		if err := vm.Target.Start(s.site.Store); err != nil {
			return err
		}
		if err := n.run(s.config.Program, s.config.Folder, s.inbox); err != nil {
			return err
		}
		s.nodes = append(s.nodes, n)
	}
	s.publish()
	until := time.Now().Add(readyTime)
	for _, n := range s.nodes {
		for !n.ready() {
			if time.Now().After(until) {
				return errors.Timeoutf("start of the daemon on VM %d", n.number)
			}
			time.Sleep(readyGap)
		}
	}
	return nil
}

const (
	// slots and workTime leave the targets idle for most of the time, so that refusals are due to faults.
	slots    = 8
	workTime = 50 * time.Millisecond
	readyGap = 20 * time.Millisecond
)

func (s *soak) stop() {
	for _, n := range s.nodes {
		n.stop()
	}
}

// publish publishes a config with one more route, whose prefix names the number of the config.
func (s *soak) publish() {
	number := len(s.history.Published) + 1
	route := routes[0]
	route.Name, route.Prefix = fmt.Sprintf("version-%d", number), versionPrefix(number)
	s.routes = append(s.routes, route)
	s.site.Publish(services, s.routes...)
	s.history.Published[number] = time.Now()
	s.newest.number.Store(int64(number))
}

func versionPrefix(number int) string { return fmt.Sprintf("/version/%d/", number) }

// act begins or ends an action.
func (s *soak) act(a Action, begin bool) {
	switch a := a.(type) {
	case StopDaemon:
		s.ask(a.VM, begin, askStop, "")
	case KillDaemon:
		s.ask(a.VM, begin, askKill, "")
	case FreezeDaemon:
		s.ask(a.VM, begin, askFreeze, askThaw)
	case ReloadDaemon:
		s.ask(a.VM, begin, askReload, "")
	case Disturb:
		s.nodes[a.VM].relays[a.Path].set(a.Effect, begin)
	case StoreFault:
		if !begin {
			a.Fault = fake.None
		}
		s.site.Store.SetFault(a.Fault)
	case StoreSlow:
		if !begin {
			a.Delay = 0
		}
		s.site.Store.SetDelay(a.Delay)
	case StoreCompact:
		s.site.Store.Compact()
	case TargetFault:
		if !begin {
			a.Mode = fake.Good
		}
		s.nodes[a.VM].vm.Target.SetMode(a.Mode)
	case TargetSlow:
		if !begin {
			a.Percent = 100
		}
		s.nodes[a.VM].vm.Target.SetSlowness(a.Percent)
	case TargetCrash, ReplaceTarget:
		s.replace(a, begin)
	case ChangeConfig:
		if begin {
			s.publish()
		}
	}
}

func (s *soak) ask(vm int, begin bool, first, last ask) {
	a := first
	if !begin {
		a = last
	}
	if a == "" {
		return
	}
	select {
	case s.nodes[vm].asks <- a:
	case <-s.nodes[vm].ended:
	}
}

// replace ends a target, at once or after it has left, and starts another one at its address.
func (s *soak) replace(a Action, begin bool) {
	var n *node
	leaves := false
	switch a := a.(type) {
	case TargetCrash:
		n = s.nodes[a.VM]
	case ReplaceTarget:
		n, leaves = s.nodes[a.VM], true
	default:
		return
	}
	old := n.vm.Target
	switch {
	case begin && leaves:
		s.history.Left[old.ID] = time.Now()
		old.Drain()
		return
	case begin:
		old.Stop()
		return
	case leaves:
		old.Stop()
	}
	old.Unregister()
	s.gone = append(s.gone, old)
	n.vm.Target = &fake.Target{
		ID: fmt.Sprintf("%s-%d", old.ID, len(s.gone)), Service: old.Service, DataCentre: old.DataCentre, At: old.At, Entry: old.Entry,
		Slots: old.Slots, Work: old.Work,
	}
	if err := n.vm.Target.Start(s.site.Store); err != nil {
		s.history.Failed = append(s.history.Failed, err)
	}
}
