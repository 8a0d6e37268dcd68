// Package link is the task that owns one connection to a peer daemon.
package link

import (
	"net/netip"
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/wire/codec"
)

// A Message is a message to the task.
type Message interface{ message() }

// A Send asks the peer to run a call on its target. The result goes to Reply.
type Send struct {
	ID      call.ID
	Target  ident.Target
	Request call.Request
	Reply   *mail.Box[call.Result]
}

// A Cancel closes the stream of a call, which cancels it at the peer.
type Cancel struct{ ID call.ID }

// An Exchange sends one message and puts the peer's answer into Reply.
type Exchange struct {
	Message codec.Message
	Reply   *mail.Box[Answer]
	// Timeout is how long the peer may take until its answer begins, or 0 for the usual time.
	Timeout time.Duration
}

// A Notify sends one message and ignores its answer. No connection is opened for it.
type Notify struct{ Message codec.Message }

// An Answer is the result of an Exchange.
type Answer struct {
	Message codec.Message
	Err     error
}

// A callEnded says that a call has ended. reusable is true if its stream may be used for another call.
type callEnded struct {
	*pendingCall
	reusable bool
}

// A pinged is the result of a ping.
type pinged struct {
	roundTrip time.Duration
	err       error
}

func (Send) message()      {}
func (Cancel) message()    {}
func (Exchange) message()  {}
func (Notify) message()    {}
func (callEnded) message() {}
func (pinged) message()    {}

// A Report says what the task has detected about a peer on the connection to it.
type Report interface{ report() }

// A PeerAlive says that the peer is alive: it has sent its Hello or has answered a ping.
type PeerAlive struct {
	Peer  netip.AddrPort
	Hello codec.Hello
	// RoundTrip is the time that the ping took, or 0 if the connection has just been opened and is not one for large
	// bodies.
	RoundTrip time.Duration
}

// A PeerLost says that the connection could not be opened or has failed.
type PeerLost struct {
	Peer   netip.AddrPort
	Reason string
}

func (PeerAlive) report() {}
func (PeerLost) report()  {}
