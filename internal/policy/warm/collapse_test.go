package warm_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/policy/admit"
	"jacinthcross/internal/policy/place"
	"jacinthcross/internal/policy/route"
	"jacinthcross/internal/policy/warm"
)

const (
	coldRate  = 14
	coldBound = 29 // above this number of requests in a second, a cold target crashes
	coldStart = 3 * time.Second
	restart   = time.Second
	work      = 60 * time.Millisecond
	hop       = 2 * time.Millisecond
	targets   = 18
	senders   = 40
	demand    = 1000 // calls per second, four times what cold targets tolerate together
)

// An outage plays a loss of power of all targets under load.
type outage struct {
	limited bool
	now     time.Time
	events  []event
	random  *rand.Rand
	targets []*coldTarget
	senders []*route.Table
	served  map[ident.Rank][]int // by second
	crashes []int                // by second
	lastID  call.ID
}

type coldTarget struct {
	name    ident.Target
	gate    *admit.Gate
	limiter *warm.Limiter
	down    bool
	warmAt  time.Time
	process int
	recent  []time.Time
	waiting map[call.ID]*pendingCall
	next    time.Time
}

type pendingCall struct {
	request call.Request
	id      call.ID
	table   *route.Table
	refused []ident.Target
	// mayQueue is true once the call may wait at a target that is cold.
	mayQueue bool
}

type event struct {
	at time.Time
	do func()
}

// after schedules an event. The events are kept in order of their times.
func (o *outage) after(d time.Duration, do func()) {
	at := o.now.Add(d)
	i, _ := slices.BinarySearchFunc(o.events, at, func(e event, at time.Time) int {
		if e.at.After(at) {
			return 1
		}
		return -1
	})
	o.events = slices.Insert(o.events, i, event{at, do})
}

func (o *outage) second() int { return int(o.now.Sub(start) / time.Second) }

// play starts all targets at once, cold, and runs the load for a number of seconds.
func play(limited bool, seconds int) *outage {
	o := &outage{limited: limited, now: start, random: rand.New(rand.NewPCG(7, 7)), served: map[ident.Rank][]int{}, crashes: make([]int, seconds+9)}
	for _, r := range []ident.Rank{ident.Urgent, ident.Normal, ident.Deferred} {
		o.served[r] = make([]int, seconds+9)
	}
	rate := float64(coldRate)
	if !limited {
		rate = 0
	}
	var candidates []route.Candidate
	for i := range targets {
		c := &coldTarget{name: ident.Target(fmt.Sprintf("t%d", i)), limiter: warm.New(), warmAt: start.Add(coldStart), waiting: map[call.ID]*pendingCall{}}
		c.limiter.SetService(rate, coldStart, true, start)
		c.limiter.RecordStart(start)
		c.gate = admit.NewGate(18, admit.WithDeclaredSlots(), admit.WithStartLimit(c.limiter))
		o.targets = append(o.targets, c)
		candidates = append(candidates, route.Candidate{Target: c.name, VM: ident.VM(c.name), DataCentre: "dc", Slots: 18, ColdRate: rate})
	}
	for i := range senders {
		table := route.NewTable(ident.VM(fmt.Sprintf("s%d", i)), "dc", route.WithProfile(route.ProfileNear), route.WithRandom(o.random))
		table.SetCandidates(candidates, start)
		o.senders = append(o.senders, table)
	}
	o.after(0, o.arrive)
	for len(o.events) > 0 && o.second() < seconds {
		e := o.events[0]
		o.events, o.now = o.events[1:], e.at
		e.do()
	}
	return o
}

// arrive sends the next call of the load. A fifth of the calls are urgent.
func (o *outage) arrive() {
	rank := [5]ident.Rank{ident.Urgent, ident.Normal, ident.Normal, ident.Deferred, ident.Deferred}[o.random.IntN(5)]
	o.lastID++
	o.place(&pendingCall{id: o.lastID, table: o.senders[o.random.IntN(senders)], request: call.Request{
		Rank: rank, Route: "r", Deadline: o.now.Add(2 * time.Second), SoftDeadline: o.now.Add(400 * time.Millisecond), UsualLatency: work,
	}})
	o.after(time.Duration(o.random.ExpFloat64()*float64(time.Second)/demand), o.arrive)
}

// place chooses the target of a call. A call that is refused everywhere is lost.
func (o *outage) place(p *pendingCall) {
	if p.mayQueue || len(p.refused) > place.MaxRedirects {
		return
	}
	var name ident.Target
	if room, full := p.table.NextColdRoom(p.request.Rank, o.now, p.refused); full {
		if room, _ = p.table.NextColdRoom(p.request.Rank, o.now, nil); !place.StartsInTime(&p.request, room.At, o.now) {
			return
		}
		name, p.mayQueue = room.Target, true
	} else if name, full = p.table.PickFor(route.Call{Size: route.UnknownSize, Rank: p.request.Rank}, o.now, p.refused); !full {
		return
	}
	p.request.HoldUntil = place.HoldUntil(place.Placement{SoftDeadline: p.request.SoftDeadline, UsualLatency: work, SameDataCentre: true, MayQueue: p.mayQueue}, o.now)
	p.table.RecordAttempt(name, p.id, work, o.now)
	for _, c := range o.targets {
		if c.name == name {
			o.after(hop, func() { o.admit(c, p) })
		}
	}
}

