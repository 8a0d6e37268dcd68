// Package local is the task beside the target: it admits calls and runs them on the target.
package local

import (
	"net/netip"
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/policy/crash"
)

// A Message is what the task receives.
type Message interface{ message() }

// A Run asks to run a call on the target. The result goes to Reply.
type Run struct {
	ID      call.ID
	Target  ident.Target
	Request call.Request
	Reply   *mail.Box[call.Result]
}

// A Cancel says that nobody waits for the call any more.
type Cancel struct{ ID call.ID }

// A LoadAsk asks for the load of the target.
type LoadAsk struct{ Reply *mail.Box[call.Load] }

// A ReleaseChanged tells which release is in force.
type ReleaseChanged struct{ Release *note.Release }

// A RetrySpent says that a retry was made on behalf of the inbound call with the token.
type RetrySpent struct{ Token string }

// A Drain says that the daemon stops: no new call is taken, and Empty is closed when none is left.
type Drain struct{ Empty chan<- struct{} }

// A Suspended says that the machine was suspended for a time, which the steady clock does not count.
type Suspended struct{ For time.Duration }

// A Confirmed says that the daemon has compared its release with peers.
type Confirmed struct{}

// A Blamed carries what the daemon on a VM of the same service tells of requests that crashed its target.
type Blamed struct {
	From    ident.VM
	Service ident.Service
	Entries []crash.Blame
}

// A completed is the end of a call that a target connection carried.
type completed struct {
	id      call.ID
	conn    *conn
	outcome call.Outcome
	// reusable says that the connection may carry another call.
	reusable bool
	// unsent says that the connection had ended before the call was written; there is no outcome.
	unsent bool
	// broken says that the target ended the connection before its answer was complete.
	broken bool
	// refused says that the connection could not be opened.
	refused bool
	// load is what the response told of the target's load, if loaded is true.
	load   call.TargetLoad
	loaded bool
}

// A lost says that the target ended a connection.
type lost struct{ conn *conn }

// A probed tells whether a connection to the target could be opened.
type probed struct {
	address netip.AddrPort
	err     error
}

// A monitorOpened carries the monitor that was opened, or nil when the target refused it.
type monitorOpened struct{ monitor *monitor }

// A monitorLost says that the target ended the monitor.
type monitorLost struct{ monitor *monitor }

func (monitorOpened) message()  {}
func (monitorLost) message()    {}
func (Run) message()            {}
func (Cancel) message()         {}
func (LoadAsk) message()        {}
func (ReleaseChanged) message() {}
func (RetrySpent) message()     {}
func (Drain) message()          {}
func (Suspended) message()      {}
func (Blamed) message()         {}
func (Confirmed) message()      {}
func (completed) message()      {}
func (lost) message()           {}
func (probed) message()         {}

// A Context is what the target's own calls inherit from the inbound call that they serve.
type Context struct {
	Token     string
	Deadline  time.Time
	Rank      ident.Rank
	Depth     int
	Allowance int
	// Closed is true when the inbound call has ended.
	Closed bool
}
