package setup

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"time"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"

	"jacinthcross/internal/base/ident"
)

// A Balancer chooses the target of each call.
type Balancer string

// The balancers. All but Daemon are baselines, in which jcbench calls the targets directly.
const (
	Daemon Balancer = "Daemon"
	// Random chooses a random target.
	Random Balancer = "Random"
	// RoundRobin chooses the targets in turn.
	RoundRobin Balancer = "RoundRobin"
	// StaleLeast chooses the target with the fewest calls in flight according to outdated load reports.
	StaleLeast Balancer = "StaleLeast"
	// Oracle chooses the target with the fewest calls in flight at the moment.
	Oracle Balancer = "Oracle"
)

// Balancers lists all balancers.
func Balancers() []Balancer { return []Balancer{Daemon, Random, RoundRobin, StaleLeast, Oracle} }

// A FaultKind names the effect of a fault.
type FaultKind string

// The kinds of faults.
const (
	// SlowTarget multiplies the service times of a target by Factor.
	SlowTarget FaultKind = "SlowTarget"
	// DrainTarget makes a target shed all new calls.
	DrainTarget FaultKind = "DrainTarget"
	// CrashTarget crashes a target. It is started again.
	CrashTarget FaultKind = "CrashTarget"
	// WithdrawTarget publishes a release note that withdraws a target.
	WithdrawTarget FaultKind = "WithdrawTarget"
	// StopDaemon stops a daemon gracefully. It is not started again.
	StopDaemon FaultKind = "StopDaemon"
	// RestartDaemon stops a daemon gracefully. It is started again.
	RestartDaemon FaultKind = "RestartDaemon"
	// KillDaemon kills a daemon. It is started again.
	KillDaemon FaultKind = "KillDaemon"
	// SilenceLinks makes the open connections from other daemons to a daemon silent: they carry no more bytes.
	SilenceLinks FaultKind = "SilenceLinks"
	// ConfigDown makes the configuration service unavailable. ConfigNormal ends ConfigDown.
	ConfigDown   FaultKind = "ConfigDown"
	ConfigNormal FaultKind = "ConfigNormal"
)

func faultKinds() []FaultKind {
	return []FaultKind{
		SlowTarget, DrainTarget, CrashTarget, WithdrawTarget, StopDaemon, RestartDaemon, KillDaemon,
		SilenceLinks, ConfigDown, ConfigNormal,
	}
}

// A Fault is injected at a time after the start of the load. Target is the name of a target; for a fault of a daemon,
// that of the target beside it.
type Fault struct {
	At     time.Duration
	Kind   FaultKind
	Target string
	// Factor multiplies the service times (SlowTarget only).
	Factor float64
}

// A Load is a stream of calls with exponentially distributed gaps.
type Load struct {
	Name    string
	Service string
	Rate    float64
	From    time.Duration
	Until   time.Duration
	// Resends is the maximum number of times that a caller resends a call that was refused or whose outcome is unknown.
	Resends int
	// Lost is the share of answers that are lost on the way, so that the caller resends the call.
	Lost float64
	// Patience is the timeout of one send, after which the caller resends. Zero means the deadline.
	Patience time.Duration
	// Deadline is the timeout of a call with all its sends. Later answers do not count as good.
	Deadline time.Duration
}

// A Scenario is an experiment: a deployment, the loads on it and the faults to inject.
type Scenario struct {
	Name      string
	Layout    Layout
	Seed      uint64
	WarmUp    time.Duration
	Balancers []Balancer
	Loads     []Load
	Faults    []Fault
	Noise     NoiseConfig
	Cold      ColdStartConfig
	// ShedAbove is the number of queued calls at which a target sheds an arriving call, or 0 for never.
	ShedAbove int
}

// Duration returns the time from the start of the load to its end.
func (s *Scenario) Duration() time.Duration {
	var end time.Duration
	for _, l := range s.Loads {
		end = max(end, l.Until)
	}
	return end
}

// A NoiseConfig configures a noisy neighbour for every target: in a Share of all periods, service times are multiplied
// by Factor.
type NoiseConfig struct {
	Period Duration
	Share  float64
	Factor float64
}

// A ColdStartConfig configures the cold start of targets: for Time after a restart, service times are multiplied by
// Factor. The first start of a target is not cold.
type ColdStartConfig struct {
	Time   Duration
	Factor float64
}

// A Duration is a duration in a scenario file, such as "20ms".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Duration) UnmarshalText(text []byte) error {
	d, err := time.ParseDuration(string(text))
	if err != nil || d < 0 {
		return errors.NotValidf("duration %q (want one such as \"20ms\")", text)
	}
	*s = Duration(d)
	return nil
}

// scenarioFile is the TOML document of a scenario.
type scenarioFile struct {
	Name       string
	Deployment string
	Seed       uint64
	WarmUp     Duration
	Duration   Duration
	Balancers  []Balancer
	// ClientDelay and OpenDelay apply to all balancers of a run, so that their results are comparable.
	ClientDelay Duration
	OpenDelay   Duration
	// Chain is the number of services that a call to the first service of the deployment passes through, or 0 for no
	// chain.
	Chain int
	// ShedAbove is the number of queued calls at which a target sheds an arriving call, or 0 for never.
	ShedAbove int
	Noise     NoiseConfig
	Cold      ColdStartConfig
	Service   []struct {
		Name   string
		Median Duration
		Sigma  float64
	}
	Load []struct {
		Name     string
		Service  string
		Rate     float64
		From     Duration
		Until    Duration
		Deadline Duration
		Patience Duration
		Lost     float64
		Resends  int
	}
	Fault []struct {
		At     Duration
		Kind   FaultKind
		Target string
		Factor float64
	}
}

