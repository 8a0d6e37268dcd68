// Package codec encodes and decodes the protobuf messages between daemons.
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

// Protocol is the version of the protocol between daemons. Since version 2, a stream carries several calls one after
// another, and a reply carries the number of its call. Since version 3, a call carries its request ID and its soft
// deadline (ToAimNanoseconds). Since version 4, a large config is compressed.
const Protocol = 4

// A Message is a message between daemons.
type Message interface{ message() }

// A Hello identifies the sender to the other end of a connection.
type Hello struct {
	Protocol    int
	VM          ident.VM
	DataCentre  ident.DataCentre
	Incarnation ident.Incarnation
	// Head is the newest release that the sender holds. With a store, Head.Serial is the revision, and Head.Era its era.
	Head     ident.Head
	Draining bool
	// Daemon is the address on which the sender listens for peers, or the zero AddrPort if the message has none.
	Daemon netip.AddrPort
	// Bulk is true on a connection that carries only calls with large bodies.
	Bulk bool
	// RequestsBodies is true if the sender sends a BodyRequest for the body of a call that comes without it.
	RequestsBodies bool
}

// A Call asks the daemon beside a target to run a request on the target.
type Call struct {
	Target  ident.Target
	Request call.Request
	// Number identifies the call. The reply has the same number.
	Number uint64
	// BodySize is the size of the body if Request does not have it. The body follows after a BodyRequest.
	BodySize int
	// Sent is when the message was written, as the time since the sender's VM was started, or 0 if unknown.
	Sent time.Duration
	// Digest is the digest of the request with its body. It is set if BodySize and Request.Key are.
	Digest ident.Digest
}

// A BodyRequest asks for the body of the call with a number, for which the target has room.
type BodyRequest struct{ Number uint64 }

// A RequestBody is the body of the call with a number.
type RequestBody struct {
	Number uint64
	Body   []byte
}

// A Reply answers a Call.
type Reply struct {
	Result call.Result
	// Number is the number of the call.
	Number uint64
}

// A LoadRequest probes the load of a target.
type LoadRequest struct{ Target ident.Target }

// A LoadReply answers a LoadRequest.
type LoadReply struct{ Load call.Load }

// A TargetReport reports the load of a target that has stopped or started accepting connections.
type TargetReport struct {
	Target ident.Target
	Load   call.Load
}

// A Control wraps a relay.Message, which is about releases or the VM list.
type Control struct{ Message relay.Message }

// CrashReports carries the evidence on the requests that were in flight when a target crashed.
type CrashReports struct {
	From    ident.VM
	Service ident.Service
	Entries []crash.Report
	// Tallies concern any service. The sender may have received them from others.
	Tallies []crash.Tally
}

// A ChangesRequest asks for the changes that the platform has published after a revision of an era.
type ChangesRequest struct {
	After roster.Revision
	Era   roster.Era
	// Wait is how long the receiver may wait for a change before it answers.
	Wait time.Duration
}

// A ChangesReply answers a ChangesRequest.
type ChangesReply struct {
	roster.Changes
	// Complete is true if the changes are a complete snapshot of the config and the entries.
	Complete bool
	// Age is the time since the store last confirmed the sender's state.
	Age time.Duration
	// Waited is how long the sender waited for a change before it answered. The rest of the time between the request and
	// the arrival of the reply was spent on the way.
	Waited time.Duration
	// Config is the change of the config in Changes, if there is one. It is shared by the replies to several peers, so that
	// it is encoded once. Without it, the change is encoded for this reply.
	Config *EncodedConfig
	// StoreUnreachable is true if the sender currently reaches neither the store nor a peer that does.
	StoreUnreachable bool
}

// A Drain announces a planned stop of the daemon on a VM.
type Drain struct{ VM ident.VM }

// A Done acknowledges a message that needs no other answer. In contrast, a relay.Ack confirms that a daemon holds a
// release.
type Done struct{}

func (Hello) message()          {}
func (Call) message()           {}
func (BodyRequest) message()    {}
func (RequestBody) message()    {}
func (Reply) message()          {}
func (LoadRequest) message()    {}
func (LoadReply) message()      {}
func (TargetReport) message()   {}
func (Control) message()        {}
func (CrashReports) message()   {}
func (Drain) message()          {}
func (Done) message()           {}
func (ChangesRequest) message() {}
func (ChangesReply) message()   {}
