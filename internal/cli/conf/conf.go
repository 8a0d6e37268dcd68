// Package conf reads the settings of the daemon.
package conf

import (
	"net/netip"
	"net/url"
	"os"
	"reflect"
	"regexp"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/form"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/policy/route"
)

// Settings are the checked settings of a daemon.
type Settings struct {
	VM         ident.VM
	DataCentre ident.DataCentre
	Region     ident.Region
	Profile    route.Profile
	Callers    netip.AddrPort
	Peers      netip.AddrPort
	Admin      netip.AddrPort
	// Ready is where the platform asks whether the daemon is ready. It is not valid when the platform does not ask.
	Ready netip.AddrPort
	// Service is the service of the target on the VM, for sources that name the origin of each call.
	Service   ident.Service
	Source    Source
	MaxBody   int
	MaxHeader int
	// MaxBodyMemory bounds the bytes of the bodies of all requests and responses in flight.
	MaxBodyMemory int
	KeyEpoch      time.Duration
}

// A Source is where the daemon learns what is in force: ReleaseNotes or a Store.
type Source interface{ source() }

// ReleaseNotes are notes in a configuration service, with a list of VMs beside it.
type ReleaseNotes struct {
	Config string
	VMList string
	Seeds  []netip.AddrPort
}

// A Store holds the config of the operators and an entry for each target.
type Store struct {
	Address string
	// Regions has the region of each data centre.
	Regions map[ident.DataCentre]ident.Region
	// Bounds are what the platform demands of daemons, in the words of the platform.
	Bounds []string
}

func (ReleaseNotes) source() {}
func (Store) source()        {}

// The limits and their defaults.
const (
	defaultMaxBody = 8 << 20
	lowestMaxBody  = 1 << 10
	highestMaxBody = 256 << 20
	// defaultBodyMemory is half of the 64 MB that a daemon may use.
	defaultBodyMemory = 32 << 20
	highestBodyMemory = 4 << 30
	defaultMaxHeader  = 64 << 10
	lowestMaxHeader   = 1 << 10
	highestMaxHeader  = 1 << 20
	defaultKeyEpoch   = 5 * time.Minute
	lowestKeyEpoch    = time.Second
	highestKeyEpoch   = 24 * time.Hour
	// maxName is the limit of names in release notes.
	maxName = 128
)

var nameForm = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Load reads and checks the settings in a file. Mistakes of the text are of type form.Errors.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "read settings")
	}
	return Parse(text)
}

// Parse reads and checks settings. The error is of type form.Errors.
func Parse(text []byte) (*Settings, error) {
	d := form.Parse(text)
	if m := d.Mistakes(); len(m) > 0 {
		return nil, m
	}
	s := read(d.Root())
	if m := d.Mistakes(); len(m) > 0 {
		return nil, m
	}
	return s, nil
}

func read(t *form.Table) *Settings {
	listen, platform, limits := t.Table("Listen"), t.Table("Platform"), t.Table("Limits")
	s := &Settings{
		VM:            ident.VM(name(t, "VM", true)),
		DataCentre:    ident.DataCentre(name(t, "DataCentre", true)),
		Region:        ident.Region(name(t, "Region", false)),
		Profile:       profile(t),
		Callers:       listen.Address("Callers"),
		Peers:         listen.Address("Peers"),
		Admin:         listen.Address("Admin"),
		Ready:         optional(listen, "Ready"),
		Service:       ident.Service(name(t, "Service", false)),
		Source:        source(platform),
		MaxBody:       int(limits.Number("MaxBody", lowestMaxBody, highestMaxBody, defaultMaxBody)),
		MaxHeader:     int(limits.Number("MaxHeader", lowestMaxHeader, highestMaxHeader, defaultMaxHeader)),
		MaxBodyMemory: int(limits.Number("MaxBodyMemory", lowestMaxBody, highestBodyMemory, defaultBodyMemory)),
		KeyEpoch:      limits.Duration("KeyEpoch", defaultKeyEpoch),
	}
	if s.KeyEpoch < lowestKeyEpoch || s.KeyEpoch > highestKeyEpoch {
		limits.Mistake("KeyEpoch", "is %s, want %s to %s", s.KeyEpoch, lowestKeyEpoch, highestKeyEpoch)
	}
	if s.MaxBodyMemory < s.MaxBody {
		limits.Mistake("MaxBodyMemory", "is %d, want at least MaxBody, %d", s.MaxBodyMemory, s.MaxBody)
	}
	checkListen(listen, s)
	for _, table := range []*form.Table{t, listen, platform, limits} {
		table.Done()
	}
	return s
}

