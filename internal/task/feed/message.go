// Package feed is the task that follows what the platform publishes and tells the other tasks of each change.
package feed

import (
	"context"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/fleet/roster"
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

// A Confirm asks for a message when what is known was compared with the store.
type Confirm struct{ Reply *mail.Box[bool] }

// A StatusAsk asks for the state of the task.
type StatusAsk struct{ Reply *mail.Box[Status] }

// A Status is the state of the task.
type Status struct {
	Release *note.Release
	// ReadAt is when the store last answered, and zero when it never did.
	ReadAt time.Time
	// Failing is why the last call failed, or empty.
	Failing string
}

// A snapshotRead carries a snapshot.
type snapshotRead struct {
	snapshot roster.Snapshot
	sent     time.Time
}

// A changesRead carries changes, which may be none.
type changesRead struct {
	changes roster.Changes
	sent    time.Time
}

// A readFailed says why a call failed.
type readFailed struct{ err error }

func (Confirm) message()      {}
func (StatusAsk) message()    {}
func (snapshotRead) message() {}
func (changesRead) message()  {}
func (readFailed) message()   {}
