package admit

import (
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
)

// A Decision is what Admit decides for a call: Start, Wait or Refuse.
type Decision interface{ decision() }

// Start means that the call may be dispatched now. Done must be called when it ends.
type Start struct{}

// Wait means that the call is queued. Actions must be called next, since another queued call may have been dropped
// for it.
type Wait struct{}

// Refuse means that the call is not run.
type Refuse struct {
	Kind       errs.Kind
	RetryAfter time.Duration
}

func (Start) decision()  {}
func (Wait) decision()   {}
func (Refuse) decision() {}

// An Action is an action for the caller of the Gate: Dispatch or Drop for a queued call, or Measure.
type Action interface{ action() }

// Dispatch means that a queued call may be dispatched now. Done must be called when it ends.
type Dispatch struct{ Call call.ID }

// Drop means that a queued call is not run.
type Drop struct {
	Call       call.ID
	Kind       errs.Kind
	RetryAfter time.Duration
}

// Measure asks for a measurement of the target's slowness, to be passed to RecordSlowness.
type Measure struct{}

func (Dispatch) action() {}
func (Drop) action()     {}
func (Measure) action()  {}

// An Arrival describes a call that asks for admission.
type Arrival struct {
	Call     call.ID
	Rank     ident.Rank
	Deadline time.Time
	// Route is the route of the call, or empty if it has none. Calls of one route are assumed to take about
	// equally long.
	Route ident.Route
	// UsualLatency is the average latency of calls of this route, as measured at the daemon where the call entered,
	// or 0 if unknown. It serves as the service time until a call of the route has ended at this target.
	UsualLatency time.Duration
	// MinOtherSlowness is the lowest slowness among the other available targets of the service, counting a target
	// without a recent report as 1. It is 0 if there is no other available target.
	MinOtherSlowness float64
	// SoftDeadline is the time by which an answer has its full value to the caller. Later answers are accepted
	// until Deadline. Zero means that none is set.
	SoftDeadline time.Time
	// RetriedByCaller means that the call was refused before and the caller has retried it.
	RetriedByCaller bool
	// CallerCannotRetry means that the caller has no time to retry, so that a refusal is final.
	CallerCannotRetry bool
	// HoldUntil is when the call is refused if it has not started, so that the daemon where it entered can redirect
	// it to another target. Zero means that the call is not redirected; then only its rank and its deadlines limit
	// the wait.
	HoldUntil time.Time
}

// A FinishedCall describes a call that has ended.
type FinishedCall struct {
	Route    ident.Route
	Duration time.Duration
	// Slowness is the slowness of the target when the call was dispatched, or 0 if unknown.
	Slowness float64
	// InFlight is the number of calls in flight when the call was dispatched, including itself.
	InFlight int
}

// A Result is how a dispatched call ended.
type Result string

const (
	// Completed means that the target answered. Its duration is a sample of the service time.
	Completed Result = "Completed"
	// Shed means that the target itself refused the call.
	Shed Result = "Shed"
	// Failed means that the call was cut off. Its duration says nothing about the service time.
	Failed Result = "Failed"
)
