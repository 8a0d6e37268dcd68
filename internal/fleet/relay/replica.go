package relay

import (
	"crypto/sha256"
	"slices"

	"jacinthcross/internal/base/form"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
)

const (
	// maxRecentNotes and maxRecentBytes limit the notes that a daemon keeps for peers that are behind.
	maxRecentNotes = 256
	maxRecentBytes = 4 << 20
	// maxRefused limits the refused notes that are recognised by digest without being parsed again.
	maxRefused = 64
	// acceptanceHolders is the number of daemons that must hold a note before it is accepted, in at least two data
	// centres if there are two. The note then survives the loss of any two VMs.
	acceptanceHolders = 3
)

// A Verdict is the outcome of processing a note or snapshot.
type Verdict string

// The values of Verdict.
const (
	// Applied means that a release with a higher serial is now in force.
	Applied Verdict = "Applied"
	// Replaced means that the note won the conflict with the last note, which had the same serial, and replaced it.
	Replaced Verdict = "Replaced"
	// Known means that nothing changed: the note is in force or older.
	Known Verdict = "Known"
	// Behind means that this daemon cannot apply the note, because it lacks earlier notes or the release that the note
	// follows.
	Behind Verdict = "Behind"
	// Conflict means that the note lost the conflict with another note of its serial.
	Conflict Verdict = "Conflict"
	// Refused means that the note or snapshot is not valid.
	Refused Verdict = "Refused"
)

// A Result is the verdict on a note or snapshot. Mistakes says why it was refused. Mistakes is empty for a note that was
// refused before, is too large, or has no serial or a serial other than that of the message that carried it.
type Result struct {
	Verdict  Verdict
	Serial   ident.Serial
	Mistakes form.DocumentErrors
}

// A Replica holds the release of a daemon and the most recent notes that led to it. The serial of its head never
// decreases.
type Replica struct {
	vm         ident.VM
	dataCentre ident.DataCentre
	release    *note.Release
	// previous is the release before the last note, or nil if it is not known.
	previous *note.Release
	// recentNotes are the most recent notes, oldest first. recentBase is the head that the first of them follows, and
	// recentBytes the size of their texts.
	recentBase  ident.Head
	recentNotes []recentNote
	recentBytes int
	// version is the version of the last note in the configuration service, or 0 if it is unknown.
	version uint64
	// accepted is set once enough daemons hold the release in force.
	accepted bool
	holders  map[ident.VM]ident.DataCentre
	// refused are the digests of the last refused notes.
	refused []ident.Digest
	// snapshot is the text of the release in force, or nil if it has not been built yet.
	snapshot []byte
}

// A recentNote is a note with the digest of its text.
type recentNote struct {
	Offer
	digest ident.Digest
}

// NewReplica returns a Replica without a release.
func NewReplica(vm ident.VM, dataCentre ident.DataCentre) *Replica {
	return &Replica{vm: vm, dataCentre: dataCentre, release: note.NewRelease(), holders: map[ident.VM]ident.DataCentre{}}
}

// Release returns the release in force.
func (r *Replica) Release() *note.Release { return r.release }

// Head returns the head of the release in force.
func (r *Replica) Head() ident.Head { return r.release.Head }

// Accepted reports whether enough daemons hold the release in force.
func (r *Replica) Accepted() bool { return r.accepted }

// Holders returns the number of daemons known to hold the release in force.
func (r *Replica) Holders() int { return len(r.holders) }

// ApplyNote processes a note: it applies the note, lets it replace the last one, or rejects it.
func (r *Replica) ApplyNote(o Offer) Result {
	result := Result{Serial: o.Serial}
	digest := ident.Digest(sha256.Sum256(o.Text))
	head := r.release.Head
	switch {
	case o.Serial == 0 || len(o.Text) > note.MaxNoteSize:
		result.Verdict = Refused
	case o.Serial < head.Serial:
		result.Verdict = r.checkOlder(o, digest)
	case o.Serial == head.Serial && digest == head.Digest:
		result.Verdict = Known
		r.mergeDuplicate(o)
	case o.Serial == head.Serial:
		result.Verdict, result.Mistakes = r.resolveConflict(o, digest)
	case o.Serial > head.Serial+1:
		result.Verdict = Behind
	default:
		result.Verdict, result.Mistakes = r.applyNext(o, digest)
	}
	return result
}

