// Package router is the task that chooses targets and owns the calls that entered at this daemon.
package router

import (
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/policy/route"
	"jacinthcross/internal/task/local"
)

// A Message is what the task receives.
type Message interface{ message() }

// A Submit asks for the outcome of a call. Its Answer goes to Reply, which must have room for it. Host selects the service when the request names none.
type Submit struct {
	ID      call.ID
	Request call.Request
	Host    string
	Context string
	// Arrived is when the call arrived, from which the service's timeout counts. Zero stands for the time of the receipt.
	Arrived time.Time
	Reply   *mail.Box[Answer]
}

// An Answer is the outcome of a call.
type Answer struct {
	ID      call.ID
	Outcome call.Outcome
}

// A Cancel says that the caller has gone.
type Cancel struct{ ID call.ID }

// An IssueKey asks for a new key of a service.
type IssueKey struct {
	Service ident.Service
	Reply   *mail.Box[Issued]
}

// An Issued is a new key, or the kind of error when there is none.
type Issued struct {
	Key  string
	Kind errs.Kind
}

// A ReleaseChanged tells which release is in force.
type ReleaseChanged struct{ Release *note.Release }

// A ContextChanged tells that an inbound call on the own target begins or ends.
type ContextChanged struct{ Context local.Context }

// A StatusAsk asks for the state of the task.
type StatusAsk struct{ Reply *mail.Box[Status] }

// A Status is the state of the task.
type Status struct {
	Calls    int
	Services int
	// Holding is true while new calls wait after a pause.
	Holding bool
	// InUse lists the services whose calls have entered here.
	InUse []ServiceStatus
}

// A ServiceStatus is what the task knows of the candidates of a service.
type ServiceStatus struct {
	Service    ident.Service
	Candidates []route.Status
}

// A PeerDraining says that the daemon on a VM takes no new work.
type PeerDraining struct{ VM ident.VM }

// A PeerDown says that the daemon on a VM was found to have failed.
type PeerDown struct{ VM ident.VM }

// A PeerUp says that the daemon on a VM answers, after it was down or draining.
type PeerUp struct{ VM ident.VM }

// A TargetReported tells that a target has stopped or begun to accept connections.
type TargetReported struct {
	Target ident.Target
	Load   call.Load
}

// A Paused says that the process did not run for a time. New calls wait until Confirmed, but at most holdTime.
type Paused struct{}

// A Confirmed says that the keeper has compared its head with peers after a pause.
type Confirmed struct{}

// A loadKnown is the answer to a request for the load of a target.
type loadKnown struct {
	target ident.Target
	load   call.Load
}

// A loadUnknown says that a request for the load of a target failed.
type loadUnknown struct{ target ident.Target }

func (Submit) message()         {}
func (Cancel) message()         {}
func (IssueKey) message()       {}
func (ReleaseChanged) message() {}
func (ContextChanged) message() {}
func (StatusAsk) message()      {}
func (PeerDraining) message()   {}
func (PeerDown) message()       {}
func (PeerUp) message()         {}
func (TargetReported) message() {}
func (Paused) message()         {}
func (Confirmed) message()      {}
func (loadKnown) message()      {}
func (loadUnknown) message()    {}
