// Package relay implements the distribution of release notes and of the VM list between daemons.
package relay

import (
	"net/netip"
	"time"

	"jacinthcross/internal/base/ident"
)

// A Message is a distribution message between daemons: Digest, Offer, Pull, Notes, Snapshot, Ack, PullListing or Listing.
type Message interface{ message() }

// A Digest is a short message about the state of a daemon, not a hash as ident.Digest is. It announces the release that
// a daemon holds, when the configuration service was last read, and the version of the VM list.
type Digest struct {
	VM         ident.VM
	DataCentre ident.DataCentre
	Head       ident.Head
	// ServiceReadAge is the time since any daemon, as far as the sender knows, last read the configuration service. It is
	// valid if ServiceReadAgeKnown is set.
	ServiceReadAgeKnown bool
	ServiceReadAge      time.Duration
	ListingVersion      uint64
	// Accepted is set once enough daemons hold the release (see acceptanceHolders).
	Accepted bool
}

// An Offer carries one release note.
type Offer struct {
	Serial ident.Serial
	Text   []byte
	// Version is the version of the note in the configuration service, or 0 if it is unknown.
	Version uint64
	// Accepted is set once enough daemons hold the release that the note leads to (see acceptanceHolders).
	Accepted bool
}

// A Pull requests the notes after a head.
type Pull struct{ After ident.Head }

// Notes is the response to a Pull when the requested notes are available.
type Notes struct{ Notes []Offer }

// A Snapshot carries a complete release. Version and Accepted belong to its last note.
type Snapshot struct {
	Head     ident.Head
	Text     []byte
	Version  uint64
	Accepted bool
}

// An Ack confirms that a daemon holds a release.
type Ack struct {
	Head       ident.Head
	VM         ident.VM
	DataCentre ident.DataCentre
}

// A PullListing requests the changes of the VM list after a version.
type PullListing struct{ After uint64 }

// A Listing carries the changes of the VM list since a version, or the full list if Since is 0.
type Listing struct {
	Version uint64
	Since   uint64
	VMs     []ListedVM
	Removed []ident.VM
}

// A ListedVM is one entry of the VM list. Daemon is the address of the daemon on the VM.
type ListedVM struct {
	VM         ident.VM
	DataCentre ident.DataCentre
	State      ListedState
	Daemon     netip.AddrPort
}

// A ListedState is the state of a VM in the VM list of the platform.
type ListedState string

// The values of ListedState.
const (
	Live    ListedState = "Live"
	Leaving ListedState = "Leaving"
)

func (Digest) message()      {}
func (Offer) message()       {}
func (Pull) message()        {}
func (Notes) message()       {}
func (Snapshot) message()    {}
func (Ack) message()         {}
func (PullListing) message() {}
func (Listing) message()     {}