// mergeDuplicate updates the acceptance and the version from another copy of the note in force.
func (r *Replica) mergeDuplicate(o Offer) {
	r.accepted = r.accepted || o.Accepted
	// The digests are equal, so only the versions are compared.
	if precedes(o.Version, ident.Digest{}, r.version, ident.Digest{}) {
		r.version = o.Version
		if n := len(r.recentNotes); n > 0 {
			r.recentNotes[n-1].Version = o.Version
		}
	}
}

// checkOlder returns Conflict for a note that lost against the known note of its serial, else Known.
func (r *Replica) checkOlder(o Offer, digest ident.Digest) Verdict {
	for _, n := range r.recentNotes {
		if n.Serial == o.Serial && n.digest != digest {
			return Conflict
		}
	}
	return Known
}

// applyNext applies a note whose serial is one above the head.
func (r *Replica) applyNext(o Offer, digest ident.Digest) (Verdict, form.DocumentErrors) {
	if slices.Contains(r.refused, digest) {
		return Refused, nil
	}
	n, err := note.Parse(o.Text)
	if err == nil && n.Serial != o.Serial {
		return Refused, nil
	}
	if err == nil && !r.release.Head.IsZero() && n.Previous != r.release.Head.Digest.String() {
		// The note follows a different note of the current serial, which the peer has.
		return Behind, nil
	}
	next, errs := note.ParseAndApply(r.release, o.Text)
	if len(errs) > 0 {
		r.rememberRefused(digest)
		return Refused, errs
	}
	r.previous = r.release
	r.appendRecent(o, digest)
	r.install(next, o.Version, o.Accepted)
	return Applied, nil
}

// resolveConflict chooses between the last note and another note of the same serial.
func (r *Replica) resolveConflict(o Offer, digest ident.Digest) (Verdict, form.DocumentErrors) {
	if !precedes(o.Version, digest, r.version, r.release.Head.Digest) {
		return Conflict, nil
	}
	if r.previous == nil {
		return Behind, nil
	}
	if slices.Contains(r.refused, digest) {
		return Refused, nil
	}
	if n, err := note.Parse(o.Text); err == nil && n.Serial == o.Serial && !r.previous.Head.IsZero() && n.Previous != r.previous.Head.Digest.String() {
		// The peer's notes differ from the notes of this daemon from an earlier serial on, so the note follows another
		// note, which this daemon lacks.
		return Behind, nil
	}
	next, errs := note.ParseAndApply(r.previous, o.Text)
	if len(errs) > 0 {
		r.rememberRefused(digest)
		return Refused, errs
	}
	if n := len(r.recentNotes); n > 0 {
		r.recentBytes -= len(r.recentNotes[n-1].Text)
		r.recentNotes = r.recentNotes[:n-1]
	}
	r.appendRecent(o, digest)
	r.install(next, o.Version, o.Accepted)
	return Replaced, nil
}

// precedes reports whether the first of two notes with the same serial wins. The lower version wins, since it was
// published first. Version 0 is unknown and loses. Equal versions are decided by the lower digest.
func precedes(version uint64, digest ident.Digest, otherVersion uint64, other ident.Digest) bool {
	if version != otherVersion {
		return version != 0 && (otherVersion == 0 || version < otherVersion)
	}
	return slices.Compare(digest[:], other[:]) < 0
}

// ApplySnapshot processes a snapshot: it installs the release of the snapshot or rejects it.
func (r *Replica) ApplySnapshot(s Snapshot) Result {
	result := Result{Serial: s.Head.Serial, Verdict: Known}
	head := r.release.Head
	if s.Head == head || s.Head.Serial < head.Serial {
		return result
	}
	result.Verdict = Applied
	if s.Head.Serial == head.Serial {
		if !precedes(s.Version, s.Head.Digest, r.version, head.Digest) {
			result.Verdict = Conflict
			return result
		}
		result.Verdict = Replaced
	}
	next, err := note.ParseSnapshot(s.Text)
	if err == nil && next.Head != s.Head {
		result.Verdict = Refused
		result.Mistakes = form.DocumentErrors{{Text: "the release in the snapshot has another serial or digest than the message that carried the snapshot"}}
		return result
	}
	if err != nil {
		result.Verdict = Refused
		result.Mistakes = form.DocumentErrors{{Text: err.Error()}}
		return result
	}
	r.previous, r.recentBase, r.recentNotes, r.recentBytes = nil, next.Head, nil, 0
	r.install(next, s.Version, s.Accepted)
	return result
}

