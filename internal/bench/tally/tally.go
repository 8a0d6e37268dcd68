// Package tally counts how often stand-in targets ran each call.
package tally

import (
	"maps"

	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/super/tree"
)

// A Message is what the task receives.
type Message interface{ message() }

// A Ran says that a target ran a call. Marker is empty for calls that may run more than once.
type Ran struct {
	Target string
	Marker string
}

// An Ask asks for the counts. They go to Reply.
type Ask struct{ Reply *mail.Box[Counts] }

func (Ran) message() {}
func (Ask) message() {}

// Counts are how often calls ran.
type Counts struct {
	// Targets has the runs of each target.
	Targets map[string]int
	// Markers has the runs of each marked call.
	Markers map[string]int
}

// Total returns the runs at all targets.
func (c Counts) Total() int {
	n := 0
	for _, v := range c.Targets {
		n += v
	}
	return n
}

// SecondRuns returns how many runs of marked calls were not the first.
func (c Counts) SecondRuns() int {
	n := 0
	for _, v := range c.Markers {
		n += v - 1
	}
	return n
}

// Merge returns the sum of the counts of several processes.
func Merge(all ...Counts) Counts {
	sum := Counts{Targets: map[string]int{}, Markers: map[string]int{}}
	for _, c := range all {
		for k, v := range c.Targets {
			sum.Targets[k] += v
		}
		for k, v := range c.Markers {
			sum.Markers[k] += v
		}
	}
	return sum
}

// A Task owns the counts. It outlives the targets, so that runs before a crash stay counted.
type Task struct {
	*tree.Loop
	inbox  *mail.Box[Message]
	counts Counts
}

// mailbox holds the messages that arrive while the task copies its counts.
const mailbox = 65536

// New starts the task.
func New() *Task {
	t := &Task{Loop: tree.NewLoop(), inbox: mail.NewBox[Message](mailbox), counts: Merge()}
	go func() {
		t.Run(t.loop)
	}()
	return t
}

// Ran counts a run.
func (t *Task) Ran(r Ran) { t.inbox.Put(r, t.Done()) }

// Counts returns the counts. A stopped task returns none.
func (t *Task) Counts() Counts {
	reply := mail.NewBox[Counts](1)
	t.inbox.Put(Ask{reply}, t.Done())
	select {
	case c := <-reply.C():
		return c
	case <-t.Done():
		return Merge()
	}
}

func (t *Task) loop() error {
	for {
		select {
		case m := <-t.inbox.C():
			switch m := m.(type) {
			case Ran:
				t.counts.Targets[m.Target]++
				if m.Marker != "" {
					t.counts.Markers[m.Marker]++
				}
			case Ask:
				m.Reply.TryPut(Counts{Targets: maps.Clone(t.counts.Targets), Markers: maps.Clone(t.counts.Markers)})
			}
		case <-t.Stopping():
			return nil
		}
	}
}
