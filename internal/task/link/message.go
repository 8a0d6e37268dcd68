// Package link is the task that owns one connection to a peer daemon.
package link

import (
	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/wire/codec"
)

// A Message is what the task receives.
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
}

// An Answer is the result of an Exchange.
type Answer struct {
	Message codec.Message
	Err     error
}

// An ended says that the exchange of a call is over.
type ended struct{ id call.ID }

func (Send) message()     {}
func (Cancel) message()   {}
func (Exchange) message() {}
func (ended) message()    {}
