// Package feed is the task that follows the targets and the config that the platform publishes, and announces each
// change to the other tasks.
package feed

import (
	"context"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/follow"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/fleet/roster"
	"jacinthcross/internal/wire/codec"
)

// A StoreReader reads from the store, the service of the platform that holds the targets and the config. It ends a read
// soon when nothing arrives. A read of which parts keep arriving is limited by its context only.
type StoreReader interface {
	// The results have the era of the store. Snapshot reads all entries. A stale read costs the platform less, but its result may be some seconds old.
	Snapshot(ctx context.Context, stale bool) (roster.Snapshot, error)
	// Changes returns the changes after a revision as soon as there are any, or none after wait.
	Changes(ctx context.Context, after roster.Revision, wait time.Duration) (roster.Changes, error)
}

// ErrHistoryGone says that the store no longer has all changes after a revision, so that a snapshot has to be read.
const ErrHistoryGone = errors.ConstError("the store no longer has all changes since this revision")

// ErrChangesTooLarge says that the changes after a revision are too large to be read at once, so that a snapshot has to be
// read.
const ErrChangesTooLarge = errors.ConstError("the changes since this revision are too large to be read at once")

// A Message is a message to the task.
type Message interface{ message() }

// A ConfirmRequest requests a read without a wait for changes, and a reply once the store or a peer has confirmed the
// roster.
type ConfirmRequest struct{ Reply *mail.Box[bool] }

// A PeerRequest is the request of a peer for changes.
type PeerRequest struct {
	codec.ChangesRequest
	Reply *mail.Box[codec.ChangesReply]
}

// A RevisionReported carries the era and the revision of a peer's roster, which the peer sent with its load.
type RevisionReported struct {
	Era      roster.Era
	Revision roster.Revision
	Peer     netip.AddrPort
}

// A StatusRequest requests the state of the task.
type StatusRequest struct{ Reply *mail.Box[Status] }

// A Status is the state of the task.
type Status struct {
	Release *note.Release
	// ConfirmedAt is when the store last confirmed the release, or zero if it never did.
	ConfirmedAt time.Time
	// ReadsStore says that this daemon reads the store for others.
	ReadsStore bool
	// LastError is the error of the last read, or empty when it succeeded.
	LastError string
}

// A readFinished is sent by the goroutine of a read when the read has ended.
type readFinished struct {
	number int
	source follow.Source
	sent   time.Time
	result result
}

// A result is the outcome of a read: a snapshot, changes, the answer of a peer, or a failure.
type result interface{ result() }

type (
	snapshot struct{ roster.Snapshot }
	// askedEra is the era of the revision after which the changes were read.
	changes struct {
		roster.Changes
		askedEra roster.Era
	}
	peerReply struct{ codec.ChangesReply }
	failed    struct{ err error }
)

func (snapshot) result()  {}
func (changes) result()   {}
func (peerReply) result() {}
func (failed) result()    {}

func (ConfirmRequest) message()   {}
func (PeerRequest) message()      {}
func (RevisionReported) message() {}
func (StatusRequest) message()    {}
func (readFinished) message()     {}
