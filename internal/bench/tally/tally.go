// Package tally counts how often simulated targets ran each call.
package tally

import (
	"maps"

	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/super/tree"
)

// A Message is what the task receives.
type Message interface{ message() }

// A RunReport reports that a target ran a call. Marker identifies a call whose runs are counted separately. It is empty
// for other calls.
type RunReport struct {
	Target string
	Marker string
}

// A CountsRequest requests the counts, which are sent to Reply.
type CountsRequest struct{ Reply *mail.Box[Counts] }

func (RunReport) message()     {}
func (CountsRequest) message() {}

// Counts are the numbers of runs so far.
type Counts struct {
	// Targets has the number of runs by target.
	Targets map[string]int
	// Markers has the number of runs by marker.
	Markers map[string]int
}

// Total returns the number of runs at all targets.
func (c Counts) Total() int {
	n := 0
	for _, v := range c.Targets {
		n += v
	}
	return n
}

// SecondRuns returns the number of runs of marked calls beyond the first run of each.
func (c Counts) SecondRuns() int {
	n := 0
	for _, v := range c.Markers {
		n += v - 1
	}
	return n
}

// Merge returns the sum of counts. Without arguments it returns empty counts.
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

// A Task keeps the counts. It is separate from the targets, so that runs before a crash stay counted.
type Task struct {
	*tree.Loop
	inbox  *mail.Box[Message]
	counts Counts
}

// inboxSize is large, so that targets rarely wait while the task copies its counts.
const inboxSize = 65536

// New starts the task.
func New() *Task {
	t := &Task{Loop: tree.NewLoop(), inbox: mail.NewBox[Message](inboxSize), counts: Merge()}
	go func() {
		t.Run(t.loop)
	}()
	return t
}

// Record counts a run.
func (t *Task) Record(r RunReport) { t.inbox.Put(r, t.Done()) }

// Counts returns a copy of the counts. They are empty after the task has stopped.
func (t *Task) Counts() Counts {
	reply := mail.NewBox[Counts](1)
	t.inbox.Put(CountsRequest{reply}, t.Done())
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
			case RunReport:
				t.counts.Targets[m.Target]++
				if m.Marker != "" {
					t.counts.Markers[m.Marker]++
				}
			case CountsRequest:
				m.Reply.TryPut(Counts{Targets: maps.Clone(t.counts.Targets), Markers: maps.Clone(t.counts.Markers)})
			}
		case <-t.Stopping():
			return nil
		}
	}
}