func (o *outage) admit(c *coldTarget, p *pendingCall) {
	if c.down {
		o.refuse(c, p, errs.TargetDown, 0)
		return
	}
	if c.limiter.RequestCheck(o.now) {
		o.after(time.Millisecond, func() {
			c.limiter.RecordHealth(c.warmAt.Sub(o.now), o.now)
			o.advance(c)
		})
	}
	q := p.request
	switch d := c.gate.Admit(admit.Arrival{Call: p.id, Rank: q.Rank, Deadline: q.Deadline, Route: q.Route, SoftDeadline: q.SoftDeadline, HoldUntil: q.HoldUntil, UsualLatency: work}, o.now).(type) {
	case admit.Start:
		o.run(c, p)
	case admit.Wait:
		c.waiting[p.id] = p
		o.advance(c)
	case admit.Refuse:
		o.refuse(c, p, d.Kind, d.RetryAfter)
	}
}

func (o *outage) advance(c *coldTarget) { o.apply(c, c.gate.Actions(o.now)) }

func (o *outage) apply(c *coldTarget, actions []admit.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case admit.Dispatch:
			p := c.waiting[a.Call]
			delete(c.waiting, a.Call)
			o.run(c, p)
		case admit.Drop:
			p := c.waiting[a.Call]
			delete(c.waiting, a.Call)
			o.refuse(c, p, a.Kind, a.RetryAfter)
		case admit.Measure:
		}
	}
	if at, ok := c.gate.NextActionAt(o.now); ok && (!c.next.After(o.now) || at.Before(c.next)) {
		c.next = at
		o.after(at.Sub(o.now), func() { c.next = time.Time{}; o.advance(c) })
	}
}

// run runs a call on a target, which crashes if it is cold and gets more than it tolerates.
func (o *outage) run(c *coldTarget, p *pendingCall) {
	process, dispatched := c.process, o.now
	c.recent = append(c.recent, o.now)
	for o.now.Sub(c.recent[0]) >= time.Second {
		c.recent = c.recent[1:]
	}
	if !c.down && o.now.Before(c.warmAt) && len(c.recent) > coldBound {
		o.crash(c)
	}
	o.after(work, func() {
		if c.process != process || c.down {
			c.gate.Done(admit.Failed, admit.FinishedCall{}, o.now)
			o.after(hop, func() { p.table.RecordResult(c.name, p.id, route.Failed{}, o.now) })
			return
		}
		c.gate.Done(admit.Completed, admit.FinishedCall{Route: "r", Duration: o.now.Sub(dispatched)}, o.now)
		o.served[p.request.Rank][o.second()]++
		load := o.load(c)
		o.after(hop, func() { p.table.RecordResult(c.name, p.id, route.Served{Latency: work, Load: load}, o.now) })
		o.advance(c)
	})
}

func (o *outage) crash(c *coldTarget) {
	o.crashes[o.second()]++
	c.down, c.recent = true, nil
	c.process++
	o.after(0, func() { o.apply(c, c.gate.Flush(errs.TargetDown, o.now)) })
	o.after(restart, func() {
		c.down, c.warmAt = false, o.now.Add(coldStart)
		c.limiter.RecordStart(o.now)
		for _, s := range o.senders {
			s.UpdateLoad(c.name, o.load(c), o.now)
		}
	})
}

func (o *outage) load(c *coldTarget) call.Load {
	return call.Load{Incarnation: ident.Incarnation{1}, InFlight: c.gate.InFlight(), Queued: c.gate.Queued(), Limit: 18, Down: c.down, UntilWarm: c.limiter.UntilWarm(o.now)}
}

// refuse returns a call to its sender, which tries another target.
func (o *outage) refuse(c *coldTarget, p *pendingCall, kind errs.Kind, retryAfter time.Duration) {
	load := o.load(c)
	o.after(hop, func() {
		p.table.RecordResult(c.name, p.id, route.LoadOnly{Load: load}, o.now)
		if kind == errs.TargetCold {
			p.table.RecordColdRefusal(c.name, p.request.Rank, retryAfter, o.now)
		}
		p.refused = append(p.refused, c.name)
		o.place(p)
	})
}

func (o *outage) servedIn(second int) int {
	return o.served[ident.Urgent][second] + o.served[ident.Normal][second] + o.served[ident.Deferred][second]
}

// TestColdStartOfAllTargets guards against targets that crash again and again after a loss of power, against using less
// than cold targets tolerate, against serving other calls than the urgent ones first, and against a slow return to full
// service.
func TestColdStartOfAllTargets(t *testing.T) {
	const seconds = 14
	for _, test := range []struct {
		name    string
		limited bool
	}{{"with the limit", true}, {"without a limit", false}} {
		t.Run(test.name, func(t *testing.T) {
			o := play(test.limited, seconds)
			var served, crashes []int
			for second := range seconds {
				served, crashes = append(served, o.servedIn(second)), append(crashes, o.crashes[second])
			}
			t.Logf("served %v, urgent %v, crashes %v", served, o.served[ident.Urgent][:seconds], crashes)
			if !test.limited {
				qt.Assert(t, crashes[seconds-1]+crashes[seconds-2]+crashes[seconds-3]+crashes[seconds-4] >= targets/2, qt.IsTrue)
				return
			}
			for second := range seconds {
				qt.Check(t, crashes[second], qt.Equals, 0)
			}
			for _, second := range []int{1, 2} {
				qt.Check(t, float64(served[second]) >= .9*targets*coldRate, qt.IsTrue)
				qt.Check(t, float64(o.served[ident.Urgent][second]) >= .7*float64(served[second]), qt.IsTrue)
			}
			for _, second := range []int{4, 5, 6} {
				qt.Check(t, float64(served[second]) >= .9*demand, qt.IsTrue)
			}
		})
	}
}
