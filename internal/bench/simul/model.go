package simul

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/policy/route"
)

// A Deployment describes the targets of the simulated service and their distribution over data centres.
type Deployment struct {
	Name        string
	Targets     int
	Slots       int
	DataCentres int
	OneWay      time.Duration
}

// Deployments lists the two deployments for which the routing policies were designed.
func Deployments() []Deployment {
	return []Deployment{
		{"5x10 in 3", 5, 10, 3, 1500 * time.Microsecond},
		{"4x6 in 4", 4, 6, 4, 500 * time.Microsecond},
	}
}

const (
	// meanWorkSeconds is the mean service time of a call at full speed: a fixed part and an exponential part.
	meanWorkSeconds  = .008
	fixedWorkSeconds = .003
	// localDelaySeconds is the one-way delay within a data centre.
	localDelaySeconds = .0001
	// daemonsPerDataCentre is the number of daemons per data centre that receive calls.
	daemonsPerDataCentre = 2
	// warmUpSeconds is the virtual time at the start whose calls are not counted.
	warmUpSeconds = 1.
	// maxAttempts is the maximum number of attempts of a call.
	maxAttempts = 3
)

type daemon struct {
	dataCentre int
	table      *route.Table
	next       int
	// reports and inFlight hold, for each target, the load that it last reported and the number of calls in flight from
	// this daemon.
	reports  []int
	inFlight []int
}

type target struct {
	name       ident.Target
	dataCentre int
	speed      float64
	registered bool
	crashed    bool
	running    map[*simCall]bool
	queue      []*simCall
	// assigned counts the calls sent to the target whose answer has not arrived, including those in transit.
	assigned   int
	load       call.Load
	advancedAt float64
	// scheduleVersion invalidates completions that were scheduled before the latest change.
	scheduleVersion int
}

type simCall struct {
	id               call.ID
	daemon           *daemon
	arrived          float64
	sent             float64
	workSeconds      float64
	remainingSeconds float64
	tried            []int
	afterWarmUp      bool
}

type event struct {
	at     float64
	order  int
	action func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }

// Push implements heap.Interface.
func (e *events) Push(x any) { *e = append(*e, x.(event)) }

// Pop implements heap.Interface.
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

type model struct {
	deployment Deployment
	scenario   Scenario
	policy     Policy
	random     *rand.Rand
	targets    []*target
	index      map[ident.Target]int
	daemons    []*daemon
	events     events
	order      int
	now        float64
	result     Result
	calls      int
}

func (m *model) time() time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(m.now * float64(time.Second)))
}

func (m *model) scheduleAfter(delay float64, action func()) {
	m.order++
	heap.Push(&m.events, event{m.now + delay, m.order, action})
}

func (m *model) oneWay(a, b int) float64 {
	if a == b {
		return localDelaySeconds
	}
	return m.deployment.OneWay.Seconds()
}

func newModel(deployment Deployment, scenario Scenario, policy Policy, seed uint64) *model {
	m := &model{
		deployment: deployment, scenario: scenario, policy: policy,
		random: rand.New(rand.NewPCG(seed, 1)), index: map[ident.Target]int{},
	}
	for i := range deployment.Targets {
		t := &target{
			name: ident.Target(fmt.Sprintf("t%d", i)), dataCentre: i % deployment.DataCentres, speed: 1, registered: true,
			running: map[*simCall]bool{},
			load:    call.Load{Limit: deployment.Slots, Incarnation: ident.Incarnation{byte(i + 1)}},
		}
		m.targets = append(m.targets, t)
		m.index[t.name] = i
	}
	m.scheduleScenario()
	for i := range deployment.DataCentres * daemonsPerDataCentre {
		d := &daemon{dataCentre: i % deployment.DataCentres, reports: make([]int, deployment.Targets), inFlight: make([]int, deployment.Targets)}
		if p, ok := policy.(DaemonTable); ok {
			// The routing table hashes the VM name, so another name changes the results.
			d.table = route.NewTable(ident.VM(fmt.Sprintf("entry%d", i)), dataCentre(d.dataCentre),
				route.WithProfile(p.Profile), route.WithRandom(rand.New(rand.NewPCG(seed, uint64(i+2)))))
		}
		m.daemons = append(m.daemons, d)
	}
	m.setCandidates()
	return m
}

func dataCentre(i int) ident.DataCentre { return ident.DataCentre(fmt.Sprintf("dc%d", i)) }

func (m *model) setCandidates() {
	for _, d := range m.daemons {
		if d.table == nil {
			continue
		}
		var candidates []route.Candidate
		for _, t := range m.targets {
			if t.registered {
				candidates = append(candidates, route.Candidate{
					Target: t.name, VM: ident.VM(t.name), DataCentre: dataCentre(t.dataCentre), Slots: m.deployment.Slots,
				})
			}
		}
		d.table.SetCandidates(candidates, m.time())
	}
}

