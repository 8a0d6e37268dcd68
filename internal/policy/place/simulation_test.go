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

// A kind is a kind of calls that callers make.
type kind struct {
	name    ident.Route
	service ident.Service
	rank    ident.Rank
	rate    float64 // calls per second, all callers together
	work    time.Duration
	aim     time.Duration
	timeout time.Duration
	allowed time.Duration // the time that a caller gives all of its tries
	retries int
	// inner is what a call asks for while it runs, one after the other.
	inner []ident.Route
	// from and to bound the time in which callers make the calls.
	from, to time.Duration
}

// A scene is a load and the targets that it meets.
type scene struct {
	kinds   []kind
	targets map[ident.Service]int
	slots   int
	// noise is the share of time in which a target's neighbour makes it slow, slow by what factor, and for how long at a time.
	noise  float64
	factor float64
	spell  time.Duration
	// knee is how many times slower a target runs with more than four fifths of its slots in use, or 0.
	knee float64
	// broken is how many times slower the first target of each service is for all of the time, or 0.
	broken float64
	length time.Duration
}

// A policy says which of the decisions are made.
type policy struct {
	// sensor measures the slowness of targets, and bounce sends calls on that cannot start at once.
	sensor, bounce bool
	// random chooses targets by chance.
	random bool
}

// A tally counts what the callers of a kind got.
type tally struct{ asked, inAim, late, refused, failed int }

func (t tally) share() float64  { return float64(t.inAim) / math.Max(1, float64(t.asked)) }
func (t tally) served() float64 { return float64(t.inAim+t.late) / math.Max(1, float64(t.asked)) }

// A world plays a scene in virtual time: a daemon beside each target, and callers at each daemon.
type world struct {
	scene
	policy
	random  *rand.Rand
	now     time.Time
	start   time.Time
	events  events
	targets []*target
	byName  map[ident.Target]*target
	tallies map[ident.Route]*tally
	lastID  call.ID
}

// A target runs calls beside its daemon.
type target struct {
	name       ident.Target
	service    ident.Service
	first      bool
	dataCentre ident.DataCentre
	gate       *admit.Gate
	running    int
	noisy      float64 // the slowness of the neighbour at the moment
	waiting    map[call.ID]*try
	tables     map[ident.Service]*route.Table // of the daemon, to choose other targets
	returns    *place.Returns
	costs      place.Costs
	stepAt     time.Time
}

// A try is one send of a caller.
type try struct {
	id      call.ID
	kind    kind
	entry   *target
	first   time.Time
	arrived time.Time
	left    time.Duration
	retries int
	request call.Request
	bounced []ident.Target
	pressed bool
	done    func(ok bool)
	retry   time.Duration
	sent    time.Time
}

type event struct {
	at  time.Time
	n   int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].n < e[j].n
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// hop is the way between two daemons.
const hop = time.Millisecond

func newWorld(s scene, p policy, seed uint64) *world {
	start := time.Unix(1_000_000, 0)
	w := &world{
		scene: s, policy: p, random: rand.New(rand.NewPCG(seed, 7)), now: start, start: start,
		byName: map[ident.Target]*target{}, tallies: map[ident.Route]*tally{},
	}
	candidates := map[ident.Service][]route.Candidate{}
	for _, service := range slices.Sorted(maps.Keys(s.targets)) {
		for i := range s.targets[service] {
			t := &target{
				name: ident.Target(fmt.Sprintf("%s-%d", service, i)), service: service, first: i == 0, dataCentre: ident.DataCentre(fmt.Sprintf("d%d", i%2)), noisy: 1, waiting: map[call.ID]*try{},
				tables: map[ident.Service]*route.Table{}, returns: place.NewReturns(), costs: place.Costs{},
			}
			options := []admit.Option{admit.WithFixedSlots()}
			if p.sensor {
				options = append(options, admit.WithSensor())
			}
			t.gate = admit.NewGate(s.slots, options...)
			w.targets, w.byName[t.name] = append(w.targets, t), t
			candidates[service] = append(candidates[service], route.Candidate{
				Target: t.name, VM: ident.VM(t.name), DataCentre: t.dataCentre, Slots: s.slots,
			})
		}
	}
	for _, t := range w.targets {
		for _, service := range slices.Sorted(maps.Keys(candidates)) {
			table := route.NewTable(ident.VM(t.name), t.dataCentre, route.WithProfile(route.Near), route.WithRandom(w.random))
			table.SetCandidates(candidates[service], w.now)
			t.tables[service] = table
		}
	}
	return w
}

