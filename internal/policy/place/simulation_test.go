package place_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/policy/admit"
	"jacinthcross/internal/policy/place"
	"jacinthcross/internal/policy/route"
)

// A callClass describes the calls of one route: how often callers make them, how long they take and how urgent they
// are.
type callClass struct {
	name         ident.Route
	service      ident.Service
	rank         ident.Rank
	rate         float64 // calls per second of all callers together
	work         time.Duration
	softDeadline time.Duration // counted from the first attempt
	timeout      time.Duration
	allowed      time.Duration // the time that a caller allows for all attempts
	retries      int
	size         int // bytes of the bodies
	// nestedCalls are the calls that a call makes while it runs, in sequence.
	nestedCalls []ident.Route
	// from and to limit the period in which callers make the calls.
	from, to time.Duration
}

// A scenario is a load and the targets that serve it.
type scenario struct {
	classes []callClass
	targets map[ident.Service]int
	// dataCentres lists how many targets of each service the data centres have. If it is empty, the targets alternate
	// between two. All data centres get the same number of calls.
	dataCentres []map[ident.Service]int
	slots       int
	// Other workloads on the host of a target slow it down by noiseFactor for the fraction noiseShare of the time.
	// After noisePeriod on average, it is drawn again whether the target is noisy or quiet.
	noiseShare  float64
	noiseFactor float64
	noisePeriod time.Duration
	// kneeFactor is how many times slower a target runs with more than four fifths of its slots in use, or 0.
	kneeFactor float64
	// slowTargetFactor is how many times slower the first target of each service always is, or 0.
	slowTargetFactor float64
	duration         time.Duration
}

// policies selects the policies under test.
type policies struct {
	// measure enables the slowness measurement of targets, and redirect the redirection of calls that cannot start
	// at once.
	measure, redirect bool
	// random replaces the choice of targets by a random one.
	random bool
}

// A tally counts the outcomes of the calls of a class.
type tally struct{ calls, inTime, late, refused, failed int }

func (t tally) inTimeShare() float64 { return float64(t.inTime) / math.Max(1, float64(t.calls)) }
func (t tally) servedShare() float64 { return float64(t.inTime+t.late) / math.Max(1, float64(t.calls)) }

// A simulation runs a scenario in virtual time, with a daemon beside each target and callers at each daemon.
type simulation struct {
	scenario
	policies
	random  *rand.Rand
	now     time.Time
	start   time.Time
	events  events
	targets []*target
	byName  map[ident.Target]*target
	tallies map[ident.Route]*tally
	lastID  call.ID
}

// A target runs calls that its daemon admits. The struct also holds the state of that daemon.
type target struct {
	name           ident.Target
	service        ident.Service
	firstOfService bool
	dataCentre     ident.DataCentre
	gate           *admit.Gate
	running        int
	noiseSlowness  float64 // the current slowdown by other workloads
	waiting        map[call.ID]*pendingCall
	tables         map[ident.Service]*route.Table // of the daemon, to choose targets
	refusals       *place.RefusedRequests
	latencies      place.Latencies
	nextActionAt   time.Time
}

// A pendingCall is a call that has not ended, with the state of its current attempt.
type pendingCall struct {
	id           call.ID
	class        callClass
	entryTarget  *target
	firstSent    time.Time
	arrived      time.Time
	remaining    time.Duration
	retries      int
	request      call.Request
	triedTargets []ident.Target
	mayQueue     bool
	done         func(ok bool)
	retryAfter   time.Duration
	sent         time.Time
}

type event struct {
	at         time.Time
	tieBreaker int // order among events at the same time: how many were pending when this one was scheduled
	run        func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].tieBreaker < e[j].tieBreaker
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// hopDelay is the one-way delay between two daemons.
const hopDelay = time.Millisecond

func newSimulation(s scenario, p policies, seed uint64) *simulation {
	start := time.Unix(1_000_000, 0)
	sm := &simulation{
		scenario: s, policies: p, random: rand.New(rand.NewPCG(seed, 7)), now: start, start: start,
		byName: map[ident.Target]*target{}, tallies: map[ident.Route]*tally{},
	}
	candidates := map[ident.Service][]route.Candidate{}
	services := maps.Clone(s.targets)
	if len(s.dataCentres) > 0 {
		services = s.dataCentres[0]
	}
	for _, service := range slices.Sorted(maps.Keys(services)) {
		for i, dataCentre := range s.placement(service) {
			t := &target{
				name: ident.Target(fmt.Sprintf("%s-%d", service, i)), service: service, firstOfService: i == 0, dataCentre: dataCentre, noiseSlowness: 1, waiting: map[call.ID]*pendingCall{},
				tables: map[ident.Service]*route.Table{}, refusals: place.NewRefusedRequests(), latencies: place.Latencies{},
			}
			options := []admit.Option{admit.WithDeclaredSlots()}
			if p.measure {
				options = append(options, admit.WithSlownessMeasurement())
			}
			t.gate = admit.NewGate(s.slots, options...)
			sm.targets, sm.byName[t.name] = append(sm.targets, t), t
			candidates[service] = append(candidates[service], route.Candidate{
				Target: t.name, VM: ident.VM(t.name), DataCentre: t.dataCentre, Slots: s.slots,
			})
		}
	}
	for _, t := range sm.targets {
		for _, service := range slices.Sorted(maps.Keys(candidates)) {
			table := route.NewTable(ident.VM(t.name), t.dataCentre, route.WithProfile(route.ProfileNear), route.WithRandom(sm.random))
			table.SetCandidates(candidates[service], sm.now)
			t.tables[service] = table
		}
	}
	return sm
}

