package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/bench/setup"
	"jacinthcross/internal/super/tree"
)

// A callOutcome is answered, refused or unknown.
type callOutcome interface{ callOutcome() }

// answered is the outcome of a call with a response. foreign is true when the response belongs to another call.
type answered struct {
	ok      bool
	foreign bool
}

// refused and unknown carry the error kind of a daemon (see errs) or one of jcbench: EntryClosed, NoKey, BadRequest,
// Stopped and Shed for refused, AnswerLost, CallerDeadline, ConnectionLost and ResponseCut for unknown.
type refused struct {
	kind string
	// earlierUnknown is true when earlier sends of the call may have run.
	earlierUnknown bool
}

type unknown struct{ kind string }

func (answered) callOutcome() {}
func (refused) callOutcome()  {}
func (unknown) callOutcome()  {}

type recordMessage interface{ recordMessage() }

// callSent reports the first send of a call. late is true when it was behind schedule.
type callSent struct{ late bool }

type callFinished struct {
	load    int
	latency time.Duration
	sends   int
	// marker identifies a call that must run at most once. It is empty for other calls.
	marker  string
	outcome callOutcome
	// afterWarmUp is false for calls scheduled in the warm-up, whose latency is not recorded.
	afterWarmUp bool
}

type snapshotRequest struct{ reply *mail.Box[results] }

func (callSent) recordMessage()        {}
func (callFinished) recordMessage()    {}
func (snapshotRequest) recordMessage() {}

// Stats counts the outcomes of the calls of one load. Fields cover calls after the warm-up unless they say otherwise.
type Stats struct {
	// SuccessfulWithWarmUp counts answers with status 200, including those of the warm-up.
	SuccessfulWithWarmUp int
	Calls                int
	Answered             int
	// Good counts answers with status 200 before the deadline.
	Good int
	// Failed counts answers with another status.
	Failed int
	// Foreign counts answers that belong to another call, including those of the warm-up.
	Foreign int
	Sends   int
	Refused map[string]int
	Unknown map[string]int
	// Early counts refusals, unknown outcomes and answers without status 200 in the warm-up, by kind. Answers without
	// status 200 have the kind Failed.
	Early map[string]int
	// Latency is in microseconds, from the scheduled time of a call to the end of its answer.
	Latency *hdrhistogram.Histogram
}

// results holds the measurements so far.
type results struct {
	stats []Stats
	late  int
	sent  int
	// refused holds the markers of calls whose sends were all refused as not run.
	refused map[string]bool
}

// A recorder collects the results of a run.
type recorder struct {
	*tree.Loop
	inbox *mail.Box[recordMessage]
	loads []setup.Load
	state results
}

const (
	recorderInboxSize = 65536
	// Latencies are recorded in microseconds, up to one minute.
	minLatencyMicros, maxLatencyMicros, significantDigits = 1, 60_000_000, 3
)

func newRecorder(loads []setup.Load) *recorder {
	r := &recorder{Loop: tree.NewLoop(), inbox: mail.NewBox[recordMessage](recorderInboxSize), loads: loads}
	r.state.refused = map[string]bool{}
	for range loads {
		r.state.stats = append(r.state.stats, Stats{
			Refused: map[string]int{}, Unknown: map[string]int{}, Early: map[string]int{}, Latency: hdrhistogram.New(minLatencyMicros, maxLatencyMicros, significantDigits),
		})
	}
	go func() {
		r.Run(r.loop)
	}()
	return r
}

func (r *recorder) put(m recordMessage) { r.inbox.Put(m, r.Done()) }

// snapshot returns the results so far. Its maps and histograms are not copies: the recorder changes them until it has
// stopped.
func (r *recorder) snapshot() results {
	reply := mail.NewBox[results](1)
	r.put(snapshotRequest{reply})
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
	case callSent:
		r.state.sent++
		if m.late {
			r.state.late++
		}
	case callFinished:
		r.recordFinished(m)
	case snapshotRequest:
		s := r.state
		s.stats = append([]Stats(nil), s.stats...)
		m.reply.TryPut(s)
	}
}

func (r *recorder) recordFinished(m callFinished) {
	t := &r.state.stats[m.load]
	// Guarantees are checked for all calls, including those of the warm-up.
	if f, ok := m.outcome.(refused); ok && !f.earlierUnknown && m.marker != "" {
		r.state.refused[m.marker] = true
	}
	if f, ok := m.outcome.(answered); ok && f.ok {
		t.SuccessfulWithWarmUp++
		if f.foreign {
			t.Foreign++
		}
	}
	if !m.afterWarmUp {
		switch f := m.outcome.(type) {
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
	switch f := m.outcome.(type) {
	case answered:
		t.Answered++
		switch {
		case !f.ok:
			t.Failed++
		case m.latency <= r.loads[m.load].Deadline:
			t.Good++
		}
		// Larger values are clamped, which does not matter: deadlines are far below one minute.
		_ = t.Latency.RecordValue(min(m.latency.Microseconds(), maxLatencyMicros))
	case refused:
		t.Refused[f.kind]++
	case unknown:
		t.Unknown[f.kind]++
	}
}
