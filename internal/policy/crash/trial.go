package crash

import (
	"crypto/sha256"
	"encoding/binary"
	"time"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
)

// NeedsTrial reports whether only the trial target of a request may run it: the request was in flight during enough
// crashes for a quarantine, but none is confirmed yet, or its quarantine is over. Without this limit, all targets of a
// service could run it at the same moment, before the crash of the first one is known.
func (r *Registry) NeedsTrial(service ident.Service, d ident.Digest, now time.Time) bool {
	if !r.HasSuspects() {
		return false
	}
	s := r.Standing(service, d, now)
	return s.Crashes >= minRepeatedCrashes && s.Quarantine == 0
}

// TrialTarget returns the target that may run a request which needs a trial, among the targets of its service: the one
// whose VM has the highest rendezvous hash. All daemons with the same release choose the same one. It returns false if no
// target accepts calls.
func TrialTarget(d ident.Digest, targets []note.Target) (note.Target, bool) {
	var trial note.Target
	var highest uint64
	found := false
	for _, t := range targets {
		if t.Draining {
			continue
		}
		hash := sha256.Sum256(append(d[:], t.VM...))
		if sum := binary.BigEndian.Uint64(hash[:]); !found || sum > highest || sum == highest && t.VM > trial.VM {
			trial, highest, found = t, sum, true
		}
	}
	return trial, found
}