// ReadScenario reads and validates a scenario file.
func ReadScenario(path string) (*Scenario, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "read scenario")
	}
	s, err := ParseScenario(text)
	return s, errors.Annotatef(err, "%s", path)
}

// defaultDeadline applies to loads without a Deadline.
const defaultDeadline = 2 * time.Second

// ParseScenario decodes and validates a scenario.
func ParseScenario(text []byte) (*Scenario, error) {
	var f scenarioFile
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return nil, errors.NewNotValid(err, "scenario")
	}
	s := &Scenario{
		Name: f.Name, Seed: f.Seed, WarmUp: time.Duration(f.WarmUp), Balancers: f.Balancers,
		Noise: f.Noise, Cold: f.Cold, ShedAbove: f.ShedAbove,
	}
	switch f.Deployment {
	case "Perizia":
		s.Layout = Perizia()
	case "Clachan":
		s.Layout = Clachan()
	default:
		return nil, errors.NotValidf("Deployment %q (want Perizia or Clachan)", f.Deployment)
	}
	s.Layout.ClientDelay, s.Layout.OpenDelay = time.Duration(f.ClientDelay), time.Duration(f.OpenDelay)
	if err := f.applyServices(s); err != nil {
		return nil, err
	}
	if err := f.applyLoads(s); err != nil {
		return nil, err
	}
	return s, f.applyFaults(s)
}

func (f *scenarioFile) applyServices(s *Scenario) error {
	for _, c := range f.Service {
		found := false
		for i := range s.Layout.Services {
			if v := &s.Layout.Services[i]; v.Name == c.Name {
				v.Median, v.Sigma, found = time.Duration(c.Median), c.Sigma, true
			}
		}
		if !found {
			return errors.NotValidf("Service %q (the deployment has no such service)", c.Name)
		}
	}
	if f.Chain == 1 || f.Chain < 0 {
		return errors.NotValidf("Chain %d (want 0 or at least 2)", f.Chain)
	}
	for level := 2; level <= f.Chain; level++ {
		name := fmt.Sprintf("level-%d", level)
		previous := &s.Layout.Services[0]
		if level > 2 {
			previous = &s.Layout.Services[len(s.Layout.Services)-1]
		}
		previous.Next = name
		s.Layout.Services = append(s.Layout.Services, Service{
			Name: name, Targets: 2, Slots: previous.Slots, Rank: ident.Normal,
			Median: 2 * time.Millisecond, Sigma: 0.3,
		})
	}
	known := Balancers()
	for _, b := range s.Balancers {
		if !slices.Contains(known, b) {
			return errors.NotValidf("balancer %q in Balancers (want one of %v)", b, known)
		}
		if f.Chain > 0 && b != Daemon {
			return errors.NotValidf("Balancers %q with Chain (want only Daemon, because targets call each other through daemons)", b)
		}
	}
	if len(s.Balancers) == 0 {
		return errors.NotValidf("scenario without Balancers")
	}
	return nil
}

func (f *scenarioFile) applyLoads(s *Scenario) error {
	for _, l := range f.Load {
		if _, ok := s.Layout.Service(l.Service); !ok {
			return errors.NotValidf("Load for unknown service %q", l.Service)
		}
		if l.Rate <= 0 {
			return errors.NotValidf("Load for service %q: Rate %v (want more than 0)", l.Service, l.Rate)
		}
		v := Load{
			Name: l.Name, Service: l.Service, Rate: l.Rate, From: time.Duration(l.From), Until: time.Duration(l.Until),
			Resends: l.Resends, Lost: l.Lost, Patience: time.Duration(l.Patience), Deadline: time.Duration(l.Deadline),
		}
		if v.Name == "" {
			v.Name = l.Service
		}
		if v.Until == 0 {
			v.Until = time.Duration(f.Duration)
		}
		if v.Deadline == 0 {
			v.Deadline = defaultDeadline
		}
		if v.From >= v.Until {
			return errors.NotValidf("Load %q: From %v, Until %v (want From before Until)", v.Name, v.From, v.Until)
		}
		s.Loads = append(s.Loads, v)
	}
	if len(s.Loads) == 0 {
		return errors.NotValidf("scenario without Load")
	}
	return nil
}

func (f *scenarioFile) applyFaults(s *Scenario) error {
	names := map[string]bool{}
	for _, p := range s.Layout.Placements() {
		names[p.Target] = true
	}
	for _, v := range f.Fault {
		if !slices.Contains(faultKinds(), v.Kind) {
			return errors.NotValidf("Fault Kind %q (want one of %v)", v.Kind, faultKinds())
		}
		switch v.Kind {
		case ConfigDown, ConfigNormal:
		default:
			if !names[v.Target] {
				return errors.NotValidf("Fault %s at unknown target %q", v.Kind, v.Target)
			}
		}
		s.Faults = append(s.Faults, Fault{At: time.Duration(v.At), Kind: v.Kind, Target: v.Target, Factor: v.Factor})
	}
	return nil
}
