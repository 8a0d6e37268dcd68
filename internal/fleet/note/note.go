package note

import (
	"crypto/sha256"
	"math"
	"net/netip"
	"regexp"
	"strings"
	"time"

	"jacinthcross/internal/base/form"
	"jacinthcross/internal/base/ident"
)

// MaxNoteSize is the maximum size of the text of a note, in bytes.
const MaxNoteSize = 256 << 10

// defaultTimeout is the timeout of a service whose note does not set one.
const defaultTimeout = 2 * time.Second

// maxNameBytes is the maximum length of a name. Target names are part of idempotency keys, which are sent in a header.
const maxNameBytes = 128

// maxSlots is the maximum number of slots of a target. A higher number is considered a typing error.
const maxSlots = 100_000

// A Note is a numbered set of changes to a release, in TOML: the services and targets to add, change and withdraw.
// Operators call it a release note.
type Note struct {
	Serial          ident.Serial
	Previous        string
	AddService      []ServiceEntry
	ChangeService   []ServiceEntry
	WithdrawService []NameEntry
	AddTarget       []TargetEntry
	ChangeTarget    []TargetEntry
	WithdrawTarget  []NameEntry

	digest ident.Digest
	// source is the root table of the text. Errors in the keys of the note itself get their line numbers from it. Errors
	// in an entry get them from the source of the entry.
	source *form.Table
}

// A ServiceEntry describes a service in a note.
type ServiceEntry struct {
	Service
	source *form.Table
}

// A TargetEntry describes a target in a note.
type TargetEntry struct {
	Target
	source *form.Table
}

// A NameEntry names a service or target that a note withdraws.
type NameEntry struct {
	Name   string
	source *form.Table
}

// Digest returns the SHA-256 of the text from which the note was parsed.
func (n *Note) Digest() ident.Digest { return n.digest }

// Parse parses a note. The error is of type form.DocumentErrors.
func Parse(text []byte) (*Note, error) {
	n, errs := parse(text)
	if len(errs) > 0 {
		return nil, errs
	}
	return n, nil
}

// ParseAndApply parses a note and applies it to a release. It returns the resulting release,
// or all errors of the text and of its entries.
func ParseAndApply(r *Release, text []byte) (*Release, form.DocumentErrors) {
	n, errs := parse(text)
	if n == nil {
		return nil, errs
	}
	next, more := Apply(r, n)
	if errs = form.Sorted(append(errs, more...)); len(errs) > 0 {
		return nil, errs
	}
	return next, nil
}

// parse returns the entries that it could read and the errors in the rest. The note is nil if the text is too large or
// not valid TOML.
func parse(text []byte) (*Note, form.DocumentErrors) {
	if len(text) > MaxNoteSize {
		return nil, form.DocumentErrors{{Text: "the note is larger than 256 KiB: split it into several notes"}}
	}
	d := form.Parse(text)
	if m := d.Mistakes(); len(m) > 0 {
		return nil, m
	}
	t := d.Root()
	n := &Note{
		Serial:   ident.Serial(t.Int("Serial", 1, math.MaxInt64, 0)),
		Previous: t.String("Previous"),
		digest:   sha256.Sum256(text),
		source:   t,
	}
	if !t.Has("Serial") {
		t.AddMistake("Serial", "is missing")
	}
	n.AddService, n.ChangeService = readServiceEntries(t, "AddService"), readServiceEntries(t, "ChangeService")
	n.AddTarget, n.ChangeTarget = readTargetEntries(t, "AddTarget"), readTargetEntries(t, "ChangeTarget")
	n.WithdrawService, n.WithdrawTarget = readNameEntries(t, "WithdrawService"), readNameEntries(t, "WithdrawTarget")
	t.RejectUnknownKeys()
	return n, d.Mistakes()
}

func readServiceEntries(t *form.Table, list string) []ServiceEntry {
	var out []ServiceEntry
	for _, e := range t.Tables(list) {
		out = append(out, ServiceEntry{Service: readService(e), source: e})
		e.RejectUnknownKeys()
	}
	return out
}

func readService(e *form.Table) Service {
	s := Service{
		Name:              ident.Service(readName(e, "Name")),
		Hosts:             e.Strings("Hosts"),
		Rank:              ident.Normal,
		KeyRequired:       e.Bool("KeyRequired"),
		IdempotentMethods: e.Strings("IdempotentMethods"),
		Timeout:           e.Duration("Timeout", defaultTimeout),
	}
	for _, h := range s.Hosts {
		if !hostPattern.MatchString(h) {
			e.AddMistake("Hosts", "%q is not a host name", h)
		}
	}
	for _, m := range s.IdempotentMethods {
		if !methodPattern.MatchString(m) {
			e.AddMistake("IdempotentMethods", "%q is not an HTTP method in upper case", m)
		}
	}
	if len(s.IdempotentMethods) == 0 {
		s.IdempotentMethods = []string{"GET", "HEAD", "OPTIONS"}
	}
	if text := e.String("Rank"); e.Has("Rank") {
		r, err := ident.ParseRank(text)
		if err != nil {
			e.AddMistake("Rank", "is %q, want Urgent, Normal or Deferred", text)
		}
		s.Rank = r
	}
	return s
}

func readTargetEntries(t *form.Table, list string) []TargetEntry {
	var out []TargetEntry
	for _, e := range t.Tables(list) {
		out = append(out, TargetEntry{Target: readTarget(e), source: e})
		e.RejectUnknownKeys()
	}
	return out
}

func readTarget(e *form.Table) Target {
	t := Target{
		Name:       ident.Target(readName(e, "Name")),
		Service:    ident.Service(readName(e, "Service")),
		VM:         ident.VM(readName(e, "VM")),
		DataCentre: ident.DataCentre(readName(e, "DataCentre")),
		Daemon:     unmapped(e.RequiredAddress("Daemon")),
		Address:    unmapped(e.RequiredAddress("Address")),
		Slots:      int(e.Int("Slots", 1, maxSlots, 0)),
	}
	if e.Has("Region") {
		t.Region = ident.Region(readName(e, "Region"))
	} else {
		// Region is absent, so the result is not used. Reading the key makes RejectUnknownKeys list it as a known key.
		e.String("Region")
	}
	if !e.Has("Slots") {
		e.AddMistake("Slots", "is missing")
	}
	return t
}

// unmapped converts an IPv4-mapped IPv6 address to IPv4, so that both notations
// count as the same address.
func unmapped(p netip.AddrPort) netip.AddrPort {
	if !p.IsValid() {
		return p
	}
	return netip.AddrPortFrom(p.Addr().Unmap(), p.Port())
}

func readNameEntries(t *form.Table, list string) []NameEntry {
	var out []NameEntry
	for _, e := range t.Tables(list) {
		out = append(out, NameEntry{Name: readName(e, "Name"), source: e})
		e.RejectUnknownKeys()
	}
	return out
}

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	hostPattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9.:_-]{0,252}$`)
	methodPattern = regexp.MustCompile(`^[A-Z]{1,32}$`)
)

// readName reads a name. Names are sent in headers and in idempotency keys, so they may contain only letters, digits
// and "._-".
func readName(e *form.Table, key string) string {
	name := e.String(key)
	switch {
	case !e.Has(key):
		e.AddMistake(key, "is missing")
	case len(name) > maxNameBytes:
		e.AddMistake(key, "has %d bytes, want at most %d", len(name), maxNameBytes)
	case !namePattern.MatchString(name):
		e.AddMistake(key, "is %q, want letters, digits, dots, dashes and underscores, beginning with a letter or digit", name)
	}
	return strings.Clone(name)
}
