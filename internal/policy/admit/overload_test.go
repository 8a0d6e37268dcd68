package admit

import (
	"container/heap"
	"math/rand"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/ident"
)

// A simulation sends calls through a Gate to one target in virtual time.
type simulation struct {
	actualSlots     int           // concurrent calls that the target runs; it sheds any beyond them
	gate            *Gate         // admits calls
	meanServiceTime time.Duration // of an exponential distribution
	random          *rand.Rand
	now             time.Time
	events          events
	calls           map[call.ID]Arrival
	inTime          map[ident.Rank]int
	arrived         map[ident.Rank]int
	running         int
}

type simulatedEvent struct {
	at  time.Time
	run func()
}

type events []simulatedEvent

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(simulatedEvent)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

const (
	simulatedTime   = 20 * time.Second
	callDeadline    = 150 * time.Millisecond
	meanServiceTime = 5 * time.Millisecond
)

// simulate sends calls at a multiple (load) of the capacity of a target with actualSlots slots for simulatedTime, and
// returns the simulation. The gate is told declaredSlots.
func simulate(declaredSlots, actualSlots int, load float64) *simulation {
	s := &simulation{
		actualSlots: actualSlots, gate: NewGate(declaredSlots), meanServiceTime: meanServiceTime, random: rand.New(rand.NewSource(7)),
		now: time.Unix(0, 0), calls: map[call.ID]Arrival{}, inTime: map[ident.Rank]int{}, arrived: map[ident.Rank]int{},
	}
	gap := float64(s.meanServiceTime) / float64(actualSlots) / load
	end := s.now.Add(simulatedTime)
	var id call.ID
	var arrive func()
	arrive = func() {
		id++
		s.arrive(id)
		s.schedule(time.Duration(s.random.ExpFloat64()*gap), arrive)
	}
	arrive()
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		e := heap.Pop(&s.events).(simulatedEvent)
		s.now = e.at
		e.run()
	}
	return s
}

func (s *simulation) schedule(after time.Duration, run func()) {
	heap.Push(&s.events, simulatedEvent{s.now.Add(after), run})
}

func (s *simulation) arrive(id call.ID) {
	a := Arrival{Call: id, Rank: ident.Ranks()[s.random.Intn(3)], Deadline: s.now.Add(callDeadline)}
	s.arrived[a.Rank]++
	switch s.gate.Admit(a, s.now).(type) {
	case Start:
		s.start(a)
	case Wait:
		s.calls[id] = a
		s.applyActions()
		s.schedule(maxWaitWithoutSoftDeadline(a.Rank), s.applyActions)
	case Refuse:
	}
}

func (s *simulation) applyActions() {
	for _, step := range s.gate.Actions(s.now) {
		switch step := step.(type) {
		case Dispatch:
			s.start(s.calls[step.Call])
			delete(s.calls, step.Call)
		case Drop:
			delete(s.calls, step.Call)
		}
	}
}

func (s *simulation) start(a Arrival) {
	started := s.now
	if s.running >= s.actualSlots {
		s.schedule(100*time.Microsecond, func() { s.done(Shed, started) })
		return
	}
	s.running++
	s.schedule(time.Duration(s.random.ExpFloat64()*float64(s.meanServiceTime)), func() {
		s.running--
		if !s.now.After(a.Deadline) {
			s.inTime[a.Rank]++
		}
		s.done(Completed, started)
	})
}

func (s *simulation) done(result Result, started time.Time) {
	s.gate.Done(result, FinishedCall{Duration: s.now.Sub(started)}, s.now)
	s.applyActions()
}

func (s *simulation) totalInTime() int {
	n := 0
	for _, v := range s.inTime {
		n += v
	}
	return n
}

// TestOverload guards against a drop in goodput under overload, and against calls of a low rank that displace
// calls of a high one. It uses virtual time and a fixed seed, so that every run gives the same figures.
func TestOverload(t *testing.T) {
	tests := []struct {
		name            string
		declared, slots int
	}{
		{"ten slots", 10, 10},
		{"six slots", 6, 6},
		{"the target sheds above six of ten declared slots", 10, 6},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			unloaded := simulate(test.declared, test.slots, 1)
			over := simulate(test.declared, test.slots, 3)
			ratio := float64(over.totalInTime()) / float64(unloaded.totalInTime())
			urgent := float64(over.inTime[ident.Urgent]) / float64(over.arrived[ident.Urgent])
			t.Logf("goodput %d at 1x, %d at 3x (ratio %.3f); in time at 3x: %v of %v", unloaded.totalInTime(), over.totalInTime(), ratio, over.inTime, over.arrived)
			qt.Assert(t, ratio >= 0.95, qt.IsTrue)
			qt.Assert(t, urgent >= 0.85, qt.IsTrue)
		})
	}
}
