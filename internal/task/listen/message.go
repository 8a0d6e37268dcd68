package listen

import (
	"net/netip"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/wire/codec"
)

// A Message is a message to the task.
type Message interface{ message() }

// A Notify sends a message to all accepted peers.
type Notify struct{ Message codec.Message }

// A sessionGreeted reports that Hello messages have been exchanged on an accepted session.
type sessionGreeted struct {
	session *link.Session
	hello   codec.Hello
}

// A sessionClosed reports that an accepted session has ended.
type sessionClosed struct{ session *link.Session }

// A pingAnswered reports that the peer has answered a ping.
type pingAnswered struct{ session *link.Session }

func (Notify) message()         {}
func (pingAnswered) message()   {}
func (sessionGreeted) message() {}
func (sessionClosed) message()  {}

// A Report is information from a peer about itself or its target.
type Report interface{ report() }

// A Greeted reports that a peer has opened a session.
type Greeted struct {
	Hello codec.Hello
	From  netip.AddrPort
}

// A Draining reports that the daemon on a VM has started a planned stop.
type Draining struct{ VM ident.VM }

// A Blamed carries the requests that were in flight when the target of a peer crashed.
type Blamed struct{ Blame codec.Blame }

// A TargetChanged reports that the target of a peer went down or came up.
type TargetChanged struct{ Report codec.TargetReport }

func (TargetChanged) report() {}
func (Greeted) report()       {}
func (Draining) report()      {}
func (Blamed) report()        {}
