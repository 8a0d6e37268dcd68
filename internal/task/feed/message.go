// Package feed is the task that follows what the platform publishes and tells the other tasks of each change.
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

// A Source reads what the platform publishes.
type Source interface {
	// Snapshot reads all that is published. A stale read costs the platform less, but may be some seconds old.
	Snapshot(ctx context.Context, stale bool) (roster.Snapshot, error)
	// Changes returns the changes after a revision as soon as there is one, or none after wait.
	Changes(ctx context.Context, after roster.Revision, wait time.Duration) (roster.Changes, error)
}

// ErrHistoryGone says that the changes after a revision are no longer known, so that a snapshot has to be read.
const ErrHistoryGone = errors.ConstError("the store has dropped the history after this revision")

// A Message is what the task receives.
type Message interface{ message() }

// A Confirm asks for a message when what is known was compared with the store or with a peer.
type Confirm struct{ Reply *mail.Box[bool] }

// An Ask is the question of a peer for changes.
type Ask struct {
	codec.Ask
	Reply *mail.Box[codec.Published]
}

// A HeadSeen says which serial a peer holds.
type HeadSeen struct {
	Revision roster.Revision
	Peer     netip.AddrPort
}

// A StatusAsk asks for the state of the task.
type StatusAsk struct{ Reply *mail.Box[Status] }

// A Status is the state of the task.
type Status struct {
	Release *note.Release
	// ConfirmedAt is when the store last confirmed what is known, and zero when it never did.
	ConfirmedAt time.Time
	// Reads says that this daemon reads the store for others.
	Reads bool
	// Failing is why the last call failed, or empty.
	Failing string
}

// A finished is the end of a call.
type finished struct {
	number int
	source follow.Source
	sent   time.Time
	result result
}

// A result is what a call brought: a snapshot, changes, a codec.Published of a peer, or a failure.
type result interface{ result() }

type (
	snapshot  struct{ roster.Snapshot }
	changes   struct{ roster.Changes }
	published struct{ codec.Published }
	failed    struct{ err error }
)

func (snapshot) result()  {}
func (changes) result()   {}
func (published) result() {}
func (failed) result()    {}

func (Confirm) message()   {}
func (Ask) message()       {}
func (HeadSeen) message()  {}
func (StatusAsk) message() {}
func (finished) message()  {}
