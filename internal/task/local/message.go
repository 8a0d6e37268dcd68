// Package local is the task that admits calls to the daemon's own target and runs them there.
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

// A Message is a message to the task.
type Message interface{ message() }

// A Run requests that a call be run on the target. The result is sent to Reply.
type Run struct {
	ID      call.ID
	Target  ident.Target
	Request call.Request
	Reply   *mail.Box[call.Result]
	// Pending is set if the body of the request is still at the sender.
	Pending *PendingBody
}

// A Cancel reports that the caller no longer waits for the call.
type Cancel struct{ ID call.ID }

// A LoadRequest requests the load of the target.
type LoadRequest struct{ Reply *mail.Box[call.Load] }

// A ReleaseChanged carries the release that is now in force.
type ReleaseChanged struct{ Release *note.Release }

// A RetryUsed reports that a retry was made on behalf of the inbound call with the given token.
type RetryUsed struct{ Token string }

// A Drain requests a planned stop: new calls are refused, and Drained is closed once no call is left.
type Drain struct{ Drained chan<- struct{} }

// A MachineSuspended reports that the machine was suspended, during which the monotonic clock did not advance.
type MachineSuspended struct{ Duration time.Duration }

// A ReleaseConfirmed reports that the daemon has confirmed its release with its peers.
type ReleaseConfirmed struct{}

// A PeerCrashReports carries the report of a peer of the same service on the requests that were in flight when its target
// crashed.
type PeerCrashReports struct {
	From    ident.VM
	Service ident.Service
	Entries []crash.Report
	// Tallies concern any service.
	Tallies []crash.Tally
}

// A PeerConnected reports a new connection to a peer, which may lack evidence because it has just started or was out of
// reach.
type PeerConnected struct{ Peer Recipient }

// A Recipient names the peers that get crash evidence: AllPeers, AnyPeer, AcceptedPeer or DialledPeer.
type Recipient interface{ recipient() }

// AllPeers are the peers to which there is a connection.
type AllPeers struct{}

// AnyPeer is one of the peers to which there is a connection, chosen at random.
type AnyPeer struct{}

// An AcceptedPeer is a peer that has opened the connection.
type AcceptedPeer struct{ VM ident.VM }

// A DialledPeer is a peer to which this daemon has opened the connection.
type DialledPeer struct{ Address netip.AddrPort }

func (AllPeers) recipient()     {}
func (AnyPeer) recipient()      {}
func (AcceptedPeer) recipient() {}
func (DialledPeer) recipient()  {}

// A CrashEvidence is evidence on requests that may crash targets, for peers. Reports concern the service, Tallies any
// service.
type CrashEvidence struct {
	To      Recipient
	Service ident.Service
	Reports []crash.Report
	Tallies []crash.Tally
}

// A callResult is the result of a call on a target connection.
type callResult struct {
	id      call.ID
	conn    *conn
	outcome call.Outcome
	// reusable is true if the connection may carry another call.
	reusable bool
	// unsent is true if the connection closed before the call was written. There is no outcome then.
	unsent bool
	// connLost is true if the target closed the connection before the response was complete.
	connLost bool
	// dialFailed is true if the connection could not be opened.
	dialFailed bool
	// load is the load reported by the response. It is valid if hasLoad is true.
	load    call.TargetLoad
	hasLoad bool
}

// A connClosed reports that the target closed a connection without a call.
type connClosed struct{ conn *conn }

// A probeResult reports whether a connection to the target could be opened.
type probeResult struct {
	address netip.AddrPort
	err     error
}

// A monitorConnOpened carries a new monitor connection, or nil if it could not be opened.
type monitorConnOpened struct{ conn *monitorConn }

// A monitorConnClosed reports that the target closed the monitor connection.
type monitorConnClosed struct{ conn *monitorConn }

func (monitorConnOpened) message() {}
func (monitorConnClosed) message() {}
func (Run) message()               {}
func (Cancel) message()            {}
func (LoadRequest) message()       {}
func (ReleaseChanged) message()    {}
func (RetryUsed) message()         {}
func (Drain) message()             {}
func (MachineSuspended) message()  {}
func (PeerCrashReports) message()  {}
func (PeerConnected) message()     {}
func (ReleaseConfirmed) message()  {}
func (callResult) message()        {}
func (connClosed) message()        {}
func (probeResult) message()       {}

// A CallContext holds the values that calls made by the target inherit from the inbound call that the target is serving.
type CallContext struct {
	// Token identifies the inbound call. The target gets it in the context field of the header and repeats it in the
	// calls that it makes on behalf of the inbound call.
	Token    string
	Deadline time.Time
	Rank     ident.Rank
	// Depth is the number of calls before the inbound call in its chain.
	Depth int
	// RetryAllowance is the number of retries that the calls made by the target may cause.
	RetryAllowance int
	// Ended is true if the inbound call has ended.
	Ended bool
}
