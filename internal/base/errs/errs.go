// Package errs defines the error kinds that callers can see and the answer to each.
package errs

import (
	"time"

	"github.com/juju/errors"
)

// A Kind is a kind of error that a caller can see.
type Kind string

// The error kinds. ResponseFor returns the answer to each.
const (
	BadRequest       Kind = "BadRequest"
	HeaderTooLarge   Kind = "HeaderTooLarge"
	BodyTooLarge     Kind = "BodyTooLarge"
	UnknownService   Kind = "UnknownService"
	NoRoute          Kind = "NoRoute"
	KeyInvalid       Kind = "KeyInvalid"
	KeyRequired      Kind = "KeyRequired"
	KeyMismatch      Kind = "KeyMismatch"
	KeyExpired       Kind = "KeyExpired"
	OwnerGone        Kind = "OwnerGone"
	OwnerUnreachable Kind = "OwnerUnreachable"
	StillRunning     Kind = "StillRunning"
	LedgerFull       Kind = "LedgerFull"
	AnswerForgotten  Kind = "AnswerForgotten"
	Busy             Kind = "Busy"
	Overloaded       Kind = "Overloaded"
	QueueTimeout     Kind = "QueueTimeout"
	TargetShed       Kind = "TargetShed"
	TargetDown       Kind = "TargetDown"
	TargetReplaced   Kind = "TargetReplaced"
	TargetSlow       Kind = "TargetSlow"
	NoTarget         Kind = "NoTarget"
	PeerUnreachable  Kind = "PeerUnreachable"
	Draining         Kind = "Draining"
	Withdrawn        Kind = "Withdrawn"
	Quarantined      Kind = "Quarantined"
	Unconfirmed      Kind = "Unconfirmed"
	DepthExceeded    Kind = "DepthExceeded"
	DeadlineExceeded Kind = "DeadlineExceeded"
	DeadlineInFlight Kind = "DeadlineInFlight"
	TargetFailed     Kind = "TargetFailed"
	AnswerCut        Kind = "AnswerCut"
	AnswerTooLarge   Kind = "AnswerTooLarge"
	AnswerForeign    Kind = "AnswerForeign"
	PeerLost         Kind = "PeerLost"
	CallerGone       Kind = "CallerGone"
	Internal         Kind = "Internal"
)

// An Outcome tells a caller whether its call ran.
type Outcome string

// The outcomes.
const (
	// Answered means that the target answered.
	Answered Outcome = "Answered"
	// NotRun means that the call is proved not to have run.
	NotRun Outcome = "NotRun"
	// NotRunEarlierUnknown means that this send did not run, and that earlier sends may have run.
	NotRunEarlierUnknown Outcome = "NotRunEarlierUnknown"
	// Unknown means that the call may have run.
	Unknown Outcome = "Unknown"
)

// An Response is the response to a caller for an error kind.
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
