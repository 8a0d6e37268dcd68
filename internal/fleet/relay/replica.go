package relay

import (
	"crypto/sha256"
	"slices"

	"jacinthcross/internal/base/form"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
)

const (
	// chainNotes and chainBytes bound the notes that a daemon keeps for peers that lag.
	chainNotes = 256
	chainBytes = 4 << 20
	// refusedKept bounds the refused notes that are recognised without reading them again.
	refusedKept = 64
	// acceptHolders daemons must hold a note before it is accepted: it then survives the loss of any two VMs.
	acceptHolders = 3
)

// A Verdict tells what became of a note or snapshot.
type Verdict string

// The verdicts.
const (
	// Applied means that a higher serial came into force.
	Applied Verdict = "Applied"
	// Replaced means that another note of the same serial came into force, by the rule for conflicts.
	Replaced Verdict = "Replaced"
	// Known means that nothing changed: the note is in force or older.
	Known Verdict = "Known"
	// Behind means that notes before this one are missing here.
	Behind Verdict = "Behind"
	// Conflict means that the note lost against another of its serial.
	Conflict Verdict = "Conflict"
	// Refused means that the note or snapshot is not valid.
	Refused Verdict = "Refused"
)

// A Result is the verdict on a note or snapshot, with its mistakes when they were found for the first time.
type Result struct {
	Verdict  Verdict
	Serial   ident.Serial
	Mistakes form.Errors
}

// A Replica is the release that a daemon holds and the notes that led to it. Its head never moves to a lower serial.
type Replica struct {
	vm         ident.VM
	dataCentre ident.DataCentre
	release    *note.Release
	// before is the release before the last note, or nil when it is not known.
	before   *note.Release
	base     ident.Head
	chain    []link
	bytes    int
	version  uint64
	accepted bool
	holders  map[ident.VM]ident.DataCentre
	refused  []ident.Digest
	snapshot []byte
}

// A link is one note of the chain.
type link struct {
	Offer
	digest ident.Digest
}

// NewReplica returns the Replica of a daemon that holds no release.
func NewReplica(vm ident.VM, dataCentre ident.DataCentre) *Replica {
	return &Replica{vm: vm, dataCentre: dataCentre, release: note.NewRelease(), holders: map[ident.VM]ident.DataCentre{}}
}

// Release returns the release in force.
func (r *Replica) Release() *note.Release { return r.release }

// Head returns the head of the release in force.
func (r *Replica) Head() ident.Head { return r.release.Head }

// Accepted reports whether enough daemons hold the release.
func (r *Replica) Accepted() bool { return r.accepted }

// Holders returns the number of daemons that are known to hold the release.
func (r *Replica) Holders() int { return len(r.holders) }

// Offer takes a note.
func (r *Replica) Offer(o Offer) Result {
	result := Result{Serial: o.Serial}
	digest := ident.Digest(sha256.Sum256(o.Text))
	head := r.release.Head
	switch {
	case o.Serial == 0 || len(o.Text) > note.MaxNoteSize:
		result.Verdict = Refused
	case o.Serial < head.Serial:
		result.Verdict = r.older(o, digest)
	case o.Serial == head.Serial && digest == head.Digest:
		result.Verdict = Known
		r.again(o)
	case o.Serial == head.Serial:
		result.Verdict, result.Mistakes = r.conflict(o, digest)
	case o.Serial > head.Serial+1:
		result.Verdict = Behind
	default:
		result.Verdict, result.Mistakes = r.next(o, digest)
	}
	return result
}

// again takes from a repeated note what it tells beside its text.
func (r *Replica) again(o Offer) {
	r.accepted = r.accepted || o.Accepted
	if precedes(o.Version, ident.Digest{}, r.version, ident.Digest{}) {
		r.version = o.Version
		if n := len(r.chain); n > 0 {
			r.chain[n-1].Version = o.Version
		}
	}
}

func (r *Replica) older(o Offer, digest ident.Digest) Verdict {
	for _, l := range r.chain {
		if l.Serial == o.Serial && l.digest != digest {
			return Conflict
		}
	}
	return Known
}

// next applies a note of the serial after the head.
func (r *Replica) next(o Offer, digest ident.Digest) (Verdict, form.Errors) {
	if slices.Contains(r.refused, digest) {
		return Refused, nil
	}
	n, err := note.Parse(o.Text)
	if err == nil && n.Serial != o.Serial {
		return Refused, nil
	}
	if err == nil && !r.release.Head.IsZero() && n.Previous != r.release.Head.Digest.String() {
		// The note follows another note of the own serial. The peer has that one.
		return Behind, nil
	}
	next, mistakes := note.Check(r.release, o.Text)
	if len(mistakes) > 0 {
		r.refuse(digest)
		return Refused, mistakes
	}
	r.before = r.release
	r.push(o, digest)
	r.enter(next, o.Version, o.Accepted)
	return Applied, nil
}

