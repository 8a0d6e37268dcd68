// Package router implements the task that chooses targets and manages the calls that entered the system at this
// daemon.
package router

import (
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/policy/crash"
	"jacinthcross/internal/policy/route"
	"jacinthcross/internal/task/local"
)

// A Message is a message to the task.
type Message interface{ message() }

// A Submit submits a call. Its outcome is sent as an Answer to Reply, which must have room for it. If the request names
// no service, Host and the path select the route or the service.
type Submit struct {
	ID      call.ID
	Request call.Request
	Host    string
	// Context is the token of the inbound call on whose behalf the call is made (see local.CallContext), or empty.
	Context string
	// Arrived is when the call arrived. Timeouts are measured from it. Zero means the time of receipt.
	Arrived time.Time
	// OnlyIdempotent is true while an earlier request of the same connection is unanswered. A caller whose connection
	// breaks then sends the call again, whatever its kind, so a non-idempotent call is refused.
	OnlyIdempotent bool
	Reply          *mail.Box[Answer]
}

// An Answer is the outcome of a call.
type Answer struct {
	ID      call.ID
	Outcome call.Outcome
}

// A Cancel reports that the caller has disconnected.
type Cancel struct{ ID call.ID }

// An IssueKey requests a new key for a service.
type IssueKey struct {
	Service ident.Service
	Reply   *mail.Box[IssuedKey]
}

// An IssuedKey is a new key, or an error kind if no key could be issued.
type IssuedKey struct {
	Key  string
	Kind errs.Kind
}

// A ReleaseChanged carries the release that is now in force.
type ReleaseChanged struct{ Release *note.Release }

// A ContextChanged reports that an inbound call to the daemon's own target began or ended.
type ContextChanged struct{ Context local.CallContext }

// A StatusRequest requests the state of the task.
type StatusRequest struct{ Reply *mail.Box[Status] }

// A Status is the state of the task.
type Status struct {
	Calls int
	// Services is the number of services that have been called through this daemon.
	Services int
	// Holding is true while new calls are held after a process pause.
	Holding bool
	// InUse describes the services that have been called through this daemon.
	InUse []ServiceStatus
}

// A ServiceStatus is the routing state of the candidates of a service.
type ServiceStatus struct {
	Service    ident.Service
	Candidates []route.Status
}

// A PeerDraining reports that the daemon on a VM accepts no new calls.
type PeerDraining struct{ VM ident.VM }

// A PeerDown reports that the daemon on a VM has failed.
type PeerDown struct{ VM ident.VM }

// A PeerUp reports that the daemon on a VM responds again after it was down or draining.
type PeerUp struct{ VM ident.VM }

// A TargetReported reports that a target has stopped accepting connections or accepts them again.
type TargetReported struct {
	Target ident.Target
	Load   call.Load
}

// A CrashesCounted carries what this daemon or a peer has counted against requests that may crash targets.
type CrashesCounted struct{ Tallies []crash.Tally }

// A ProcessResumed reports that the process continues after a pause. New calls are held until ReleaseConfirmed, for at
// most maxHoldTime.
type ProcessResumed struct{}

// A Drain reports a planned stop. Each call, in flight or still to come, has to be answered by Until: a call that waits to
// be dispatched is then refused while that is still true, instead of being cut off with the process.
type Drain struct{ Until time.Time }

// A ReleaseConfirmed reports that the release has been compared with the releases of peers after a process pause.
type ReleaseConfirmed struct{}

// A loadReport is the response to a load request.
type loadReport struct {
	target ident.Target
	load   call.Load
}

// A loadFailure reports that a load request failed.
type loadFailure struct{ target ident.Target }

func (Submit) message()           {}
func (Cancel) message()           {}
func (IssueKey) message()         {}
func (ReleaseChanged) message()   {}
func (ContextChanged) message()   {}
func (StatusRequest) message()    {}
func (PeerDraining) message()     {}
func (PeerDown) message()         {}
func (PeerUp) message()           {}
func (TargetReported) message()   {}
func (CrashesCounted) message()   {}
func (ProcessResumed) message()   {}
func (ReleaseConfirmed) message() {}
func (Drain) message()            {}
func (loadReport) message()       {}
func (loadFailure) message()      {}
