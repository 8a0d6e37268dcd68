package relay_test

import (
	"crypto/sha256"
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/fleet/relay"
)

// TestMain fixes the seed of the property tests unless the command line sets one.
func TestMain(m *testing.M) {
	flag.Parse()
	if f := flag.Lookup("rapid.seed"); f.Value.String() == f.DefValue {
		_ = f.Value.Set("1")
	}
	os.Exit(m.Run())
}

// makeNotes returns n valid notes, each of which follows the note before it. From serial fork on, the texts differ per
// branch.
func makeNotes(n, fork int, branch string) []relay.Offer {
	var offers []relay.Offer
	previous := ""
	for serial := 1; serial <= n; serial++ {
		name := "service"
		if serial >= fork {
			name = branch
		}
		text := fmt.Sprintf("Serial = %d\nPrevious = %q\n[[AddService]]\nName = \"%s-%d\"\n", serial, previous, name, serial)
		previous = fmt.Sprintf("%x", sha256.Sum256([]byte(text)))
		offers = append(offers, relay.Offer{Serial: ident.Serial(serial), Text: []byte(text), Version: uint64(10 * serial)})
	}
	return offers
}

func newReplica(vm ident.VM, offers ...relay.Offer) *relay.Replica {
	r := relay.NewReplica(vm, "d")
	for _, o := range offers {
		r.ApplyNote(o)
	}
	return r
}

// exchange sends the digest of a to b and delivers the replies of both until there are none.
func exchange(a, b *relay.Replica) {
	var m relay.Message = a.Digest()
	for range 5 {
		answer, _ := b.Receive(m, true)
		if answer == nil {
			answer = b.Digest()
		}
		if m, _ = a.Receive(answer, true); m == nil {
			return
		}
	}
}

// Guards against applying a note twice or out of order, applying a corrupt note or one that is too large, and replacing
// the note that won the conflict on a serial.
func TestApplyNote(t *testing.T) {
	main, other := makeNotes(5, 9, ""), makeNotes(5, 3, "other")
	withVersion := func(o relay.Offer, v uint64) relay.Offer { o.Version = v; return o }
	truncated := main[3]
	truncated.Text = truncated.Text[:len(truncated.Text)-5]
	large := main[3]
	large.Text = make([]byte, note.MaxNoteSize+1)
	mismatched := main[3]
	mismatched.Text = main[4].Text
	tests := []struct {
		name   string
		held   []relay.Offer
		offer  relay.Offer
		want   relay.Verdict
		serial ident.Serial
	}{
		{"next", main[:3], main[3], relay.Applied, 4},
		{"replayed", main[:3], main[1], relay.Known, 3},
		{"repeated", main[:3], main[2], relay.Known, 3},
		{"gap", main[:3], main[4], relay.Behind, 3},
		{"truncated", main[:3], truncated, relay.Refused, 3},
		{"too large", main[:3], large, relay.Refused, 3},
		{"text of another serial", main[:3], mismatched, relay.Refused, 3},
		{"no serial", main[:3], relay.Offer{}, relay.Refused, 3},
		{"later version of the serial", main[:3], withVersion(other[2], 31), relay.Conflict, 3},
		{"unknown version of the serial", main[:3], withVersion(other[2], 0), relay.Conflict, 3},
		{"earlier version of the serial", main[:3], withVersion(other[2], 29), relay.Replaced, 3},
		{"earlier version of an older serial", main[:4], withVersion(other[2], 29), relay.Conflict, 4},
		{"next of another branch", main[:3], other[3], relay.Behind, 3},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			r := newReplica("a", test.held...)
			c.Check(r.ApplyNote(test.offer).Verdict, quicktest.Equals, test.want)
			c.Check(r.Head().Serial, quicktest.Equals, test.serial)
			if test.want == relay.Replaced {
				c.Check(r.Head().Digest, quicktest.Equals, ident.Digest(sha256.Sum256(test.offer.Text)))
			}
		})
	}
}

// Guards against a daemon that parses a refused note again on each replay and logs its errors each time.
func TestRefusedNoteIsParsedOnce(t *testing.T) {
	c := quicktest.New(t)
	r := newReplica("a", makeNotes(1, 9, "")...)
	bad := relay.Offer{Serial: 2, Text: fmt.Appendf(nil, "Serial = 2\nPrevious = %q\nColour = 1\n", r.Head().Digest)}
	c.Assert(r.ApplyNote(bad).Mistakes, quicktest.HasLen, 1)
	again := r.ApplyNote(bad)
	c.Assert(again.Verdict, quicktest.Equals, relay.Refused)
	c.Assert(again.Mistakes, quicktest.HasLen, 0)
}

