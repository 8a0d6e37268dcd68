package policy

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/policy/route"
)

// A Size is the number of targets of a service and where they are.
type Size struct {
	Name        string
	Targets     int
	Slots       int
	DataCentres int
	OneWay      time.Duration
}

// Sizes lists the deployments of the design page.
func Sizes() []Size {
	return []Size{
		{"5x10 in 3", 5, 10, 3, 1500 * time.Microsecond},
		{"4x6 in 4", 4, 6, 4, 500 * time.Microsecond},
	}
}

const (
	// meanWork is the mean run time of a call in seconds: a fixed part and an exponential part.
	meanWork  = .008
	fixedWork = .003
	// nearby is the one-way time within a data centre in seconds.
	nearby = .0001
	// entriesPerDataCentre is the number of daemons in a data centre at which calls enter.
	entriesPerDataCentre = 2
	// warmUp is in seconds of virtual time. Its calls are not counted.
	warmUp = 1.
	// maxTries bounds the attempts of a call.
	maxTries = 3
)

type entry struct {
	dataCentre int
	table      *route.Table
	turn       int
	reports    []int
	inFlight   []int
}

type target struct {
	name       ident.Target
	dataCentre int
	speed      float64
	present    bool
	crashed    bool
	running    map[*request]bool
	queue      []*request
	// assigned counts the calls sent to it that are not answered yet, those on the way included.
	assigned int
	load     call.Load
	updated  float64
	version  int
}

type request struct {
	id       call.ID
	entry    *entry
	arrived  float64
	sent     float64
	work     float64
	left     float64
	tried    []int
	measured bool
}

type event struct {
	at    float64
	order int
	do    func()
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
	size     Size
	scenario Scenario
	policy   Policy
	random   *rand.Rand
	targets  []*target
	index    map[ident.Target]int
	entries  []*entry
	events   events
	order    int
	now      float64
	result   Result
	calls    int
}

func (m *model) time() time.Time {
	return time.Unix(1_000_000, 0).Add(time.Duration(m.now * float64(time.Second)))
}

func (m *model) after(d float64, do func()) {
	m.order++
	heap.Push(&m.events, event{m.now + d, m.order, do})
}

func (m *model) oneWay(a, b int) float64 {
	if a == b {
		return nearby
	}
	return m.size.OneWay.Seconds()
}

func newModel(size Size, scenario Scenario, policy Policy, seed uint64) *model {
	m := &model{
		size: size, scenario: scenario, policy: policy,
		random: rand.New(rand.NewPCG(seed, 1)), index: map[ident.Target]int{},
	}
	for i := range size.Targets {
		t := &target{
			name: ident.Target(fmt.Sprintf("t%d", i)), dataCentre: i % size.DataCentres, speed: 1, present: true,
			running: map[*request]bool{},
			load:    call.Load{Limit: size.Slots, Incarnation: ident.Incarnation{byte(i + 1)}},
		}
		m.targets = append(m.targets, t)
		m.index[t.name] = i
	}
	m.begin()
	for i := range size.DataCentres * entriesPerDataCentre {
		e := &entry{dataCentre: i % size.DataCentres, reports: make([]int, size.Targets), inFlight: make([]int, size.Targets)}
		if p, ok := policy.(Table); ok {
			e.table = route.NewTable(ident.VM(fmt.Sprintf("entry%d", i)), dataCentre(e.dataCentre),
				route.WithProfile(p.Profile), route.WithRandom(rand.New(rand.NewPCG(seed, uint64(i+2)))))
		}
		m.entries = append(m.entries, e)
	}
	m.setCandidates()
	return m
}

func dataCentre(i int) ident.DataCentre { return ident.DataCentre(fmt.Sprintf("dc%d", i)) }

func (m *model) setCandidates() {
	for _, e := range m.entries {
		if e.table == nil {
			continue
		}
		var candidates []route.Candidate
		for _, t := range m.targets {
			if t.present {
				candidates = append(candidates, route.Candidate{
					Target: t.name, VM: ident.VM(t.name), DataCentre: dataCentre(t.dataCentre), Slots: m.size.Slots,
				})
			}
		}
		e.table.SetCandidates(candidates, m.time())
	}
}

