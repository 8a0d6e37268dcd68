package note

import (
	"crypto/sha256"
	"fmt"
	"jacinthcross/internal/base/ident"
	"net/netip"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"
)

// MaxNoteSize is the largest text of a note, in bytes.
const MaxNoteSize = 256 << 10

// defaultTimeout applies to a service whose note sets none.
const defaultTimeout = 2 * time.Second

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
}

// A ServiceEntry describes a service in a note.
type ServiceEntry struct {
	Name              string
	Hosts             []string
	Rank              string
	KeyRequired       bool
	IdempotentMethods []string
	Timeout           string
}

// A TargetEntry describes a target in a note.
type TargetEntry struct {
	Name       string
	Service    string
	VM         string
	DataCentre string
	Region     string
	Daemon     string
	Address    string
	Slots      int
}

// A NameEntry names what a note withdraws.
type NameEntry struct {
	Name string
}

// Digest returns the SHA-256 of the text from which the note was read.
func (n *Note) Digest() ident.Digest { return n.digest }

// Parse reads a note.
func Parse(text []byte) (*Note, error) {
	if len(text) > MaxNoteSize {
		return nil, errors.NotValidf("note of %d bytes (at most %d)", len(text), MaxNoteSize)
	}
	n := &Note{digest: sha256.Sum256(text)}
	d := toml.NewDecoder(strings.NewReader(string(text))).DisallowUnknownFields()
	if err := d.Decode(n); err != nil {
		return nil, errors.Annotate(err, "read note")
	}
	return n, nil
}

// Apply returns the release that follows r by note n, or all mistakes of the note.
func Apply(r *Release, n *Note) (*Release, []error) {
	a := &applier{release: r.clone(), serial: n.Serial}
	a.checkOrder(r, n)
	for _, e := range n.WithdrawTarget {
		a.withdrawTarget(e)
	}
	for _, e := range n.WithdrawService {
		a.withdrawService(e)
	}
	for _, e := range n.AddService {
		a.putService("AddService", e, false)
	}
	for _, e := range n.ChangeService {
		a.putService("ChangeService", e, true)
	}
	for _, e := range n.AddTarget {
		a.putTarget("AddTarget", e, false)
	}
	for _, e := range n.ChangeTarget {
		a.putTarget("ChangeTarget", e, true)
	}
	a.checkWhole()
	if len(a.mistakes) > 0 {
		return nil, a.mistakes
	}
	a.release.Head = ident.Head{Serial: n.Serial, Digest: n.digest}
	a.forgetWithdrawals()
	return a.release, nil
}

type applier struct {
	release  *Release
	serial   ident.Serial
	mistakes []error
}

func (a *applier) mistake(format string, arguments ...any) {
	a.mistakes = append(a.mistakes, errors.Errorf(format, arguments...))
}

func (a *applier) checkOrder(r *Release, n *Note) {
	if n.Serial != r.Head.Serial+1 {
		a.mistake("Serial is %d, want %d", n.Serial, r.Head.Serial+1)
	}
	want := ""
	if !r.Head.IsZero() {
		want = r.Head.Digest.String()
	}
	if n.Previous != want {
		a.mistake("Previous is %q, want %q", n.Previous, want)
	}
}

func (a *applier) withdrawTarget(e NameEntry) {
	t, ok := a.release.Targets[ident.Target(e.Name)]
	if !ok {
		a.mistake("WithdrawTarget: target %q is not in the release", e.Name)
		return
	}
	delete(a.release.Targets, t.Name)
	a.release.Withdrawn[t.Name] = Withdrawal{Target: t, Serial: a.serial}
}

func (a *applier) withdrawService(e NameEntry) {
	if _, ok := a.release.Services[ident.Service(e.Name)]; !ok {
		a.mistake("WithdrawService: service %q is not in the release", e.Name)
		return
	}
	delete(a.release.Services, ident.Service(e.Name))
}