// Guards against a daemon that is too far behind to catch up, and against recent notes that grow without bound.
func TestPullBeyondRecentNotes(t *testing.T) {
	all := makeNotes(300, 999, "")
	ahead := newReplica("a", all...)
	tests := []struct {
		held     int
		snapshot bool
	}{{0, true}, {10, true}, {43, true}, {44, false}, {290, false}, {299, false}}
	for _, test := range tests {
		c := quicktest.New(t)
		behind := newReplica("b", all[:test.held]...)
		answer := ahead.AnswerPull(behind.Head())
		_, isSnapshot := answer.(relay.Snapshot)
		// A snapshot may also be sent because it is smaller than the notes, so for 44 held notes either answer is
		// right.
		if test.snapshot || test.held > 200 {
			c.Check(isSnapshot, quicktest.Equals, test.snapshot, quicktest.Commentf("held %d", test.held))
		}
		behind.Receive(answer, true)
		c.Check(behind.Head(), quicktest.Equals, ahead.Head(), quicktest.Commentf("held %d", test.held))
	}
}

// Guards against a corrupt or outdated snapshot that replaces a release.
func TestApplySnapshotRejectsCorruptText(t *testing.T) {
	c := quicktest.New(t)
	ahead := newReplica("a", makeNotes(300, 999, "")...)
	s := ahead.AnswerPull(ident.Head{Serial: 1}).(relay.Snapshot)
	r := newReplica("b", makeNotes(5, 999, "")...)
	truncated := s
	truncated.Text = s.Text[:len(s.Text)-1]
	c.Check(r.ApplySnapshot(truncated).Verdict, quicktest.Equals, relay.Refused)
	other := s
	other.Head.Serial++
	c.Check(r.ApplySnapshot(other).Verdict, quicktest.Equals, relay.Refused)
	c.Check(r.Head().Serial, quicktest.Equals, ident.Serial(5))
	c.Check(r.ApplySnapshot(s).Verdict, quicktest.Equals, relay.Applied)
	old := newReplica("c", makeNotes(299, 999, "")...)
	c.Check(r.ApplySnapshot(old.AnswerPull(ident.Head{Serial: 1}).(relay.Snapshot)).Verdict, quicktest.Equals, relay.Known)
	c.Check(r.Head().Serial, quicktest.Equals, ident.Serial(300))
}

// Guards against a release that returns to a lower serial, and against daemons that stay different after lost,
// duplicate and replayed notes and after two notes with the same serial.
func TestReplicasConverge(t *testing.T) {
	main, other := makeNotes(8, 99, ""), makeNotes(8, 4, "other")
	for i := range other {
		other[i].Version += 5
	}
	pool := append(append([]relay.Offer{}, main...), other[3:]...)
	pool = append(pool, relay.Offer{Serial: 5, Text: []byte("Serial = 5\nnot a note")})
	rapid.Check(t, func(t *rapid.T) {
		replicas := []*relay.Replica{newReplica("a"), newReplica("b"), newReplica("c")}
		steps := rapid.SliceOfN(rapid.SampledFrom(pool), 0, 60).Draw(t, "offers")
		for i, o := range steps {
			r := replicas[rapid.IntRange(0, 2).Draw(t, "receiver")]
			before := r.Head().Serial
			r.ApplyNote(o)
			if r.Head().Serial < before {
				t.Fatalf("offer %d moved the serial from %d to %d", i, before, r.Head().Serial)
			}
		}
		highest := ident.Serial(0)
		for _, r := range replicas {
			highest = max(highest, r.Head().Serial)
		}
		for range 2 {
			exchange(replicas[0], replicas[1])
			exchange(replicas[1], replicas[2])
			exchange(replicas[2], replicas[0])
		}
		for _, r := range replicas {
			if r.Head() != replicas[0].Head() || r.Head().Serial != highest {
				t.Fatalf("heads differ: %v and %v, highest %d", r.Head(), replicas[0].Head(), highest)
			}
			if string(r.Release().Snapshot()) != string(replicas[0].Release().Snapshot()) {
				t.Fatalf("releases of head %v differ", r.Head())
			}
		}
	})
}

// Guards against a note that counts as accepted although it does not survive the loss of two VMs or of a data centre.
func TestAcceptance(t *testing.T) {
	dataCentres := []ident.DataCentre{"d", "d", "d", "e"}
	text := "Serial = 1\n[[AddService]]\nName = \"s\"\n"
	for i, d := range dataCentres {
		text += fmt.Sprintf("[[AddTarget]]\nName = \"t%d\"\nService = \"s\"\nVM = \"vm%d\"\nDataCentre = %q\nDaemon = \"10.0.0.%d:1\"\nAddress = \"10.0.0.%d:2\"\nSlots = 1\n", i, i, d, i+1, i+1)
	}
	tests := []struct {
		name    string
		holders []int
		want    bool
	}{
		{"alone", nil, false},
		{"two", []int{3}, false},
		{"three in one data centre", []int{1, 2}, false},
		{"the same one twice", []int{3, 3}, false},
		{"three in two data centres", []int{1, 3}, true},
	}
	for _, test := range tests {
		c := quicktest.New(t)
		r := newReplica("vm0", relay.Offer{Serial: 1, Text: []byte(text)})
		c.Assert(r.Head().Serial, quicktest.Equals, ident.Serial(1))
		for _, h := range test.holders {
			r.Receive(relay.Ack{Head: r.Head(), VM: ident.VM(fmt.Sprintf("vm%d", h)), DataCentre: dataCentres[h]}, true)
		}
		c.Check(r.Accepted(), quicktest.Equals, test.want, quicktest.Commentf(test.name))
	}
}