func (m *model) run(duration time.Duration) Result {
	m.generateCall()
	for len(m.events) > 0 && m.now < duration.Seconds() {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.action()
	}
	return m.result
}

// generateCall creates a call at a random daemon and schedules the next one.
func (m *model) generateCall() {
	rate := m.scenario.utilisation() * float64(m.deployment.Targets*m.deployment.Slots) / meanWorkSeconds
	m.scheduleAfter(m.random.ExpFloat64()/rate, m.generateCall)
	m.calls++
	d := m.daemons[m.random.IntN(len(m.daemons))]
	c := &simCall{
		id: call.ID(m.calls), daemon: d, arrived: m.now, afterWarmUp: m.now > warmUpSeconds,
		workSeconds: fixedWorkSeconds + m.random.ExpFloat64()*(meanWorkSeconds-fixedWorkSeconds),
	}
	if c.afterWarmUp {
		m.result.Calls++
	}
	if d.table != nil {
		d.table.RecordCall(m.time())
		m.probe(d)
	}
	m.send(c)
}

func (m *model) probe(d *daemon) {
	name, ok := d.table.NextProbe(m.time())
	if !ok {
		return
	}
	m.result.Probes++
	t := m.targets[m.index[name]]
	delay := m.oneWay(d.dataCentre, t.dataCentre)
	m.scheduleAfter(delay, func() {
		if load := m.load(t); !t.crashed {
			m.scheduleAfter(delay, func() { d.table.UpdateLoad(name, load, m.time()) })
		}
	})
}

func (m *model) load(t *target) call.Load {
	l := t.load
	l.InFlight, l.Queued = len(t.running), len(t.queue)
	return l
}

func (m *model) send(c *simCall) {
	i, ok := m.choose(c.daemon, c)
	if !ok {
		m.result.recordFailure(c)
		return
	}
	t := m.targets[i]
	c.tried = append(c.tried, i)
	c.sent, c.remainingSeconds = m.now, c.workSeconds
	t.assigned++
	c.daemon.inFlight[i]++
	if c.daemon.table != nil {
		c.daemon.table.RecordAttempt(t.name, c.id, 0, m.time())
	}
	m.scheduleAfter(m.oneWay(c.daemon.dataCentre, t.dataCentre), func() { m.deliver(c, i) })
}

func (m *model) deliver(c *simCall, i int) {
	t := m.targets[i]
	switch {
	case t.crashed:
		m.respond(c, i, false)
	case len(t.running) < m.deployment.Slots:
		m.advance(t)
		t.running[c] = true
		m.scheduleCompletion(i)
	default:
		t.queue = append(t.queue, c)
	}
}

// advance deducts the work done since the last change from the running calls of a target.
func (m *model) advance(t *target) {
	for c := range t.running {
		c.remainingSeconds -= (m.now - t.advancedAt) * t.speed
	}
	t.advancedAt = m.now
}

// scheduleCompletion schedules the next completion on a target and invalidates the one scheduled before.
func (m *model) scheduleCompletion(i int) {
	t := m.targets[i]
	t.scheduleVersion++
	version := t.scheduleVersion
	var first *simCall
	for c := range t.running {
		if first == nil || c.remainingSeconds < first.remainingSeconds || c.remainingSeconds == first.remainingSeconds && c.id < first.id {
			first = c
		}
	}
	if first == nil {
		return
	}
	m.scheduleAfter(max(0, first.remainingSeconds)/t.speed, func() {
		if t.scheduleVersion == version {
			m.complete(first, i)
		}
	})
}

func (m *model) complete(c *simCall, i int) {
	t := m.targets[i]
	m.advance(t)
	delete(t.running, c)
	if len(t.queue) > 0 {
		t.running[t.queue[0]] = true
		t.queue = t.queue[1:]
	}
	m.scheduleCompletion(i)
	m.respond(c, i, true)
}

// respond returns the outcome of an attempt and the load of the target to the daemon, which retries a failed attempt.
func (m *model) respond(c *simCall, i int, served bool) {
	t := m.targets[i]
	load := m.load(t)
	m.scheduleAfter(m.oneWay(c.daemon.dataCentre, t.dataCentre), func() {
		t.assigned--
		c.daemon.inFlight[i]--
		var result route.AttemptResult = route.Failed{}
		if served {
			c.daemon.reports[i] = load.InFlight + load.Queued
			result = route.Served{Latency: time.Duration((m.now - c.sent) * float64(time.Second)), Load: load}
		}
		if c.daemon.table != nil {
			c.daemon.table.RecordResult(t.name, c.id, result, m.time())
		}
		switch {
		case served:
			m.result.recordAnswer(c, m.now-c.arrived)
		case len(c.tried) < maxAttempts:
			m.send(c)
		default:
			m.result.recordFailure(c)
		}
	})
}