// conflict decides between the last note and another one of its serial.
func (r *Replica) conflict(o Offer, digest ident.Digest) (Verdict, form.Errors) {
	if !precedes(o.Version, digest, r.version, r.release.Head.Digest) {
		return Conflict, nil
	}
	if r.before == nil {
		return Behind, nil
	}
	if slices.Contains(r.refused, digest) {
		return Refused, nil
	}
	if n, err := note.Parse(o.Text); err == nil && n.Serial == o.Serial && !r.before.Head.IsZero() && n.Previous != r.before.Head.Digest.String() {
		// The branches part before this serial. The peer has the notes that this one follows.
		return Behind, nil
	}
	next, mistakes := note.Check(r.before, o.Text)
	if len(mistakes) > 0 {
		r.refuse(digest)
		return Refused, mistakes
	}
	if n := len(r.chain); n > 0 {
		r.bytes -= len(r.chain[n-1].Text)
		r.chain = r.chain[:n-1]
	}
	r.push(o, digest)
	r.enter(next, o.Version, o.Accepted)
	return Replaced, nil
}

// precedes reports whether the first of two notes with one serial wins: the one of the lower version,
// which was published first. Version 0 is unknown and loses. Equal versions are decided by digest.
func precedes(version uint64, digest ident.Digest, otherVersion uint64, other ident.Digest) bool {
	if version != otherVersion {
		return version != 0 && (otherVersion == 0 || version < otherVersion)
	}
	return slices.Compare(digest[:], other[:]) < 0
}

// Take takes a snapshot.
func (r *Replica) Take(s Snapshot) Result {
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
		result.Mistakes = form.Errors{{Text: "the snapshot is of another release than its message says"}}
		return result
	}
	if err != nil {
		result.Verdict = Refused
		result.Mistakes = form.Errors{{Text: err.Error()}}
		return result
	}
	r.before, r.base, r.chain, r.bytes = nil, next.Head, nil, 0
	r.enter(next, s.Version, s.Accepted)
	return result
}

func (r *Replica) refuse(digest ident.Digest) {
	r.refused = append(r.refused, digest)
	if len(r.refused) > refusedKept {
		r.refused = r.refused[1:]
	}
}

func (r *Replica) push(o Offer, digest ident.Digest) {
	r.chain = append(r.chain, link{Offer: o, digest: digest})
	r.bytes += len(o.Text)
	for len(r.chain) > chainNotes || r.bytes > chainBytes && len(r.chain) > 1 {
		r.base = ident.Head{Serial: r.chain[0].Serial, Digest: r.chain[0].digest}
		r.bytes -= len(r.chain[0].Text)
		r.chain = slices.Clone(r.chain[1:])
	}
}

func (r *Replica) enter(next *note.Release, version uint64, accepted bool) {
	r.release, r.version, r.accepted, r.snapshot = next, version, accepted, nil
	r.holders = map[ident.VM]ident.DataCentre{}
	r.Held(r.vm, r.dataCentre, next.Head)
}

// Held counts a daemon that holds a head, when it is the own one.
func (r *Replica) Held(vm ident.VM, dataCentre ident.DataCentre, head ident.Head) {
	if head.IsZero() || head != r.release.Head || vm == "" {
		return
	}
	r.holders[vm] = dataCentre
	if r.accepted {
		return
	}
	daemons, sites, held := map[ident.VM]bool{}, map[ident.DataCentre]bool{}, map[ident.DataCentre]bool{}
	for _, t := range r.release.Targets {
		daemons[t.VM], sites[t.DataCentre] = true, true
	}
	for _, d := range r.holders {
		held[d] = true
	}
	r.accepted = len(r.holders) >= min(acceptHolders, max(1, len(daemons))) && len(held) >= min(2, max(1, len(sites)))
}

// Next returns the answer to a pull: the notes after a head, a snapshot, or nil when there is nothing newer.
func (r *Replica) Next(after ident.Head) Message {
	head := r.release.Head
	if after == head || head.IsZero() || after.Serial > head.Serial {
		return nil
	}
	i := -1
	if after == r.base {
		i = 0
	}
	for n, l := range r.chain {
		if l.Serial == after.Serial && l.digest == after.Digest {
			i = n + 1
		}
	}
	size := 0
	var m Notes
	for n := i; n >= 0 && n < len(r.chain); n++ {
		o := r.chain[n].Offer
		o.Accepted = n < len(r.chain)-1 || r.accepted
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

// Last returns the last note, when it is known.
func (r *Replica) Last() (Offer, bool) {
	if len(r.chain) == 0 {
		return Offer{}, false
	}
	o := r.chain[len(r.chain)-1].Offer
	o.Accepted = r.accepted
	return o, true
}
