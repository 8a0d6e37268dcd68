// Package errs defines the error kinds that callers can see and the response to each.
package errs

import (
	"time"

	"github.com/juju/errors"
)

// A Kind is a kind of error that a caller can see.
type Kind string

// The error kinds. ResponseFor returns the response to each.
const (
	BadRequest       Kind = "BadRequest"       // the request is malformed
	HeaderTooLarge   Kind = "HeaderTooLarge"   // the request header exceeds the limit
	BodyTooLarge     Kind = "BodyTooLarge"     // the request body exceeds the limit
	UnknownService   Kind = "UnknownService"   // the named service is not in the release in force
	NoRoute          Kind = "NoRoute"          // no route matches the host and path
	KeyInvalid       Kind = "KeyInvalid"       // the key was not issued by a daemon, or is malformed
	KeyRequired      Kind = "KeyRequired"      // the call is not idempotent and has no key
	KeyMismatch      Kind = "KeyMismatch"      // the key was already used for a different request
	KeyExpired       Kind = "KeyExpired"       // the epoch of the key has expired
	OwnerGone        Kind = "OwnerGone"        // the daemon process that owned the key has restarted or has another target
	OwnerUnreachable Kind = "OwnerUnreachable" // the daemon that owns the key did not reply
	StillRunning     Kind = "StillRunning"     // the call is running, and the maximum number of resends wait for it
	LedgerFull       Kind = "LedgerFull"       // the daemon holds the maximum number of keys
	AnswerForgotten  Kind = "AnswerForgotten"  // the call ran, but there was no room to store its answer
	Busy             Kind = "Busy"             // a daemon cannot take more calls
	Overloaded       Kind = "Overloaded"       // the target cannot start the call in time, or its queue is full
	QueueTimeout     Kind = "QueueTimeout"     // the call was queued for the maximum time
	TargetShed       Kind = "TargetShed"       // the target itself refused the call
	TargetDown       Kind = "TargetDown"       // the target does not accept connections
	TargetReplaced   Kind = "TargetReplaced"   // another target has taken the address
	TargetSlow       Kind = "TargetSlow"       // the target is slow at present, and another one may be faster
	TargetCold       Kind = "TargetCold"       // the target has started recently and takes no more calls at present
	// DataCentreEvacuated means that the operators want the data centre of the target to get no calls.
	DataCentreEvacuated Kind = "DataCentreEvacuated"
	NoTarget            Kind = "NoTarget"         // the service has no usable target
	PeerUnreachable     Kind = "PeerUnreachable"  // the daemon beside the target cannot be reached
	Draining            Kind = "Draining"         // the daemon or the target takes no new calls, because it is about to stop
	Withdrawn           Kind = "Withdrawn"        // the daemon no longer serves the target
	Quarantined         Kind = "Quarantined"      // the request has crashed targets
	Unconfirmed         Kind = "Unconfirmed"      // the daemon has not confirmed its release yet
	DepthExceeded       Kind = "DepthExceeded"    // the chain of calls is too long
	DeadlineExceeded    Kind = "DeadlineExceeded" // the deadline passed before the call ran, or is too close
	DeadlineInFlight    Kind = "DeadlineInFlight" // the deadline passed before the outcome was known
	TargetFailed        Kind = "TargetFailed"     // the connection to the target failed during the call
	AnswerCut           Kind = "AnswerCut"        // the answer is incomplete, or its end cannot be recognized
	AnswerTooLarge      Kind = "AnswerTooLarge"   // the answer exceeds the limit
	AnswerForeign       Kind = "AnswerForeign"    // the answer belongs to another request
	PeerLost            Kind = "PeerLost"         // the connection to the daemon beside the target failed during the call
	CallerGone          Kind = "CallerGone"       // the caller closed its connection
	Internal            Kind = "Internal"         // an unexpected error
)

// An Outcome tells a caller whether its call ran. The result itself is a call.Outcome.
type Outcome string

const (
	// Answered means that the target answered.
	Answered Outcome = "Answered"
	// NotRun means that the call has provably not run.
	NotRun Outcome = "NotRun"
	// NotRunEarlierUnknown means that this attempt did not run, and that earlier attempts may have run.
	NotRunEarlierUnknown Outcome = "NotRunEarlierUnknown"
	// Unknown means that the call may have run.
	Unknown Outcome = "Unknown"
)

// A Response is the response to a caller for an error kind.
type Response struct {
	Status  int // HTTP status code
	Outcome Outcome
	// RetryAfter is the value of the Retry-After header, or 0 for none.
	RetryAfter time.Duration
	Advice     string
}

// An Error is an error that has a kind.
type Error struct {
	Kind   Kind
	Detail string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Detail == "" {
		return string(e.Kind)
	}
	return string(e.Kind) + ": " + e.Detail
}

// New returns an error of the given kind.
func New(kind Kind, detail string) error {
	return errors.Trace(&Error{Kind: kind, Detail: detail})
}

// KindOf returns the kind of err, or Internal when it has none.
func KindOf(err error) Kind {
	var e *Error
	if errors.As(err, &e) {
		return e.Kind
	}
	return Internal
}
