package front

import (
	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/task/router"
)

// A Message is what the task receives.
type Message interface{ message() }

// A Drain stops the accepting of connections, unless the task lingers. Each answer from then on ends its connection,
// and Empty, if there is one, is closed when no call is outstanding. A task that lingers takes new calls until
// a Drain has an Empty: callers can go on sending until the daemon is gone, and their calls would never end.
type Drain struct{ Empty chan<- struct{} }

// A LimitsChanged carries the limits of the release in force.
type LimitsChanged struct{ Limits note.Limits }

// An arrived is a complete request of a caller.
type arrived struct {
	caller  *caller
	request *request
}

// A refused is a request that is answered without a call, after which the connection is closed.
type refused struct {
	caller *caller
	kind   errs.Kind
	detail string
	method string
}

// An expects says that a caller waits for an interim answer before it sends its body.
type expects struct{ caller *caller }

// A left says that the connection of a caller was closed.
type left struct{ caller *caller }

// An issued is the answer to a request for a key.
type issued struct {
	id  call.ID
	key router.Issued
}

func (Drain) message()         {}
func (LimitsChanged) message() {}
func (arrived) message()       {}
func (refused) message()       {}
func (expects) message()       {}
func (left) message()          {}
func (issued) message()        {}