func (w *world) after(d time.Duration, run func()) {
	heap.Push(&w.events, event{w.now.Add(d), len(w.events), run})
}

// play runs the scene and returns what the callers got.
func (w *world) play() map[ident.Route]*tally {
	for _, k := range w.kinds {
		w.tallies[k.name] = &tally{}
		if k.rate > 0 {
			w.callers(k)
		}
	}
	for _, t := range w.targets {
		w.neighbour(t)
	}
	end := w.start.Add(w.length)
	for len(w.events) > 0 {
		e := heap.Pop(&w.events).(event)
		if e.at.After(end) {
			break
		}
		w.now = e.at
		e.run()
	}
	return w.tallies
}

// callers makes the calls of a kind, at daemons by turns of chance. The last ones come early enough to end.
func (w *world) callers(k kind) {
	to := k.to
	if to == 0 {
		to = w.length - 3*time.Second
	}
	var next func()
	next = func() {
		if at := w.now.Sub(w.start); at < to {
			w.tallies[k.name].asked++
			w.enter(&try{kind: k, entry: w.targets[w.random.IntN(len(w.targets))], first: w.now, left: k.allowed, retries: k.retries})
			w.after(time.Duration(w.random.ExpFloat64()/k.rate*float64(time.Second)), next)
		}
	}
	w.after(k.from+time.Duration(w.random.ExpFloat64()/k.rate*float64(time.Second)), next)
}

// neighbour makes a target slow in spells.
func (w *world) neighbour(t *target) {
	if w.noise == 0 {
		return
	}
	t.noisy = 1
	if w.random.Float64() < w.noise {
		t.noisy = w.factor
	}
	w.after(time.Duration((0.5+w.random.Float64())*float64(w.spell)), func() { w.neighbour(t) })
}

// enter takes a send of a caller at its daemon.
func (w *world) enter(y *try) {
	w.lastID++
	y.id, y.arrived, y.bounced, y.pressed = w.lastID, w.now, nil, false
	y.request = call.Request{
		Route: y.kind.name, Rank: y.kind.rank, Method: "GET", URI: fmt.Sprintf("/%s/%d", y.kind.name, y.first.UnixNano()),
		Deadline: w.now.Add(min(y.left, y.kind.timeout)),
	}
	first := w.now
	if at, ok := y.entry.returns.First(&y.request, w.now); ok {
		first, y.request.Returned = at, true
	}
	y.request.Aim = first.Add(y.kind.aim)
	y.request.Final = !y.request.Returned && place.Final(y.left, y.kind.timeout)
	w.place(y)
}

// place sends a call to the target of the daemon's choice.
func (w *world) place(y *try) {
	table := y.entry.tables[y.kind.service]
	name, ok := table.Pick(w.now, y.bounced)
	if w.policy.random {
		name = w.anyOf(y.kind.service)
	}
	if !ok && !y.pressed {
		y.pressed, y.bounced = true, nil
		name, ok = table.Pick(w.now, nil)
	}
	if !ok {
		w.refuse(y)
		return
	}
	t := w.byName[name]
	y.request.Usual = y.entry.costs.Of(y.kind.name)
	y.request.Elsewhere = table.Elsewhere(name, w.now)
	y.request.HoldUntil = place.Hold(place.Call{
		Aim: y.request.Aim, Cost: y.entry.costs.Of(y.kind.name), Near: t.near(y.entry), Pressed: y.pressed || !w.bounce,
	}, w.now)
	y.sent = w.now
	table.Sent(name, y.id, y.entry.costs.Of(y.kind.name), w.now)
	w.after(hop, func() { w.arrive(t, y) })
}

// near reports whether a target is in the data centre of another: even and odd ones are in two.
func (t *target) near(o *target) bool { return t.dataCentre == o.dataCentre }

func (w *world) anyOf(s ident.Service) ident.Target {
	var names []ident.Target
	for _, t := range w.targets {
		if t.service == s {
			names = append(names, t.name)
		}
	}
	return names[w.random.IntN(len(names))]
}
