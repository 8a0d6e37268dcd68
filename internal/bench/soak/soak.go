// Package soak runs daemons as processes on the stand-ins of the users' platform, harms them from outside by a seeded
// plan and checks what callers and targets see against what the daemons promise.
package soak

import (
	"cmp"
	"slices"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/mail"
	"jacinthcross/platform/fake"
)

// A Config says what a soak does.
type Config struct {
	// Program is the path of the daemon, Folder is where settings and logs go.
	Program string
	Folder  string
	Seed    uint64
	VMs     int
	// Length is the time in which steps of the plan hold.
	Length time.Duration
}

// Check returns an error for a Config that cannot be run.
func (c Config) Check() error {
	if c.VMs < minVMs || c.VMs > maxVMs {
		return errors.NotValidf("%d VMs, want %d to %d:", c.VMs, minVMs, maxVMs)
	}
	if c.Length < minLength {
		return errors.NotValidf("length %s, want at least %s:", c.Length, minLength)
	}
	return nil
}

const (
	// minVMs leaves each service two targets. maxVMs is the limit for processes on one machine.
	minVMs    = 4
	maxVMs    = 300
	minLength = 2 * maxHold
	// readyTime bounds the start of all daemons.
	readyTime = 30 * time.Second
	// lastTime is how long callers go on after the last step: the bound of recovery and 3 s in which requests count.
	lastTime = recoverTime + 3*time.Second
)

// routes are the routes of the config that every version has.
var routes = []fake.Route{
	{
		Name: "read", Host: host, Prefix: "/read/", Timeout: time.Second, Aim: 300 * time.Millisecond, Priority: 1, Attempts: 3,
		Split: map[string]int{"catalogue": 1},
	},
	{
		Name: "book", Host: host, Prefix: "/book/", Unsafe: true, Timeout: 1200 * time.Millisecond, Aim: 400 * time.Millisecond, Attempts: 2,
		Split: map[string]int{"bookings": 1},
	},
}

const host = "shop.example"

var services = []string{"catalogue", "bookings"}

// A stepDue tells that a step of the plan begins or ends.
type stepDue struct {
	step  Step
	begin bool
}

// A soak owns the deployment of a Config and the history of what happens there.
type soak struct {
	config  Config
	site    *fake.Site
	nodes   []*node
	inbox   *mail.Box[message]
	history *History
	routes  []fake.Route
	newest  *newest
	// gone are targets that have left, with their runs.
	gone []*fake.Target
}

// Run runs a soak and returns what was broken.
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
		config: c, site: site, inbox: mail.NewBox[message](mailbox), routes: slices.Clone(routes), newest: &newest{},
		history: &History{Starts: map[int]map[int]time.Time{}, Published: map[int]time.Time{}, Left: map[string]time.Time{}},
	}
	defer s.stop()
	if err := s.start(); err != nil {
		return nil, nil, err
	}
	s.play(NewPlan(c.Seed, c.VMs, c.Length))
	if len(s.history.Failed) > 0 {
		return nil, nil, errors.Annotate(s.history.Failed[0], "soak")
	}
	return s.history.Check(), s.history, nil
}

// play carries out a plan while callers send requests, and records what happens.
func (s *soak) play(plan []Step) {
	h := s.history
	h.Began, h.Steps = time.Now(), plan
	end := make(chan struct{})
	defer close(end)
	go func() {
		for _, d := range schedule(plan) {
			select {
			case <-time.After(time.Until(h.Began.Add(d.at()))):
				s.inbox.Put(d, end)
			case <-end:
				return
			}
		}
	}()
	h.Calm = h.Began.Add(s.config.Length)
	callers := newCallers(s.nodes, s.newest, s.config.Seed, s.inbox)
	last := time.After(time.Until(h.Calm.Add(lastTime)))
	ended := make(chan struct{})
	for {
		select {
		case m := <-s.inbox.C():
			s.receive(m)
		case <-last:
			last = nil
			go func() {
				defer close(ended)
				callers.stop()
			}()
		case <-ended:
			s.finish()
			return
		}
	}
}

// finish adds what is still in the mailbox and the runs of the targets.
func (s *soak) finish() {
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
		s.gone = append(s.gone, n.vm.Target)
	}
	for _, t := range s.gone {
		s.history.Runs = append(s.history.Runs, t.Runs()...)
	}
}

func (s *soak) receive(m message) {
	switch m := m.(type) {
	case Call:
		s.history.Calls = append(s.history.Calls, m)
	case Exit:
		s.history.Exits = append(s.history.Exits, m)
	case started:
		if s.history.Starts[m.vm] == nil {
			s.history.Starts[m.vm] = map[int]time.Time{}
		}
		s.history.Starts[m.vm][m.process] = m.at
	case stepDue:
		s.act(m.step.Action, m.begin)
	}
}

func (d stepDue) at() time.Duration {
	if d.begin {
		return d.step.At
	}
	return d.step.At + d.step.For
}

// schedule returns the beginnings and ends of steps in their order.
func schedule(plan []Step) []stepDue {
	var out []stepDue
	for _, s := range plan {
		out = append(out, stepDue{s, true}, stepDue{s, false})
	}
	slices.SortStableFunc(out, func(a, b stepDue) int { return cmp.Compare(a.at(), b.at()) })
	return out
}
