package note

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"github.com/juju/errors"

	"jacinthcross/internal/base/form"
	"jacinthcross/internal/base/ident"
)

// MaxSnapshotSize is the largest text of a snapshot, in bytes: the largest value of the configuration service.
const MaxSnapshotSize = 1_000_000

const checksumLine = "Checksum = %q\n"

// Snapshot returns the release as text. Two equal releases have the same text.
func (r *Release) Snapshot() []byte {
	var b strings.Builder
	fmt.Fprintf(&b, "Serial = %d\nDigest = %q\n", r.Head.Serial, r.Head.Digest)
	for _, name := range slices.Sorted(maps.Keys(r.Services)) {
		s := r.Services[name]
		fmt.Fprintf(&b, "\n[[Service]]\nName = %q\nHosts = %s\nRank = %q\nKeyRequired = %t\nIdempotentMethods = %s\nTimeout = %q\n",
			s.Name, list(s.Hosts), s.Rank, s.KeyRequired, list(s.IdempotentMethods), s.Timeout)
	}
	for _, name := range slices.Sorted(maps.Keys(r.Targets)) {
		b.WriteString("\n[[Target]]\n")
		writeTarget(&b, r.Targets[name])
	}
	for _, name := range slices.Sorted(maps.Keys(r.Withdrawn)) {
		w := r.Withdrawn[name]
		fmt.Fprintf(&b, "\n[[Withdrawn]]\nSerial = %d\n", w.Serial)
		writeTarget(&b, w.Target)
	}
	sum := sha256.Sum256([]byte(b.String()))
	return []byte(fmt.Sprintf(checksumLine, hex.EncodeToString(sum[:])) + b.String())
}

func writeTarget(b *strings.Builder, t Target) {
	fmt.Fprintf(b, "Name = %q\nService = %q\nVM = %q\nDataCentre = %q\n", t.Name, t.Service, t.VM, t.DataCentre)
	if t.Region != "" {
		fmt.Fprintf(b, "Region = %q\n", t.Region)
	}
	fmt.Fprintf(b, "Daemon = %q\nAddress = %q\nSlots = %d\n", t.Daemon, t.Address, t.Slots)
}

func list(texts []string) string {
	quoted := make([]string, len(texts))
	for i, t := range texts {
		quoted[i] = fmt.Sprintf("%q", t)
	}
	return "[" + strings.Join(quoted, ", ") + "]"
}

// ParseSnapshot reads a release from the text of a snapshot.
func ParseSnapshot(text []byte) (*Release, error) {
	if len(text) > MaxSnapshotSize {
		return nil, errors.NotValidf("snapshot of %d bytes (at most %d)", len(text), MaxSnapshotSize)
	}
	// The checksum covers the bytes after its line, so a cut or changed snapshot is found before it is read.
	first, rest, _ := strings.Cut(string(text), "\n")
	sum := sha256.Sum256([]byte(rest))
	if first+"\n" != fmt.Sprintf(checksumLine, hex.EncodeToString(sum[:])) {
		return nil, errors.NotValidf("snapshot whose checksum differs from its text")
	}
	d := form.Parse([]byte(rest))
	r := readSnapshot(d.Root())
	if m := d.Mistakes(); len(m) > 0 {
		return nil, m
	}
	a := &applier{release: r, note: &Note{source: d.Root()}}
	a.checkWhole()
	if len(a.mistakes) > 0 {
		return nil, form.Sorted(a.mistakes)
	}
	return r, nil
}

func readSnapshot(t *form.Table) *Release {
	r := NewRelease()
	r.Head.Serial = ident.Serial(t.Number("Serial", 1, math.MaxInt64, 0))
	digest, err := ident.ParseDigest(t.Text("Digest"))
	if err != nil || r.Head.Serial == 0 {
		t.Mistake("Digest", "Serial and Digest name no release")
	}
	r.Head.Digest = digest
	for _, e := range t.Tables("Service") {
		s := readService(e)
		if _, ok := r.Services[s.Name]; ok {
			e.Mistake("Name", "service %q is there twice", s.Name)
		}
		r.Services[s.Name] = s
		e.Done()
	}
	for _, e := range t.Tables("Target") {
		target := readTarget(e)
		if _, ok := r.Targets[target.Name]; ok {
			e.Mistake("Name", "target %q is there twice", target.Name)
		}
		r.Targets[target.Name] = target
		e.Done()
	}
	for _, e := range t.Tables("Withdrawn") {
		w := Withdrawal{Serial: ident.Serial(e.Number("Serial", 1, math.MaxInt64, 0)), Target: readTarget(e)}
		r.Withdrawn[w.Target.Name] = w
		e.Done()
	}
	t.Done()
	return r
}