// Differences names the settings that differ.
func Differences(a, b *Settings) []string {
	x, y := reflect.ValueOf(*a), reflect.ValueOf(*b)
	var names []string
	for i := range x.NumField() {
		if !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			names = append(names, x.Type().Field(i).Name)
		}
	}
	return names
}

// source reads where the daemon learns what is in force. The keys of both sources exclude each other.
func source(t *form.Table) Source {
	notes := ReleaseNotes{VMList: address(t, "VMList", false), Seeds: seeds(t)}
	store := Store{Address: address(t, "Store", false), Bounds: t.Texts("Bounds"), Regions: regions(t.Table("Regions"))}
	if !t.Has("Store") {
		notes.Config = address(t, "Config", true)
		for _, key := range []string{"Bounds", "Regions"} {
			if t.Has(key) {
				t.Mistake(key, "needs Store")
			}
		}
		return notes
	}
	for _, key := range []string{"Config", "VMList"} {
		if t.Has(key) {
			t.Mistake(key, "cannot be used with Store")
		}
	}
	return store
}

func regions(t *form.Table) map[ident.DataCentre]ident.Region {
	out := map[ident.DataCentre]ident.Region{}
	for _, key := range t.Keys() {
		out[ident.DataCentre(key)] = ident.Region(t.Text(key))
	}
	return out
}

// optional returns an address that may be missing.
func optional(t *form.Table, key string) netip.AddrPort {
	if !t.Has(key) {
		t.Text(key)
		return netip.AddrPort{}
	}
	return t.Address(key)
}

// checkListen refuses addresses that collide, and an address for peers at which they cannot be sure to reach this daemon.
func checkListen(t *form.Table, s *Settings) {
	if s.Peers.IsValid() && s.Peers.Addr().IsUnspecified() {
		t.Mistake("Peers", "is %s, want the address that the release notes name as Daemon", s.Peers)
	}
	if s.Callers.IsValid() && s.Callers == s.Peers {
		t.Mistake("Peers", "is the same address as Listen.Callers")
	}
	if s.Ready.IsValid() && (s.Ready == s.Callers || s.Ready == s.Peers || s.Ready == s.Admin) {
		t.Mistake("Ready", "is the same address as another of Listen")
	}
	if s.Admin.IsValid() && (s.Admin == s.Callers || s.Admin == s.Peers) {
		t.Mistake("Admin", "is the same address as another of Listen")
	}
}

func name(t *form.Table, key string, required bool) string {
	text := t.Text(key)
	switch {
	case !t.Has(key):
		if required {
			t.Mistake(key, "is missing")
		}
	case len(text) > maxName || !nameForm.MatchString(text):
		t.Mistake(key, "is %q, want at most %d letters, digits, dots, dashes and underscores", text, maxName)
	}
	return text
}

func profile(t *form.Table) route.Profile {
	p := route.Profile(t.Text("Profile"))
	if !t.Has("Profile") {
		return route.Tail
	}
	if p != route.Tail && p != route.Cost {
		t.Mistake("Profile", "is %q, want Tail or Cost", p)
	}
	return p
}

func address(t *form.Table, key string, required bool) string {
	text := t.Text(key)
	if !t.Has(key) {
		if required {
			t.Mistake(key, "is missing")
		}
		return ""
	}
	u, err := url.Parse(text)
	if err == nil {
		_, err = netip.ParseAddrPort(u.Host)
	}
	if err != nil || u.Scheme != "http" || u.Path != "" || u.RawQuery != "" {
		t.Mistake(key, `is %q, want http:// with an IP address and port, such as "http://10.0.0.9:8500"`, text)
	}
	return text
}

func seeds(t *form.Table) []netip.AddrPort {
	var out []netip.AddrPort
	for _, text := range t.Texts("Seeds") {
		p, err := netip.ParseAddrPort(text)
		if err != nil || p.Port() == 0 {
			t.Mistake("Seeds", `%q is not an IP address with a port, such as "10.0.0.9:7000"`, text)
			continue
		}
		out = append(out, p)
	}
	return out
}