func (r *Replica) rememberRefused(digest ident.Digest) {
	r.refused = append(r.refused, digest)
	if len(r.refused) > maxRefused {
		r.refused = r.refused[1:]
	}
}

func (r *Replica) appendRecent(o Offer, digest ident.Digest) {
	r.recentNotes = append(r.recentNotes, recentNote{Offer: o, digest: digest})
	r.recentBytes += len(o.Text)
	for len(r.recentNotes) > maxRecentNotes || r.recentBytes > maxRecentBytes && len(r.recentNotes) > 1 {
		r.recentBase = ident.Head{Serial: r.recentNotes[0].Serial, Digest: r.recentNotes[0].digest}
		r.recentBytes -= len(r.recentNotes[0].Text)
		r.recentNotes = slices.Clone(r.recentNotes[1:])
	}
}

func (r *Replica) install(next *note.Release, version uint64, accepted bool) {
	r.release, r.version, r.accepted, r.snapshot = next, version, accepted, nil
	r.holders = map[ident.VM]ident.DataCentre{}
	r.AddHolder(r.vm, r.dataCentre, next.Head)
}

// AddHolder records that a daemon holds a head, unless it is the head of a release other than the one in force. It marks
// the release in force as accepted once enough daemons hold it.
func (r *Replica) AddHolder(vm ident.VM, dataCentre ident.DataCentre, head ident.Head) {
	if head.IsZero() || head != r.release.Head || vm == "" {
		return
	}
	r.holders[vm] = dataCentre
	if r.accepted {
		return
	}
	daemons, dataCentres, holderDataCentres := map[ident.VM]bool{}, map[ident.DataCentre]bool{}, map[ident.DataCentre]bool{}
	for _, t := range r.release.Targets {
		daemons[t.VM], dataCentres[t.DataCentre] = true, true
	}
	for _, d := range r.holders {
		holderDataCentres[d] = true
	}
	r.accepted = len(r.holders) >= min(acceptanceHolders, max(1, len(daemons))) && len(holderDataCentres) >= min(2, max(1, len(dataCentres)))
}

// AnswerPull returns the response to a Pull: the notes after a head, or nil if nothing is newer. It returns a snapshot
// instead of notes that this daemon does not have or that are larger than the snapshot.
func (r *Replica) AnswerPull(after ident.Head) Message {
	head := r.release.Head
	if after == head || head.IsZero() || after.Serial > head.Serial {
		return nil
	}
	i := -1
	if after == r.recentBase {
		i = 0
	}
	for k, n := range r.recentNotes {
		if n.Serial == after.Serial && n.digest == after.Digest {
			i = k + 1
		}
	}
	size := 0
	var m Notes
	for n := i; n >= 0 && n < len(r.recentNotes); n++ {
		o := r.recentNotes[n].Offer
		o.Accepted = n < len(r.recentNotes)-1 || r.accepted
		m.Notes = append(m.Notes, o)
		size += len(o.Text)
	}
	if i < 0 || size > r.release.SnapshotSize() {
		if r.snapshot == nil {
			r.snapshot = r.release.Snapshot()
		}
		return Snapshot{Head: head, Text: r.snapshot, Version: r.version, Accepted: r.accepted}
	}
	return m
}

// LastNote returns the last note, and whether it is known.
func (r *Replica) LastNote() (Offer, bool) {
	if len(r.recentNotes) == 0 {
		return Offer{}, false
	}
	o := r.recentNotes[len(r.recentNotes)-1].Offer
	o.Accepted = r.accepted
	return o, true
}