func (m *model) run(duration time.Duration) Result {
	m.arrive()
	for len(m.events) > 0 && m.now < duration.Seconds() {
		e := heap.Pop(&m.events).(event)
		m.now = e.at
		e.do()
	}
	return m.result
}

// arrive lets one call enter at a random daemon and schedules the next.
func (m *model) arrive() {
	rate := m.scenario.utilisation() * float64(m.size.Targets*m.size.Slots) / meanWork
	m.after(m.random.ExpFloat64()/rate, m.arrive)
	m.calls++
	e := m.entries[m.random.IntN(len(m.entries))]
	c := &request{
		id: call.ID(m.calls), entry: e, arrived: m.now, measured: m.now > warmUp,
		work: fixedWork + m.random.ExpFloat64()*(meanWork-fixedWork),
	}
	if c.measured {
		m.result.Calls++
	}
	if e.table != nil {
		e.table.Called(m.time())
		m.probe(e)
	}
	m.send(c)
}

func (m *model) probe(e *entry) {
	name, ok := e.table.Probe(m.time())
	if !ok {
		return
	}
	m.result.Probes++
	t := m.targets[m.index[name]]
	d := m.oneWay(e.dataCentre, t.dataCentre)
	m.after(d, func() {
		if load := m.load(t); !t.crashed {
			m.after(d, func() { e.table.Heard(name, load, m.time()) })
		}
	})
}

func (m *model) load(t *target) call.Load {
	l := t.load
	l.InFlight, l.Queued = len(t.running), len(t.queue)
	return l
}

func (m *model) send(c *request) {
	i, ok := m.choose(c.entry, c)
	if !ok {
		m.result.failed(c)
		return
	}
	t := m.targets[i]
	c.tried = append(c.tried, i)
	c.sent, c.left = m.now, c.work
	t.assigned++
	c.entry.inFlight[i]++
	if c.entry.table != nil {
		c.entry.table.Sent(t.name, c.id, 0, m.time())
	}
	m.after(m.oneWay(c.entry.dataCentre, t.dataCentre), func() { m.reach(c, i) })
}

func (m *model) reach(c *request, i int) {
	t := m.targets[i]
	switch {
	case t.crashed:
		m.answer(c, i, false)
	case len(t.running) < m.size.Slots:
		m.progress(t)
		t.running[c] = true
		m.schedule(i)
	default:
		t.queue = append(t.queue, c)
	}
}

// progress takes the work done since the last change out of the running calls of a target.
func (m *model) progress(t *target) {
	for c := range t.running {
		c.left -= (m.now - t.updated) * t.speed
	}
	t.updated = m.now
}

// schedule sets the time of the next completion on a target.
func (m *model) schedule(i int) {
	t := m.targets[i]
	t.version++
	version := t.version
	var first *request
	for c := range t.running {
		if first == nil || c.left < first.left || c.left == first.left && c.id < first.id {
			first = c
		}
	}
	if first == nil {
		return
	}
	m.after(max(0, first.left)/t.speed, func() {
		if t.version == version {
			m.complete(first, i)
		}
	})
}

func (m *model) complete(c *request, i int) {
	t := m.targets[i]
	m.progress(t)
	delete(t.running, c)
	if len(t.queue) > 0 {
		t.running[t.queue[0]] = true
		t.queue = t.queue[1:]
	}
	m.schedule(i)
	m.answer(c, i, true)
}

// answer carries the outcome of an attempt and the load of the target back to the daemon.
func (m *model) answer(c *request, i int, served bool) {
	t := m.targets[i]
	load := m.load(t)
	m.after(m.oneWay(c.entry.dataCentre, t.dataCentre), func() {
		t.assigned--
		c.entry.inFlight[i]--
		var feedback route.Feedback = route.Failed{}
		if served {
			c.entry.reports[i] = load.InFlight + load.Queued
			feedback = route.Served{Latency: time.Duration((m.now - c.sent) * float64(time.Second)), Load: load}
		}
		if c.entry.table != nil {
			c.entry.table.Finished(t.name, c.id, feedback, m.time())
		}
		switch {
		case served:
			m.result.answered(c, m.now-c.arrived)
		case len(c.tried) < maxTries:
			m.send(c)
		default:
			m.result.failed(c)
		}
	})
}
