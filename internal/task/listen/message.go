package listen

import (
	"net/netip"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/wire/codec"
)

// A Message is a message to the task.
type Message interface{ message() }

// A Broadcast sends a message to all accepted peers, to the daemon on the VM To unless it is empty, or to one accepted
// peer, chosen at random, if OnePeer is true.
type Broadcast struct {
	Message codec.Message
	To      ident.VM
	OnePeer bool
}

// A sessionOpened reports that Hello messages have been exchanged on an accepted session.
type sessionOpened struct {
	session *link.Session
	hello   codec.Hello
}

// A sessionClosed reports that an accepted session has ended.
type sessionClosed struct{ session *link.Session }

// A pingOverdue reports that the peer has not answered a ping within pingTimeout and that the connection is not busy.
type pingOverdue struct{ session *link.Session }

// A pingEnded reports that the peer has answered a ping, or that the ping has failed.
type pingEnded struct {
	session *link.Session
	err     error
}

func (Broadcast) message()     {}
func (pingOverdue) message()   {}
func (pingEnded) message()     {}
func (sessionOpened) message() {}
func (sessionClosed) message() {}

// A Report is information from a peer about itself or its target.
type Report interface{ report() }

// A PeerConnected reports that a peer has opened a session.
type PeerConnected struct {
	Hello codec.Hello
	From  netip.AddrPort
}

// A PeerDraining reports that the daemon on a VM has started a planned stop.
type PeerDraining struct{ VM ident.VM }

// A PeerCrashReports carries the crash report of a peer: the requests that were in flight when its target crashed.
type PeerCrashReports struct{ Reports codec.CrashReports }

// A TargetReported reports that the target of a peer went down or came up.
type TargetReported struct{ Report codec.TargetReport }

func (TargetReported) report()   {}
func (PeerConnected) report()    {}
func (PeerDraining) report()     {}
func (PeerCrashReports) report() {}
