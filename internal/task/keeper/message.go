// Package keeper is the task that owns the release in force.
package keeper

import (
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/fleet/relay"
	"time"
)

// A Message is what the task receives.
type Message interface{ message() }

// A FromPeer is a message of a peer daemon. The answer, which may be nil, goes to Reply.
type FromPeer struct {
	Message relay.Message
	Reply   *mail.Box[relay.Message]
}

// A FromService is a note that was read from the configuration service.
type FromService struct{ Offer relay.Offer }

// A StatusAsk asks for the state of the task.
type StatusAsk struct{ Reply *mail.Box[Status] }

// A Status is the state of the task.
type Status struct {
	Head     ident.Head
	Since    time.Time
	Release  *note.Release
	Refusals []string
}

func (FromPeer) message()    {}
func (FromService) message() {}
func (StatusAsk) message()   {}
