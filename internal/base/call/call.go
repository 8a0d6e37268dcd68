// Package call holds the call, its outcome and the load that travels with it.
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

// A Request is one call of a caller.
type Request struct {
	// ID identifies the send of the caller, in logs and at the target.
	ID      string
	Route   ident.Route
	Service ident.Service
	// Origin is the service of the target beside which the call entered.
	Origin   ident.Service
	Method   string
	URI      string
	Header   []Field
	Body     []byte
	Caller   netip.Addr
	Deadline time.Time
	// Aim is until when an answer has its full value for the caller. Zero means that none is stated.
	Aim time.Time
	// Usual is how long calls of the route usually take, as the daemon knows it at which the call entered, or 0.
	Usual time.Duration
	// Elsewhere is the lowest slowness that another target of the service may have, or 0 when there is none.
	Elsewhere float64
	// Returned says that the caller was refused before and has come back.
	Returned bool
	// Final says that the caller has no time to come back after a refusal.
	Final bool
	// HoldUntil bounds the time for which the call waits beside the target. Zero sets no bound.
	HoldUntil  time.Time
	Rank       ident.Rank
	Depth      int
	Allowance  int
	Key        string
	Idempotent bool
}

// Digest identifies the request by method, URI and body.
func (r *Request) Digest() ident.Digest {
	h := sha256.New()
	h.Write([]byte(r.Method))
	h.Write([]byte{0})
	h.Write([]byte(r.URI))
	h.Write([]byte{0})
	h.Write(r.Body)
	return ident.Digest(h.Sum(nil))
}

// An Outcome is the result of a call: Answered, Refused or Unknown.
type Outcome interface{ outcome() }

// An Answered is the whole answer of the target.
type Answered struct {
	Status int
	Header []Field
	Body   []byte
	// Remembered is true when the answer comes from the ledger and not from a run.
	Remembered bool
}

// A Refused says that this send was not run.
type Refused struct {
	Kind       errs.Kind
	RetryAfter time.Duration
	Detail     string
}

// An Unknown says that the call may have been run.
type Unknown struct {
	Kind   errs.Kind
	Detail string
}

func (Answered) outcome() {}
func (Refused) outcome()  {}
func (Unknown) outcome()  {}

// Label names an outcome in logs: the status of the target's answer, or the error kind.
func Label(o Outcome) string {
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

// A Load is what the daemon beside a target tells of it.
type Load struct {
	InFlight    int
	Queued      int
	Limit       int
	QueueDelay  time.Duration
	Latency     time.Duration
	Incarnation ident.Incarnation
	Epoch       ident.Epoch
	Head        ident.Head
	Draining    bool
	// Down is true while the target refuses connections.
	Down bool
	// Slowness is how many times longer than usual work takes on the target's VM, or 0 when that is not known.
	Slowness float32
	// SlowFor is how long the target is expected to stay so slow.
	SlowFor time.Duration
}

// A TargetLoad is what a target tells of its own load.
type TargetLoad struct {
	Running int
	Waiting int
	Slots   int
	// Slowness is how many times longer than usual work takes on the target's VM. Zero when the target does not tell.
	Slowness float64
}

// A Result is the outcome of one attempt.
type Result struct {
	Attempt     ID
	Outcome     Outcome
	Load        Load
	RetriesUsed int
	// Sent says that the call was sent to the target, which may have run it.
	Sent bool
}
