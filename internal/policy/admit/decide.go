package admit

import (
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
)

// A Decision is what to do with an arriving call: Start, Wait or Refuse.
type Decision interface{ decision() }

// Start says that the call may be dispatched now; Done must follow.
type Start struct{}

// Wait says that the call is queued. Steps must follow, since a queued call may have yielded its place.
type Wait struct{}

// Refuse says that the call is not run.
type Refuse struct {
	Kind       errs.Kind
	RetryAfter time.Duration
}

func (Start) decision()  {}
func (Wait) decision()   {}
func (Refuse) decision() {}

// A Step is what became of a queued call, Dispatch or Drop, or asks for something: Measure.
type Step interface{ step() }

// A Dispatch says that a queued call may be dispatched now; Done must follow.
type Dispatch struct{ Call call.ID }

// A Drop says that a queued call is not run.
type Drop struct {
	Call       call.ID
	Kind       errs.Kind
	RetryAfter time.Duration
}

// A Measure asks for the slowness of the target, which Sense takes.
type Measure struct{}

func (Dispatch) step() {}
func (Drop) step()     {}
func (Measure) step()  {}

// An Arrival is a call that asks to be run.
type Arrival struct {
	Call     call.ID
	Rank     ident.Rank
	Deadline time.Time
	// Kind is the kind of calls that take about as long as this one. It is empty when there is none.
	Kind ident.Route
	// Usual is how long calls of the kind take elsewhere, or 0. It counts until one has ended here.
	Usual time.Duration
	// Elsewhere is the lowest slowness that another target may have, or 0 when there is none.
	Elsewhere float64
	// Aim is until when an answer has its full value. Zero means that none is stated.
	Aim time.Time
	// Returned says that the caller was refused before and has come back.
	Returned bool
	// Final says that a refusal ends the call for good: its caller has no time to come back.
	Final bool
	// HoldUntil bounds the time for which a call waits for a slot or for the end of a slow spell, since another
	// target may serve it earlier. Zero sets no bound.
	HoldUntil time.Time
}

// A Run is what a call that has ended tells of the target.
type Run struct {
	Kind ident.Route
	Took time.Duration
	// Slowness is that of the target when the call was dispatched, or 0 when it is not known.
	Slowness float64
	// InFlight is the number of calls in flight when the call was dispatched, itself included.
	InFlight int
}

// An End is how a dispatched call ended.
type End string

// The ends of a dispatched call.
const (
	// Completed means that the target answered; the time it took is a sample of its latency.
	Completed End = "Completed"
	// Shed means that the target itself refused the call.
	Shed End = "Shed"
	// Failed means that the call was cut off, so that the time it took tells nothing of the latency.
	Failed End = "Failed"
)
