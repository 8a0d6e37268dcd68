package feed

import (
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/event"
	"jacinthcross/internal/fleet/roster"
)

// errOlderEra says that the store answered with the state from before its last restore that is known.
const errOlderEra = errors.ConstError("the answer is of an older era of the store than the newest one known")

// noteEra records an era that the store or a peer has told of. If it is newer than all others, the state of the older eras
// is no longer current, so the sources are read at once: by the reader of the region the store, by the others their peers
// first, so that they do not all read the store.
func (t *Task) noteEra(era roster.Era, now time.Time) {
	if era <= t.newestEra {
		return
	}
	t.newestEra = era
	if t.behindEra() {
		t.cancelRead()
		t.nextAt = now
	}
}

// behindEra reports whether the roster is in an older era than the newest one known.
func (t *Task) behindEra() bool { return t.roster.Era() < t.newestEra }

// isOutdated records the era of an answer of the store and reports whether a newer one is known.
func (t *Task) isOutdated(era roster.Era, now time.Time) bool {
	t.noteEra(era, now)
	return era < t.newestEra
}

// logRestore logs that a read has moved the roster from an era to a newer one, and starts the regular read again, whose
// answer would be of the older era. A daemon that held no state before has only read for the first time.
func (t *Task) logRestore(before roster.Era, revision roster.Revision, now time.Time) {
	if t.roster.Era() == before || revision == 0 {
		return
	}
	t.cancelRead()
	t.nextAt = now
	event.StoreRestored.Log(
		"era", t.roster.Era(), "serial", t.roster.Revision(), "before", before, "serialBefore", revision,
		"version", t.roster.Version(), "configOfOlderEra", t.roster.HasOlderConfig(),
	)
}
