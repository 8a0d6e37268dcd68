// Package call defines calls, their outcomes and the load reports that accompany them.
package call

import (
	"crypto/sha256"
	"net/netip"
	"strconv"
	"time"

	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
)

// A Field is one header field.
type Field struct {
	Name  string
	Value string
}

// A Request is a call as its caller sent it, with the data that daemons add on the way to the target.
type Request struct {
	// ID identifies one attempt of the caller to send the call, in logs and at the target. It is unique across
	// daemons.
	ID      string
	Route   ident.Route
	Service ident.Service
	// Origin is the service of the target beside the daemon at which the call entered.
	Origin   ident.Service
	Method   string
	URI      string
	Header   []Field
	Body     []byte
	Caller   netip.Addr
	Deadline time.Time
	// SoftDeadline is the time by which an answer has its full value for the caller. Later answers are accepted
	// until Deadline. Zero means that the route sets none.
	SoftDeadline time.Time
	// UsualLatency is the average latency of calls of the route, as measured at the daemon where the call entered,
	// or 0 if unknown.
	UsualLatency time.Duration
	// MinOtherSlowness is the lowest slowness among the other available targets of the service, counting a target
	// without a recent report as 1. It is 0 if there is no other available target. Load.Slowness defines slowness.
	MinOtherSlowness float64
	// RetriedByCaller is true if the call was refused before and the caller has retried it.
	RetriedByCaller bool
	// CallerCannotRetry is true if the caller has no time left to retry the call after a refusal.
	CallerCannotRetry bool
	// HoldUntil is when the target's daemon refuses the call if it has not started, so that it can be redirected to
	// another target. Zero means that the call is not redirected; then only its rank and its deadlines limit the
	// wait.
	HoldUntil time.Time
	Rank      ident.Rank
	// Depth is the number of calls above this one in its chain of calls.
	Depth int
	// RetryAllowance is the number of retries that the call may still cause on all levels of its chain.
	RetryAllowance int
	// Key is the idempotency key that the caller sent or a daemon issued, or empty.
	Key string
	// Idempotent is true if the call may run more than once.
	Idempotent bool
}

// IsRepeatable reports whether the call may be sent again after an attempt with an unknown outcome: running it twice does
// no harm, or its key prevents a second run.
func (r *Request) IsRepeatable() bool { return r.Idempotent || r.Key != "" }

// Digest returns the SHA-256 of the method, URI and body of the request.
func (r *Request) Digest() ident.Digest {
	h := sha256.New()
	h.Write([]byte(r.Method))
	h.Write([]byte{0})
	h.Write([]byte(r.URI))
	h.Write([]byte{0})
	h.Write(r.Body)
	return ident.Digest(h.Sum(nil))
}

// An Outcome is the result of a call or of one of its attempts: Answered, Refused or Unknown. An errs.Outcome tells
// the caller whether its call ran.
type Outcome interface{ outcome() }

// Answered is the complete answer of the target.
type Answered struct {
	Status int
	Header []Field
	Body   []byte
	// Replayed is true if the answer is replayed from the ledger.
	Replayed bool
}

// IsFinalStatus reports whether a status code is one of a final response.
func IsFinalStatus(status int) bool { return status >= 200 && status <= 599 }

// Checked returns the outcome, or Unknown for an answer whose status is not one of a final response.
func Checked(o Outcome) Outcome {
	if a, ok := o.(Answered); ok && !IsFinalStatus(a.Status) {
		return Unknown{Kind: errs.AnswerCut, Detail: "a final response cannot have the status " + strconv.Itoa(a.Status)}
	}
	return o
}

// Refused means that this attempt did not run.
type Refused struct {
	Kind       errs.Kind
	RetryAfter time.Duration
	Detail     string
}

// Unknown means that the call may have run.
type Unknown struct {
	Kind   errs.Kind
	Detail string
}

func (Answered) outcome() {}
func (Refused) outcome()  {}
func (Unknown) outcome()  {}

// OutcomeLabel returns the name of an outcome in logs: the HTTP status of the target's answer, or the error kind.
func OutcomeLabel(o Outcome) string {
	switch o := o.(type) {
	case Answered:
		return strconv.Itoa(o.Status)
	case Refused:
		return string(o.Kind)
	case Unknown:
		return string(o.Kind)
	}
	return ""
}

// A Load is the load of a target as reported by the daemon beside it.
type Load struct {
	InFlight int
	Queued   int
	// Limit is how many calls may be in flight at present.
	Limit      int
	QueueDelay time.Duration
	// Latency is the mean service time of calls at the target.
	Latency     time.Duration
	Incarnation ident.Incarnation
	// Epoch is the current epoch of the daemon's idempotency keys.
	Epoch ident.Epoch
	// Head is the newest release that the daemon holds.
	Head     ident.Head
	Draining bool
	// Down is true while the target refuses connections.
	Down bool
	// Slowness is the factor by which work on the target's VM takes longer than usual, or 0 if unknown.
	Slowness float32
	// ExpectedSlowDuration is how long the target is expected to stay this slow.
	ExpectedSlowDuration time.Duration
	// UntilWarm is how long the target stays cold, or 0 if it is warm or has no limit while cold.
	UntilWarm time.Duration
}

// A TargetLoad is the load that a target itself reports.
type TargetLoad struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is the factor by which work on the target's VM takes longer than usual, or 0 if the target reports none.
	Slowness float64
}

// A Result is the outcome of one attempt.
type Result struct {
	Attempt ID
	Outcome Outcome
	Load    Load
	// RetriesUsed counts the retries on lower levels of the chain of calls.
	RetriesUsed int
	// Sent is true if the call was sent to the target, which may thus have run it.
	Sent bool
}
