package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/bench/setup"
	"jacinthcross/internal/super/tree"
)

// A finish is one of answered, refused and unknown.
type finish interface{ finish() }

// answered says that the target answered. Foreign is true when it answered another call.
type answered struct {
	ok      bool
	foreign bool
}

type refused struct {
	kind string
	// earlier is true when earlier sends of the call may have run.
	earlier bool
}

type unknown struct{ kind string }

func (answered) finish() {}
func (refused) finish()  {}
func (unknown) finish()  {}

type recordMessage interface{ recordMessage() }

// sent says that a call was sent later than its schedule.
type sent struct{ late bool }

type finished struct {
	load    int
	latency time.Duration
	sends   int
	// marker is set for calls that must not run twice.
	marker string
	finish finish
	// warm is false for calls in the warm-up, whose latency is not recorded.
	warm bool
}

type snapshotAsk struct{ reply *mail.Box[snapshot] }

func (sent) recordMessage()        {}
func (finished) recordMessage()    {}
func (snapshotAsk) recordMessage() {}

// A Tally is what happened to the calls of one load after the warm-up.
type Tally struct {
	// All are the answers with status 200 including the warm-up.
	All      int
	Calls    int
	Answered int
	// Good are the answers with status 200 before the deadline.
	Good    int
	Failed  int
	Foreign int
	Sends   int
	Refused map[string]int
	Unknown map[string]int
	// Early are the refusals, unknown outcomes and answers without status 200 of the warm-up.
	Early map[string]int
	// Latency counts microseconds from the scheduled time to the end of an answer.
	Latency *hdrhistogram.Histogram
}

type snapshot struct {
	tallies []Tally
	late    int
	sent    int
	// refused are the markers of calls of which every send was refused as not run.
	refused map[string]bool
}

// A recorder owns the results of a run.
type recorder struct {
	*tree.Loop
	inbox *mail.Box[recordMessage]
	loads []setup.Load
	state snapshot
}

const (
	recordMailbox = 65536
	// Latencies are recorded in microseconds up to a minute with three figures.
	lowest, highest, figures = 1, 60_000_000, 3
)

func newRecorder(loads []setup.Load) *recorder {
	r := &recorder{Loop: tree.NewLoop(), inbox: mail.NewBox[recordMessage](recordMailbox), loads: loads}
	r.state.refused = map[string]bool{}
	for range loads {
		r.state.tallies = append(r.state.tallies, Tally{
			Refused: map[string]int{}, Unknown: map[string]int{}, Early: map[string]int{}, Latency: hdrhistogram.New(lowest, highest, figures),
		})
	}
	go func() {
		r.Run(r.loop)
	}()
	return r
}

func (r *recorder) put(m recordMessage) { r.inbox.Put(m, r.Done()) }

// snapshot returns the results so far. The histograms must not be read before the recorder has stopped.
func (r *recorder) snapshot() snapshot {
	reply := mail.NewBox[snapshot](1)
	r.put(snapshotAsk{reply})
	select {
	case s := <-reply.C():
		return s
	case <-r.Done():
		return r.state
	}
}

func (r *recorder) loop() error {
	for {
		select {
		case m := <-r.inbox.C():
			r.receive(m)
		case <-r.Stopping():
			return nil
		}
	}
}

func (r *recorder) receive(m recordMessage) {
	switch m := m.(type) {
	case sent:
		r.state.sent++
		if m.late {
			r.state.late++
		}
	case finished:
		r.finished(m)
	case snapshotAsk:
		s := r.state
		s.tallies = append([]Tally(nil), s.tallies...)
		m.reply.TryPut(s)
	}
}

func (r *recorder) finished(m finished) {
	t := &r.state.tallies[m.load]
	// Promises are checked for all calls, also those of the warm-up.
	if f, ok := m.finish.(refused); ok && !f.earlier && m.marker != "" {
		r.state.refused[m.marker] = true
	}
	if f, ok := m.finish.(answered); ok && f.ok {
		t.All++
		if f.foreign {
			t.Foreign++
		}
	}
	if !m.warm {
		switch f := m.finish.(type) {
		case refused:
			t.Early[f.kind]++
		case unknown:
			t.Early[f.kind]++
		case answered:
			if !f.ok {
				t.Early["Failed"]++
			}
		}
		return
	}
	t.Calls++
	t.Sends += m.sends
	switch f := m.finish.(type) {
	case answered:
		t.Answered++
		switch {
		case !f.ok:
			t.Failed++
		case m.latency <= r.loads[m.load].Deadline:
			t.Good++
		}
		// Values beyond the highest are cut to it: a caller's deadline is far below a minute.
		_ = t.Latency.RecordValue(min(m.latency.Microseconds(), highest))
	case refused:
		t.Refused[f.kind]++
	case unknown:
		t.Unknown[f.kind]++
	}
}
