// Package gossip is the task that owns the release in force and spreads releases to the peer daemons: new heads at once
// along distribution trees, and missed ones by regular exchanges of digests.
package gossip

import (
	"net/netip"
	"time"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/fleet/relay"
	"jacinthcross/internal/task/link"
)

// A Message is a message to the task.
type Message interface{ message() }

// A PeerMessage is a message of a peer daemon. The answer goes to Reply.
type PeerMessage struct {
	Message relay.Message
	Reply   *mail.Box[relay.Message]
}

// A NoteRead is a note that was read from the configuration service.
type NoteRead struct{ Offer relay.Offer }

// A SnapshotRead is a snapshot that was read from the configuration service.
type SnapshotRead struct{ Snapshot relay.Snapshot }

// A ServiceReachable says that the configuration service is reachable: it has answered, or it holds a watch open.
type ServiceReachable struct{}

// A VMListRead is the VM list that was read from the platform.
type VMListRead struct{ Listing relay.Listing }

// A HeadReported carries the head that a peer reported with its load.
type HeadReported struct {
	Head ident.Head
	Peer netip.AddrPort
}

// A ConfirmRequest requests a confirmation of the head, as after a pause of the process. Reply gets true when two
// peers, or all if there are fewer, have answered that they have no newer head, and false after a timeout.
type ConfirmRequest struct{ Reply *mail.Box[bool] }

// An AnnounceRequest requests that the release, its confirmation, the duty and the VM list be announced again. A task
// that was restarted sends it, because its state starts empty.
type AnnounceRequest struct{}

// A StatusRequest requests the state of the task.
type StatusRequest struct{ Reply *mail.Box[Status] }

// A Status is the state of the task.
type Status struct {
	Head      ident.Head
	HeadSince time.Time
	Release   *note.Release
	// Refusals are the last mistakes found in refused notes and snapshots.
	Refusals []string
	Accepted bool
	// Holders is the number of daemons that are known to hold the release.
	Holders   int
	Confirmed bool
	Duty      relay.Duty
	// ServiceReadAgeKnown and ServiceReadAge have the same meaning as in relay.Digest.
	ServiceReadAgeKnown bool
	ServiceReadAge      time.Duration
	ListVersion         uint64
	// Lagging are the VMs of the daemons whose last digest had a lower serial.
	Lagging []ident.VM
}

// A ReadDuty tells the watch task whether to read the configuration service, and which head and version of the VM list
// this daemon already has.
type ReadDuty struct {
	Kind        relay.Duty
	Head        ident.Head
	ListVersion uint64
}

// An exchangeDone reports the end of an exchange with a peer.
type exchangeDone struct {
	peer netip.AddrPort
	// turn is the number of messages that this daemon had sent in the conversation before this exchange.
	turn   int
	sent   time.Time
	answer link.Answer
}

func (PeerMessage) message()      {}
func (NoteRead) message()         {}
func (SnapshotRead) message()     {}
func (ServiceReachable) message() {}
func (VMListRead) message()       {}
func (HeadReported) message()     {}
func (ConfirmRequest) message()   {}
func (AnnounceRequest) message()  {}
func (StatusRequest) message()    {}
func (exchangeDone) message()     {}
