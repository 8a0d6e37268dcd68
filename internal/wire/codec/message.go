// Package codec converts the messages between daemons to and from protobuf.
package codec

import (
	"net/netip"
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/relay"
	"jacinthcross/internal/fleet/roster"
	"jacinthcross/internal/policy/crash"
)

// Protocol is the version of the protocol between daemons. Since version 2 a stream carries one
// call after another, and a reply carries the number of its call. Since version 3 a call carries the ID
// of its request and its aim.
const Protocol = 3

// A Message is one message between daemons.
type Message interface{ message() }

// A Hello tells who is at the other end.
type Hello struct {
	Protocol    int
	VM          ident.VM
	DataCentre  ident.DataCentre
	Incarnation ident.Incarnation
	Head        ident.Head
	Draining    bool
	// Daemon is where the sender listens for peers, and zero when it does not tell.
	Daemon netip.AddrPort
}

// A Call asks the daemon beside a target to run a request.
type Call struct {
	Target  ident.Target
	Request call.Request
	// Number is returned in the reply.
	Number uint64
}

// A Reply answers a Call.
type Reply struct {
	Result call.Result
	// Number is that of the call.
	Number uint64
}

// A LoadRequest probes the load of a target.
type LoadRequest struct{ Target ident.Target }

// A LoadReply answers a LoadRequest.
type LoadReply struct{ Load call.Load }

// A TargetReport tells the load of a target that has stopped or begun to accept connections.
type TargetReport struct {
	Target ident.Target
	Load   call.Load
}

// A Control carries a message on releases or on the VM list.
type Control struct{ Message relay.Message }

// A Blame tells of requests that were in flight when a target crashed.
type Blame struct {
	From    ident.VM
	Service ident.Service
	Entries []crash.Blame
}

// An Ask asks for what the platform has published after a revision.
type Ask struct {
	After roster.Revision
	// Wait is how long the answer may wait for a change.
	Wait time.Duration
}

// A Published answers an Ask.
type Published struct {
	roster.Changes
	// Whole says that the changes are all that is published.
	Whole bool
	// Age is the time since the store confirmed what the sender knows.
	Age time.Duration
	// Lost says that the sender does not reach the store at the moment, nor a peer that does.
	Lost bool
}

// A Drain announces the planned stop of the daemon on a VM.
type Drain struct{ VM ident.VM }

// A Done answers a message that needs no other answer.
type Done struct{}

func (Hello) message()        {}
func (Call) message()         {}
func (Reply) message()        {}
func (LoadRequest) message()  {}
func (LoadReply) message()    {}
func (TargetReport) message() {}
func (Control) message()      {}
func (Blame) message()        {}
func (Drain) message()        {}
func (Done) message()         {}
func (Ask) message()          {}
func (Published) message()    {}
