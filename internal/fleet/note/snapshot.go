package note

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"jacinthcross/internal/base/form"
	"jacinthcross/internal/base/ident"
)

// MaxSnapshotSize is the maximum size of the text of a snapshot, in bytes. A published snapshot is one value of the
// configuration service, which must accept values of this size.
const MaxSnapshotSize = 1_000_000

const checksumLine = "Checksum = %q\n"

// Snapshot returns a release that was built from notes as text. Fields that only a release from the store has, such as
// Routes and Limits, are left out. Equal releases have equal texts.
func (r *Release) Snapshot() []byte {
	b := r.appendHead(nil)
	for _, name := range slices.Sorted(maps.Keys(r.Services)) {
		b = appendService(b, r.Services[name])
	}
	for _, name := range slices.Sorted(maps.Keys(r.Targets)) {
		b = appendTarget(append(b, "\n[[Target]]\n"...), r.Targets[name])
	}
	for _, name := range slices.Sorted(maps.Keys(r.Withdrawn)) {
		b = appendWithdrawal(b, r.Withdrawn[name])
	}
	return append(checksumOf(b), b...)
}

// SnapshotSize returns the length of Snapshot. It is computed for each note, so it neither sorts nor keeps the text.
func (r *Release) SnapshotSize() int {
	b := r.appendHead(nil)
	size := len(checksumOf(b)) + len(b)
	for _, s := range r.Services {
		b = appendService(b[:0], s)
		size += len(b)
	}
	for _, t := range r.Targets {
		b = appendTarget(append(b[:0], "\n[[Target]]\n"...), t)
		size += len(b)
	}
	for _, w := range r.Withdrawn {
		b = appendWithdrawal(b[:0], w)
		size += len(b)
	}
	return size
}

func checksumOf(text []byte) []byte {
	sum := sha256.Sum256(text)
	return fmt.Appendf(nil, checksumLine, hex.EncodeToString(sum[:]))
}

func (r *Release) appendHead(b []byte) []byte {
	return fmt.Appendf(b, "Serial = %d\nDigest = %q\n", r.Head.Serial, r.Head.Digest)
}

// appendText appends a line with a key and a text. A release has many entries, so their text is built without reflection.
func appendText(b []byte, key, value string) []byte {
	b = append(append(b, key...), " = "...)
	return append(appendQuoted(b, value), '\n')
}

// appendQuoted is strconv.AppendQuote with a fast path for text that needs no escapes, since AppendQuote
// processes each rune.
func appendQuoted(b []byte, text string) []byte {
	for i := range len(text) {
		if c := text[i]; c < ' ' || c > '~' || c == '"' || c == '\\' {
			return strconv.AppendQuote(b, text)
		}
	}
	return append(append(append(b, '"'), text...), '"')
}

func appendStrings(b []byte, key string, values []string) []byte {
	b = append(append(b, key...), " = ["...)
	for i, v := range values {
		if i > 0 {
			b = append(b, ", "...)
		}
		b = appendQuoted(b, v)
	}
	return append(b, "]\n"...)
}

func appendInt(b []byte, key string, value int64) []byte {
	b = append(append(b, key...), " = "...)
	return append(strconv.AppendInt(b, value, 10), '\n')
}

func appendService(b []byte, s Service) []byte {
	b = appendText(append(b, "\n[[Service]]\n"...), "Name", string(s.Name))
	b = appendStrings(b, "Hosts", s.Hosts)
	b = appendText(b, "Rank", string(s.Rank))
	b = append(strconv.AppendBool(append(b, "KeyRequired = "...), s.KeyRequired), '\n')
	b = appendStrings(b, "IdempotentMethods", s.IdempotentMethods)
	return appendText(b, "Timeout", s.Timeout.String())
}

func appendTarget(b []byte, t Target) []byte {
	b = appendText(b, "Name", string(t.Name))
	b = appendText(b, "Service", string(t.Service))
	b = appendText(b, "VM", string(t.VM))
	b = appendText(b, "DataCentre", string(t.DataCentre))
	if t.Region != "" {
		b = appendText(b, "Region", string(t.Region))
	}
	b = appendText(b, "Daemon", t.Daemon.String())
	b = appendText(b, "Address", t.Address.String())
	return appendInt(b, "Slots", int64(t.Slots))
}

func appendWithdrawal(b []byte, w Withdrawal) []byte {
	return appendTarget(appendInt(append(b, "\n[[Withdrawn]]\n"...), "Serial", int64(w.Serial)), w.Target)
}

// ParseSnapshot parses a release from the text of a snapshot.
func ParseSnapshot(text []byte) (*Release, error) {
	// NotValidf appends " not valid".
	if len(text) > MaxSnapshotSize {
		return nil, errors.NotValidf("a snapshot of %d bytes, more than the maximum of %d, is", len(text), MaxSnapshotSize)
	}
	// The checksum covers the bytes after its line, so a truncated or modified snapshot is detected before it is parsed.
	first, rest, _ := strings.Cut(string(text), "\n")
	sum := sha256.Sum256([]byte(rest))
	if first+"\n" != fmt.Sprintf(checksumLine, hex.EncodeToString(sum[:])) {
		return nil, errors.NotValidf("a snapshot whose checksum does not match its text is")
	}
	d := form.Parse([]byte(rest))
	r := readSnapshot(d.Root())
	if m := d.Mistakes(); len(m) > 0 {
		return nil, m
	}
	// A snapshot has no note, so errors are reported at its root table.
	a := &applier{release: r, note: &Note{source: d.Root()}}
	a.checkConsistency()
	if len(a.errs) > 0 {
		return nil, form.Sorted(a.errs)
	}
	return r, nil
}

func readSnapshot(t *form.Table) *Release {
	r := NewRelease()
	r.Head.Serial = ident.Serial(t.Int("Serial", 1, math.MaxInt64, 0))
	digest, err := ident.ParseDigest(t.String("Digest"))
	if err != nil || r.Head.Serial == 0 {
		t.AddMistake("Digest", "must be a SHA-256 in hexadecimal, and Serial must be at least 1")
	}
	r.Head.Digest = digest
	for _, e := range t.Tables("Service") {
		s := readService(e)
		if _, ok := r.Services[s.Name]; ok {
			e.AddMistake("Name", "service %q is listed twice", s.Name)
		}
		r.Services[s.Name] = s
		e.RejectUnknownKeys()
	}
	for _, e := range t.Tables("Target") {
		target := readTarget(e)
		if _, ok := r.Targets[target.Name]; ok {
			e.AddMistake("Name", "target %q is listed twice", target.Name)
		}
		r.Targets[target.Name] = target
		e.RejectUnknownKeys()
	}
	for _, e := range t.Tables("Withdrawn") {
		w := Withdrawal{Serial: ident.Serial(e.Int("Serial", 1, math.MaxInt64, 0)), Target: readTarget(e)}
		r.Withdrawn[w.Target.Name] = w
		e.RejectUnknownKeys()
	}
	t.RejectUnknownKeys()
	return r
}
