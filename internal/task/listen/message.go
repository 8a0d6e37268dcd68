package listen

import (
	"net/netip"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/wire/codec"
)

// A Message is what the task receives.
type Message interface{ message() }

// A Notify sends one message to every accepted peer.
type Notify struct{ Message codec.Message }

// A greeted says that an accepted session has exchanged Hello messages.
type greeted struct {
	session *link.Session
	hello   codec.Hello
}

// A closed says that an accepted session has ended.
type closed struct{ session *link.Session }

// A pinged says that the peer of a session has answered a ping.
type pinged struct{ session *link.Session }

func (Notify) message()  {}
func (pinged) message()  {}
func (greeted) message() {}
func (closed) message()  {}

// A Report is what a peer tells of itself or of its target.
type Report interface{ report() }

// A Greeted says that a peer has opened a session.
type Greeted struct {
	Hello codec.Hello
	From  netip.AddrPort
}

// A Draining says that the daemon on a VM has begun its planned stop.
type Draining struct{ VM ident.VM }

// A Blamed carries the requests that were in flight when a peer's target crashed.
type Blamed struct{ Blame codec.Blame }

// A TargetChanged says that a peer's target has stopped or begun to accept connections.
type TargetChanged struct{ Report codec.TargetReport }

func (TargetChanged) report() {}
func (Greeted) report()       {}
func (Draining) report()      {}
func (Blamed) report()        {}