func (a *applier) putService(list string, e ServiceEntry, change bool) {
	where := fmt.Sprintf("%s %q", list, e.Name)
	s := Service{
		Name:              ident.Service(e.Name),
		Hosts:             e.Hosts,
		Rank:              ident.Normal,
		KeyRequired:       e.KeyRequired,
		IdempotentMethods: e.IdempotentMethods,
		Timeout:           defaultTimeout,
	}
	if e.Name == "" {
		a.mistake("%s: Name is missing", where)
	}
	if _, ok := a.release.Services[s.Name]; ok != change {
		a.mistake("%s: the service is in the release: %t", where, ok)
	}
	if e.Rank != "" {
		r, err := ident.ParseRank(e.Rank)
		if err != nil {
			a.mistake("%s: Rank: %v", where, err)
		}
		s.Rank = r
	}
	if len(s.IdempotentMethods) == 0 {
		s.IdempotentMethods = []string{"GET", "HEAD", "OPTIONS"}
	}
	if e.Timeout != "" {
		d, err := time.ParseDuration(e.Timeout)
		if err != nil || d <= 0 {
			a.mistake("%s: Timeout %q is not a positive duration such as \"2s\"", where, e.Timeout)
		}
		s.Timeout = d
	}
	a.release.Services[s.Name] = s
}

func (a *applier) putTarget(list string, e TargetEntry, change bool) {
	where := fmt.Sprintf("%s %q", list, e.Name)
	t := Target{
		Name:       ident.Target(e.Name),
		Service:    ident.Service(e.Service),
		VM:         ident.VM(e.VM),
		DataCentre: ident.DataCentre(e.DataCentre),
		Region:     ident.Region(e.Region),
		Slots:      e.Slots,
	}
	for _, f := range []struct{ key, value string }{
		{"Name", e.Name}, {"Service", e.Service}, {"VM", e.VM}, {"DataCentre", e.DataCentre},
	} {
		if f.value == "" {
			a.mistake("%s: %s is missing", where, f.key)
		}
	}
	if _, ok := a.release.Targets[t.Name]; ok != change {
		a.mistake("%s: the target is in the release: %t", where, ok)
	}
	if t.Slots < 1 {
		a.mistake("%s: Slots is %d, want at least 1", where, t.Slots)
	}
	t.Daemon = a.address(where, "Daemon", e.Daemon)
	t.Address = a.address(where, "Address", e.Address)
	a.release.Targets[t.Name] = t
	delete(a.release.Withdrawn, t.Name)
}

func (a *applier) address(where, key, text string) netip.AddrPort {
	p, err := netip.ParseAddrPort(text)
	if err != nil {
		a.mistake("%s: %s %q is not an IP address with a port", where, key, text)
	}
	return p
}

// checkWhole checks what no single entry shows: references and uniqueness.
func (a *applier) checkWhole() {
	onVM := map[ident.VM]ident.Target{}
	for _, t := range a.release.Targets {
		if _, ok := a.release.Services[t.Service]; !ok {
			a.mistake("target %q: service %q is not in the release", t.Name, t.Service)
		}
		if other, ok := onVM[t.VM]; ok {
			a.mistake("VM %q has two targets, %q and %q", t.VM, min(other, t.Name), max(other, t.Name))
		}
		onVM[t.VM] = t.Name
	}
	ofHost := map[string]ident.Service{}
	for _, s := range a.release.Services {
		for _, h := range s.Hosts {
			if other, ok := ofHost[h]; ok {
				a.mistake("host %q belongs to two services, %q and %q", h, min(other, s.Name), max(other, s.Name))
			}
			ofHost[h] = s.Name
		}
	}
}

func (a *applier) forgetWithdrawals() {
	for name, w := range a.release.Withdrawn {
		if w.Serial+withdrawalsKept < a.serial {
			delete(a.release.Withdrawn, name)
		}
	}
}