// placement returns the data centre of each target of a service.
func (s scenario) placement(service ident.Service) []ident.DataCentre {
	var list []ident.DataCentre
	for i := range s.targets[service] {
		list = append(list, ident.DataCentre(fmt.Sprintf("d%d", i%2)))
	}
	for i, counts := range s.dataCentres {
		for range counts[service] {
			list = append(list, ident.DataCentre(fmt.Sprintf("d%d", i)))
		}
	}
	return list
}

// randomEntry returns the target whose daemon a caller uses. All data centres are equally likely.
func (sm *simulation) randomEntry() *target {
	if len(sm.dataCentres) == 0 {
		return sm.targets[sm.random.IntN(len(sm.targets))]
	}
	dataCentre := ident.DataCentre(fmt.Sprintf("d%d", sm.random.IntN(len(sm.dataCentres))))
	for {
		if t := sm.targets[sm.random.IntN(len(sm.targets))]; t.dataCentre == dataCentre {
			return t
		}
	}
}

func (sm *simulation) schedule(d time.Duration, run func()) {
	heap.Push(&sm.events, event{sm.now.Add(d), len(sm.events), run})
}

// simulate runs the scenario and returns the outcomes by route.
func (sm *simulation) simulate() map[ident.Route]*tally {
	for _, k := range sm.classes {
		sm.tallies[k.name] = &tally{}
		if k.rate > 0 {
			sm.startCallers(k)
		}
	}
	for _, t := range sm.targets {
		sm.updateNoise(t)
	}
	end := sm.start.Add(sm.duration)
	for len(sm.events) > 0 {
		e := heap.Pop(&sm.events).(event)
		if e.at.After(end) {
			break
		}
		sm.now = e.at
		e.run()
	}
	return sm.tallies
}

// startCallers schedules the calls of a class, each at a random daemon. The last ones start early enough to end
// within the simulation.
func (sm *simulation) startCallers(k callClass) {
	to := k.to
	if to == 0 {
		to = sm.duration - 3*time.Second
	}
	var next func()
	next = func() {
		if at := sm.now.Sub(sm.start); at < to {
			sm.tallies[k.name].calls++
			sm.accept(&pendingCall{class: k, entryTarget: sm.randomEntry(), firstSent: sm.now, remaining: k.allowed, retries: k.retries})
			sm.schedule(time.Duration(sm.random.ExpFloat64()/k.rate*float64(time.Second)), next)
		}
	}
	sm.schedule(k.from+time.Duration(sm.random.ExpFloat64()/k.rate*float64(time.Second)), next)
}

// updateNoise starts a noisy or a quiet period of the other workloads on a target's host, and schedules the next one.
func (sm *simulation) updateNoise(t *target) {
	if sm.noiseShare == 0 {
		return
	}
	t.noiseSlowness = 1
	if sm.random.Float64() < sm.noiseShare {
		t.noiseSlowness = sm.noiseFactor
	}
	sm.schedule(time.Duration((0.5+sm.random.Float64())*float64(sm.noisePeriod)), func() { sm.updateNoise(t) })
}

// accept handles a call from a caller at the daemon where it enters.
func (sm *simulation) accept(pending *pendingCall) {
	sm.lastID++
	pending.id, pending.arrived, pending.triedTargets, pending.mayQueue = sm.lastID, sm.now, nil, false
	pending.request = call.Request{
		Route: pending.class.name, Rank: pending.class.rank, Method: "GET", URI: fmt.Sprintf("/%s/%d", pending.class.name, pending.firstSent.UnixNano()),
		Deadline: sm.now.Add(min(pending.remaining, pending.class.timeout)),
	}
	first := sm.now
	if at, ok := pending.entryTarget.refusals.FirstSent(&pending.request, sm.now); ok {
		first, pending.request.RetriedByCaller = at, true
	}
	pending.request.SoftDeadline = first.Add(pending.class.softDeadline)
	pending.request.CallerCannotRetry = !pending.request.RetriedByCaller && place.CallerCannotRetry(pending.remaining, pending.class.timeout)
	sm.send(pending)
}

// send sends a call to the target that the daemon chooses.
func (sm *simulation) send(pending *pendingCall) {
	table := pending.entryTarget.tables[pending.class.service]
	name, ok := table.PickFor(route.Call{Size: pending.class.size}, sm.now, pending.triedTargets)
	if sm.policies.random {
		name = sm.randomTarget(pending.class.service)
	}
	if !ok && !pending.mayQueue {
		pending.mayQueue, pending.triedTargets = true, nil
		name, ok = table.PickFor(route.Call{Size: pending.class.size}, sm.now, nil)
	}
	if !ok {
		sm.refuse(pending)
		return
	}
	t := sm.byName[name]
	pending.request.UsualLatency = pending.entryTarget.latencies.Of(pending.class.name)
	pending.request.MinOtherSlowness = table.LowestSlownessExcept(name, sm.now)
	pending.request.HoldUntil = place.HoldUntil(place.Placement{
		SoftDeadline: pending.request.SoftDeadline, UsualLatency: pending.entryTarget.latencies.Of(pending.class.name), SameDataCentre: t.sameDataCentre(pending.entryTarget), MayQueue: pending.mayQueue || !sm.redirect,
	}, sm.now)
	pending.sent = sm.now
	table.RecordAttempt(name, pending.id, pending.entryTarget.latencies.Of(pending.class.name), sm.now)
	sm.schedule(hopDelay, func() { sm.arrive(t, pending) })
}

// sameDataCentre reports whether two targets are in the same data centre.
func (t *target) sameDataCentre(o *target) bool { return t.dataCentre == o.dataCentre }

func (sm *simulation) randomTarget(s ident.Service) ident.Target {
	var names []ident.Target
	for _, t := range sm.targets {
		if t.service == s {
			names = append(names, t.name)
		}
	}
	return names[sm.random.IntN(len(names))]
}
