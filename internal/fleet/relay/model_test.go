package relay_test

import (
	"crypto/sha256"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/relay"
)

// A publishedNote is a note with its version in the configuration service, or 0 if that is unknown.
type publishedNote struct {
	head    ident.Head
	parent  ident.Head
	version uint64
}

// A model is a second, simpler implementation of Replica, with which the test compares Replica. heads are the heads
// since the last snapshot. before is the head before the last note, if beforeKnown is set.
type model struct {
	last        publishedNote
	before      ident.Head
	beforeKnown bool
	heads       []ident.Head
}

// precedes reports whether note a wins against note b of the same serial: by the lower version, with an unknown
// version last, then by the lower digest.
func precedes(a, b publishedNote) bool {
	switch {
	case a.version == b.version:
		return slices.Compare(a.head.Digest[:], b.head.Digest[:]) < 0
	case a.version == 0 || b.version == 0:
		return b.version == 0
	default:
		return a.version < b.version
	}
}

func (r *model) applyNote(p publishedNote) relay.Verdict {
	own := r.last.head
	switch {
	case p.head.Serial < own.Serial:
		for _, h := range r.heads {
			if h.Serial == p.head.Serial && h != p.head {
				return relay.Conflict
			}
		}
		return relay.Known
	case p.head == own:
		if precedes(publishedNote{version: p.version}, publishedNote{version: r.last.version}) {
			r.last.version = p.version
		}
		return relay.Known
	case p.head.Serial == own.Serial && !precedes(p, r.last):
		return relay.Conflict
	case p.head.Serial == own.Serial && r.beforeKnown && p.parent == r.before:
		r.last = p
		r.heads = append(slices.Clone(r.heads[:len(r.heads)-1]), p.head)
		return relay.Replaced
	case p.head.Serial == own.Serial+1 && p.parent == own:
		r.before, r.beforeKnown, r.last = own, true, p
		r.heads = append(slices.Clone(r.heads), p.head)
		return relay.Applied
	default:
		return relay.Behind
	}
}

func (r *model) applySnapshot(p publishedNote) relay.Verdict {
	own := r.last.head
	verdict := relay.Applied
	switch {
	case p.head == own || p.head.Serial < own.Serial:
		return relay.Known
	case p.head.Serial == own.Serial && !precedes(p, r.last):
		return relay.Conflict
	case p.head.Serial == own.Serial:
		verdict = relay.Replaced
	}
	*r = model{last: p}
	return verdict
}

// Guards against a Replica that deviates from the model: a head that moves to a lower serial or to the
// loser of a conflict, a valid note that is refused, and daemons on two branches that do not converge.
func TestReplicaMatchesModel(t *testing.T) {
	const daemons = 3
	type state struct {
		publishedNote
		offer    relay.Offer
		snapshot []byte
	}
	var states []state
	for i, branch := range [][]relay.Offer{makeNotes(6, 99, ""), makeNotes(6, 3, "other"), makeNotes(6, 4, "third")} {
		r, parent := relay.NewReplica("source", "d"), ident.Head{}
		for _, o := range branch {
			// The second branch has higher versions than the first, and the third has equal ones.
			if i == 1 {
				o.Version += 5
			}
			r.ApplyNote(o)
			states = append(states, state{
				publishedNote{ident.Head{Serial: o.Serial, Digest: sha256.Sum256(o.Text)}, parent, o.Version}, o, r.Release().Snapshot(),
			})
			parent = r.Head()
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		var replicas [daemons]*relay.Replica
		var models [daemons]model
		for i := range replicas {
			replicas[i] = relay.NewReplica(ident.VM(rune('a'+i)), "d")
		}
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			i := rapid.IntRange(0, daemons-1).Draw(t, "daemon")
			r, want := replicas[i], &models[i]
			// Most states are close to the current one, so that conflicts and next notes are frequent.
			candidates := slices.DeleteFunc(slices.Clone(states), func(s state) bool {
				own := want.last.head.Serial
				return s.head.Serial > own+1 || s.head.Serial < own
			})
			if rapid.IntRange(0, 3).Draw(t, "any") == 0 {
				candidates = states
			}
			s := rapid.SampledFrom(candidates).Draw(t, "state")
			if !rapid.Bool().Draw(t, "version known") {
				s.version, s.offer.Version = 0, 0
			}
			before := r.Head()
			var got relay.Result
			var verdict relay.Verdict
			switch action := rapid.SampledFrom([]string{"note", "note", "note", "snapshot", "restart"}).Draw(t, "action"); action {
			case "note":
				got, verdict = r.ApplyNote(s.offer), want.applyNote(s.publishedNote)
			case "snapshot":
				got = r.ApplySnapshot(relay.Snapshot{Head: s.head, Text: s.snapshot, Version: s.version})
				verdict = want.applySnapshot(s.publishedNote)
			case "restart":
				replicas[i], *want = relay.NewReplica(ident.VM(rune('a'+i)), "d"), model{}
				continue
			}
			if got.Verdict != verdict || r.Head() != want.last.head {
				t.Fatalf("head %v, state %v: verdict %s and head %v, want %s and %v", before, s.publishedNote, got.Verdict, r.Head(), verdict, want.last.head)
			}
			if r.Head().Serial < before.Serial {
				t.Fatalf("serial decreased from %d to %d", before.Serial, r.Head().Serial)
			}
		}
		converge(t, replicas[:])
	})
}

// converge exchanges digests between all pairs in both directions and checks that all replicas then have the
// same head, with the highest serial that any of them held.
func converge(t *rapid.T, replicas []*relay.Replica) {
	highest := ident.Serial(0)
	for _, r := range replicas {
		highest = max(highest, r.Head().Serial)
	}
	for range 2 {
		for _, a := range replicas {
			for _, b := range replicas {
				if a != b {
					exchange(a, b)
				}
			}
		}
	}
	for _, r := range replicas {
		if r.Head() != replicas[0].Head() || r.Head().Serial != highest {
			t.Fatalf("heads %v and %v after the exchange, highest serial %d", replicas[0].Head(), r.Head(), highest)
		}
	}
}
