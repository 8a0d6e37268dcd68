// Package soak runs daemon processes against a simulation of the platform on which the daemons run (package
// platform/fake), injects faults according to a seeded plan, and checks that callers and targets observe what the
// daemons guarantee.
package soak

import (
	"cmp"
	"slices"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/mail"
	"jacinthcross/platform/fake"
)

// A Config configures a soak.
type Config struct {
	// DaemonPath is the path of the daemon executable.
	DaemonPath string
	// Dir is the directory for settings and logs.
	Dir  string
	Seed uint64
	VMs  int
	// Length is the length of the plan. All steps end within it.
	Length time.Duration
	// CrashRequests makes callers send a request that crashes each target which runs it.
	CrashRequests bool
	// Evacuations adds steps to the plan that evacuate data centres.
	Evacuations bool
	// StoreRestores adds restores of the store from older copies to the plan.
	StoreRestores bool
}

// Check returns an error if the Config is invalid.
func (c Config) Check() error {
	if c.VMs < minVMs || c.VMs > maxVMs {
		return errors.NotValidf("%d VMs (want %d to %d)", c.VMs, minVMs, maxVMs)
	}
	if c.Length < minLength {
		return errors.NotValidf("length %s (want at least %s)", c.Length, minLength)
	}
	return nil
}

const (
	// minVMs gives each service two targets.
	minVMs = 4
	// maxVMs limits the number of processes on one machine.
	maxVMs    = 300
	minLength = 2 * maxStepDuration
	// readyTimeout limits the time in which all daemons have to become ready.
	readyTimeout = 30 * time.Second
	// callTimeAfterPlan is how long callers continue after the end of the plan: recoveryTimeout and 3 s in which
	// checkRecovery counts requests.
	callTimeAfterPlan = recoveryTimeout + 3*time.Second
)

// baseRoutes are the routes of all config versions.
var baseRoutes = []fake.Route{
	{
		Name: "read", Host: host, Prefix: "/read/", Timeout: time.Second, TargetLatency: 300 * time.Millisecond, Priority: 1, Attempts: 3,
		Weights: map[string]int{"catalogue": 1},
	},
	{
		Name: "book", Host: host, Prefix: "/book/", Unsafe: true, Timeout: 1200 * time.Millisecond, TargetLatency: 400 * time.Millisecond, Attempts: 2,
		Weights: map[string]int{"bookings": 1},
	},
}

const host = "shop.example"

var services = []string{"catalogue", "bookings"}

// A stepEvent is the beginning or the end of a step.
type stepEvent struct {
	step  Step
	begin bool
}

// A soak owns the deployment for a Config and records its History.
type soak struct {
	config        Config
	site          *fake.Site
	nodes         []*node
	inbox         *mail.Box[message]
	history       *History
	routes        []fake.Route
	newestVersion *newestVersion
	// retiredTargets are the targets that were replaced. They keep the records of their runs.
	retiredTargets []*fake.Target
	// copies are copies of the store, the oldest first.
	copies []storeCopy
}

// Run runs a soak and returns its findings.
func Run(c Config) ([]Finding, *History, error) {
	if err := c.Check(); err != nil {
		return nil, nil, err
	}
	site, err := fake.NewSite()
	if err != nil {
		return nil, nil, err
	}
	defer site.Close()
	s := &soak{
		config: c, site: site, inbox: mail.NewBox[message](inboxSize), routes: slices.Clone(baseRoutes), newestVersion: &newestVersion{},
		history: &History{Starts: map[int]map[int]time.Time{}, Published: map[int]time.Time{}, DrainStarted: map[string]time.Time{}},
	}
	defer s.stop()
	if err := s.start(); err != nil {
		return nil, nil, err
	}
	plan := NewPlan(c.Seed, c.VMs, c.Length)
	if c.Evacuations {
		plan = withEvacuations(plan, c.Seed, c.Length)
	}
	if c.StoreRestores {
		plan = withRestores(plan, c.Seed, c.Length)
	}
	s.history.Targets = targetAddresses(s.nodes)
	s.execute(plan)
	if len(s.history.Errors) > 0 {
		return nil, nil, errors.Annotate(s.history.Errors[0], "start a target that replaces another")
	}
	return s.history.Check(), s.history, nil
}

// execute carries out a plan while callers send requests, and records the events.
func (s *soak) execute(plan []Step) {
	h := s.history
	h.StartedAt, h.Steps = time.Now(), plan
	stopping := make(chan struct{})
	defer close(stopping)
	go func() {
		for _, e := range schedule(plan) {
			select {
			case <-time.After(time.Until(h.StartedAt.Add(e.at()))):
				s.inbox.Put(e, stopping)
			case <-stopping:
				return
			}
		}
	}()
	h.PlanEnd = h.StartedAt.Add(s.config.Length)
	callers := newCallers(s.nodes, s.newestVersion, s.config.Seed, s.inbox)
	if s.config.CrashRequests {
		callers.startCrashCallers(s.nodes, s.config.Length, s.inbox)
	}
	stopTimer := time.After(time.Until(h.PlanEnd.Add(callTimeAfterPlan)))
	callersStopped := make(chan struct{})
	for {
		select {
		case m := <-s.inbox.C():
			s.receive(m)
		case <-stopTimer:
			stopTimer = nil
			go func() {
				defer close(callersStopped)
				callers.stop()
			}()
		case <-callersStopped:
			s.collectRemaining()
			return
		}
	}
}

// collectRemaining records the messages that are still in the mailbox, and the runs of all targets.
func (s *soak) collectRemaining() {
	for {
		select {
		case m := <-s.inbox.C():
			s.receive(m)
			continue
		default:
		}
		break
	}
	for _, n := range s.nodes {
		s.retiredTargets = append(s.retiredTargets, n.vm.Target)
	}
	for _, t := range s.retiredTargets {
		s.history.Runs = append(s.history.Runs, t.Runs()...)
		s.history.Crashes = append(s.history.Crashes, t.Crashes()...)
	}
}

func (s *soak) receive(m message) {
	switch m := m.(type) {
	case Call:
		s.history.Calls = append(s.history.Calls, m)
	case CrashCall:
		s.history.CrashCalls = append(s.history.CrashCalls, m)
	case Exit:
		s.history.Exits = append(s.history.Exits, m)
	case processStarted:
		if s.history.Starts[m.vm] == nil {
			s.history.Starts[m.vm] = map[int]time.Time{}
		}
		s.history.Starts[m.vm][m.process] = m.at
	case stepEvent:
		if s.config.StoreRestores {
			s.copies = append(s.copies, storeCopy{time.Now(), s.site.Store.Copy()})
		}
		s.apply(m.step.Action, m.begin)
	}
}

func (e stepEvent) at() time.Duration {
	if e.begin {
		return e.step.At
	}
	return e.step.At + e.step.Duration
}

// schedule returns the beginnings and ends of the steps in order of time.
func schedule(plan []Step) []stepEvent {
	var out []stepEvent
	for _, s := range plan {
		out = append(out, stepEvent{s, true}, stepEvent{s, false})
	}
	slices.SortStableFunc(out, func(a, b stepEvent) int { return cmp.Compare(a.at(), b.at()) })
	return out
}
