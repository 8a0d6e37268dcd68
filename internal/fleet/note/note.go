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

// MaxNoteSize is the largest text of a note, in bytes.
const MaxNoteSize = 256 << 10

// defaultTimeout applies to a service whose note sets none.
const defaultTimeout = 2 * time.Second

// maxName bounds each name. Target names are part of keys, which are sent in a header.
const maxName = 128

// maxSlots bounds the slots of a target. More than this is taken for a typing error.
const maxSlots = 100_000

// A Note lists what one release adds, changes and withdraws.
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

// A NameEntry names what a note withdraws.
type NameEntry struct {
	Name   string
	source *form.Table
}

// Digest returns the SHA-256 of the text from which the note was read.
func (n *Note) Digest() ident.Digest { return n.digest }

// Parse reads a note. The error is of type form.Errors.
func Parse(text []byte) (*Note, error) {
	n, mistakes := parse(text)
	if len(mistakes) > 0 {
		return nil, mistakes
	}
	return n, nil
}

// Check reads a note and applies it to a release. It returns the release that follows,
// or all mistakes of the text and of its entries.
func Check(r *Release, text []byte) (*Release, form.Errors) {
	n, mistakes := parse(text)
	if n == nil {
		return nil, mistakes
	}
	next, more := Apply(r, n)
	if mistakes = form.Sorted(append(mistakes, more...)); len(mistakes) > 0 {
		return nil, mistakes
	}
	return next, nil
}

// parse returns what could be read of a note beside the mistakes, or no note when the text is not TOML.
func parse(text []byte) (*Note, form.Errors) {
	if len(text) > MaxNoteSize {
		return nil, form.Errors{{Text: "the note is larger than 256 KiB: split it into several notes"}}
	}
	d := form.Parse(text)
	if m := d.Mistakes(); len(m) > 0 {
		return nil, m
	}
	t := d.Root()
	n := &Note{
		Serial:   ident.Serial(t.Number("Serial", 1, math.MaxInt64, 0)),
		Previous: t.Text("Previous"),
		digest:   sha256.Sum256(text),
		source:   t,
	}
	if !t.Has("Serial") {
		t.Mistake("Serial", "is missing")
	}
	n.AddService, n.ChangeService = readServices(t, "AddService"), readServices(t, "ChangeService")
	n.AddTarget, n.ChangeTarget = readTargets(t, "AddTarget"), readTargets(t, "ChangeTarget")
	n.WithdrawService, n.WithdrawTarget = readNames(t, "WithdrawService"), readNames(t, "WithdrawTarget")
	t.Done()
	return n, d.Mistakes()
}

func readServices(t *form.Table, list string) []ServiceEntry {
	var out []ServiceEntry
	for _, e := range t.Tables(list) {
		out = append(out, ServiceEntry{Service: readService(e), source: e})
		e.Done()
	}
	return out
}

func readService(e *form.Table) Service {
	s := Service{
		Name:              ident.Service(readName(e, "Name")),
		Hosts:             e.Texts("Hosts"),
		Rank:              ident.Normal,
		KeyRequired:       e.Flag("KeyRequired"),
		IdempotentMethods: e.Texts("IdempotentMethods"),
		Timeout:           e.Duration("Timeout", defaultTimeout),
	}
	for _, h := range s.Hosts {
		if !hostForm.MatchString(h) {
			e.Mistake("Hosts", "%q is not a host name", h)
		}
	}
	for _, m := range s.IdempotentMethods {
		if !methodForm.MatchString(m) {
			e.Mistake("IdempotentMethods", "%q is not an HTTP method in upper case", m)
		}
	}
	if len(s.IdempotentMethods) == 0 {
		s.IdempotentMethods = []string{"GET", "HEAD", "OPTIONS"}
	}
	if text := e.Text("Rank"); e.Has("Rank") {
		r, err := ident.ParseRank(text)
		if err != nil {
			e.Mistake("Rank", "is %q, want Urgent, Normal or Deferred", text)
		}
		s.Rank = r
	}
	return s
}

func readTargets(t *form.Table, list string) []TargetEntry {
	var out []TargetEntry
	for _, e := range t.Tables(list) {
		out = append(out, TargetEntry{Target: readTarget(e), source: e})
		e.Done()
	}
	return out
}

func readTarget(e *form.Table) Target {
	t := Target{
		Name:       ident.Target(readName(e, "Name")),
		Service:    ident.Service(readName(e, "Service")),
		VM:         ident.VM(readName(e, "VM")),
		DataCentre: ident.DataCentre(readName(e, "DataCentre")),
		Daemon:     unmapped(e.Address("Daemon")),
		Address:    unmapped(e.Address("Address")),
		Slots:      int(e.Number("Slots", 1, maxSlots, 0)),
	}
	if e.Has("Region") {
		t.Region = ident.Region(readName(e, "Region"))
	} else {
		e.Text("Region")
	}
	if !e.Has("Slots") {
		e.Mistake("Slots", "is missing")
	}
	return t
}

// unmapped returns an IPv4 address that was written in its IPv6 form as IPv4,
// so that two ways to write one address do not count as two addresses.
func unmapped(p netip.AddrPort) netip.AddrPort {
	if !p.IsValid() {
		return p
	}
	return netip.AddrPortFrom(p.Addr().Unmap(), p.Port())
}

func readNames(t *form.Table, list string) []NameEntry {
	var out []NameEntry
	for _, e := range t.Tables(list) {
		out = append(out, NameEntry{Name: readName(e, "Name"), source: e})
		e.Done()
	}
	return out
}

var (
	nameForm   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	hostForm   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9.:_-]{0,252}$`)
	methodForm = regexp.MustCompile(`^[A-Z]{1,32}$`)
)

// readName reads a name. Names are sent in headers and keys, so they use letters, digits and "._-" only.
func readName(e *form.Table, key string) string {
	name := e.Text(key)
	switch {
	case !e.Has(key):
		e.Mistake(key, "is missing")
	case len(name) > maxName:
		e.Mistake(key, "has %d bytes, want at most %d", len(name), maxName)
	case !nameForm.MatchString(name):
		e.Mistake(key, "is %q, want letters, digits, dots, dashes and underscores, beginning with a letter or digit", name)
	}
	return strings.Clone(name)
}
