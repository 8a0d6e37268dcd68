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

// A simulation runs calls through a Gate to one target in virtual time.
type simulation struct {
	slots   int           // calls that the target runs at once; it sheds more than that
	gate    *Gate         // admits calls
	service time.Duration // mean of the exponential service time
	random  *rand.Rand
	now     time.Time
	events  events
	calls   map[call.ID]Arrival
	good    map[ident.Rank]int
	arrived map[ident.Rank]int
	running int
}

type simEvent struct {
	at  time.Time
	run func()
}

type events []simEvent

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(simEvent)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

const (
	simTime     = 20 * time.Second
	simDeadline = 150 * time.Millisecond
	simService  = 5 * time.Millisecond
)

// simulate offers load times the capacity of a target and returns the simulation after simTime.
func simulate(declared, slots int, load float64) *simulation {
	s := &simulation{
		slots: slots, gate: NewGate(declared), service: simService, random: rand.New(rand.NewSource(7)),
		now: time.Unix(0, 0), calls: map[call.ID]Arrival{}, good: map[ident.Rank]int{}, arrived: map[ident.Rank]int{},
	}
	gap := float64(s.service) / float64(slots) / load
	end := s.now.Add(simTime)
	var id call.ID
	var arrive func()
	arrive = func() {
		id++
		s.arrive(id)
		s.at(time.Duration(s.random.ExpFloat64()*gap), arrive)
	}
	arrive()
	for len(s.events) > 0 && s.events[0].at.Before(end) {
		e := heap.Pop(&s.events).(simEvent)
		s.now = e.at
		e.run()
	}
	return s
}

func (s *simulation) at(after time.Duration, run func()) {
	heap.Push(&s.events, simEvent{s.now.Add(after), run})
}

func (s *simulation) arrive(id call.ID) {
	a := Arrival{Call: id, Rank: ident.Ranks()[s.random.Intn(3)], Deadline: s.now.Add(simDeadline)}
	s.arrived[a.Rank]++
	switch s.gate.Arrive(a, s.now).(type) {
	case Start:
		s.start(a)
	case Wait:
		s.calls[id] = a
		s.steps()
		s.at(maxWait(a.Rank), s.steps)
	case Refuse:
	}
}

func (s *simulation) steps() {
	for _, step := range s.gate.Steps(s.now) {
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
	if s.running >= s.slots {
		s.at(100*time.Microsecond, func() { s.done(Shed, started) })
		return
	}
	s.running++
	s.at(time.Duration(s.random.ExpFloat64()*float64(s.service)), func() {
		s.running--
		if !s.now.After(a.Deadline) {
			s.good[a.Rank]++
		}
		s.done(Completed, started)
	})
}

func (s *simulation) done(end End, started time.Time) {
	s.gate.Done(end, Run{Took: s.now.Sub(started)}, s.now)
	s.steps()
}

func (s *simulation) total() int {
	n := 0
	for _, v := range s.good {
		n += v
	}
	return n
}

// TestOverload guards against a fall of the goodput under overload, and against calls of a low rank
// that take the place of calls of a high one. Virtual time with a fixed seed gives the same figures in each run.
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
			ratio := float64(over.total()) / float64(unloaded.total())
			urgent := float64(over.good[ident.Urgent]) / float64(over.arrived[ident.Urgent])
			t.Logf("goodput %d at 1x, %d at 3x (ratio %.3f); good at 3x: %v of %v", unloaded.total(), over.total(), ratio, over.good, over.arrived)
			qt.Assert(t, ratio >= 0.95, qt.IsTrue)
			qt.Assert(t, urgent >= 0.85, qt.IsTrue)
		})
	}
}
