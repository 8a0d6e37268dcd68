// Package conf loads and validates the settings of the daemon.
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
	"jacinthcross/internal/policy/shed"
)

// Settings are the validated settings of a daemon.
type Settings struct {
	VM         ident.VM
	DataCentre ident.DataCentre
	Region     ident.Region
	Profile    route.Profile
	// Callers, Peers and Admin are the addresses on which the daemon listens for callers, other daemons and operators.
	Callers netip.AddrPort
	Peers   netip.AddrPort
	Admin   netip.AddrPort
	// Ready is the address for the platform's readiness checks. It is the zero AddrPort if there are none.
	Ready netip.AddrPort
	// Service is the service of the target on the VM. The daemon sends it as the origin of calls, on platforms that
	// have a field for it.
	Service ident.Service
	// Target is the address of the target on the VM. It is the zero AddrPort if only the release tells it.
	Target netip.AddrPort
	Source Source
	// Shedding says which calls bear a shortage of retries, on a platform that limits them.
	Shedding shed.Mode
	// MaxBody limits the size of a request or response body, and MaxHeader the size of a message header, in bytes.
	MaxBody   int
	MaxHeader int
	// MaxBodyMemory limits the total size in bytes of the bodies of all requests and responses in flight.
	MaxBodyMemory int
	// MaxConnections limits the open connections of callers. 0 means the part of the descriptors that is meant for them.
	MaxConnections int
	// MinBytesPerSecond is the rate below which the request of a caller may be given up when memory or connections are
	// short.
	MinBytesPerSecond int
	// MaxDescriptors limits the descriptors of the process. 0 means the limit of the system.
	MaxDescriptors int
	// MemoryMB is the memory of the VM in MB. 0 means unknown.
	MemoryMB int
	// KeyEpoch is the length of an ident.Epoch. A key is valid for two to three epochs.
	KeyEpoch time.Duration
}

// A Source is the source of the configuration in force: a ConfigServiceSource or a StoreSource.
type Source interface{ source() }

// A ConfigServiceSource is a configuration service that publishes release notes, which are numbered changes of the
// configuration, and a service that publishes the VM list.
type ConfigServiceSource struct {
	// ConfigURL and VMListURL are the base URLs of the two services. VMListURL may be empty.
	ConfigURL string
	VMListURL string
	// Seeds are the addresses of peers that the daemon contacts while its release names no other daemons.
	Seeds []netip.AddrPort
}

// A StoreSource is a key-value store with the operators' config and an entry for each target.
type StoreSource struct {
	// URL is the base URL of the store.
	URL string
	// Regions maps data centres to their regions.
	Regions map[ident.DataCentre]ident.Region
	// Bounds are the limits that the platform sets for daemons. Each has the form name=value, with a name that the
	// platform defines.
	Bounds []string
}

func (ConfigServiceSource) source() {}
func (StoreSource) source()         {}

// Defaults and ranges of the limits.
const (
	defaultMaxBody = 8 << 20
	minMaxBody     = 1 << 10
	maxMaxBody     = 256 << 20
	// defaultMaxBodyMemory is half of the 64 MB that a daemon may use.
	defaultMaxBodyMemory = 32 << 20
	maxMaxBodyMemory     = 4 << 30
	minMaxConnections    = 16
	maxMaxConnections    = 1 << 20
	minMaxDescriptors    = 128
	maxMaxDescriptors    = 1 << 20
	// defaultMinBytesPerSecond lets a header of 16 KiB take 16 s.
	defaultMinBytesPerSecond = 1 << 10
	maxMinBytesPerSecond     = 1 << 20
	minMemoryMB              = 64
	maxMemoryMB              = 1 << 20
	defaultMaxHeader         = 64 << 10
	minMaxHeader             = 1 << 10
	maxMaxHeader             = 1 << 20
	defaultKeyEpoch          = 5 * time.Minute
	minKeyEpoch              = time.Second
	maxKeyEpoch              = 24 * time.Hour
	// maxNameLength limits names in settings. Release notes have the same limit.
	maxNameLength = 128
)

var namePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)

// Load reads, parses and validates a settings file. Mistakes in its text are returned as form.DocumentErrors.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "read settings")
	}
	return Parse(text)
}

// Parse parses and validates settings. Errors are of type form.DocumentErrors.
func Parse(text []byte) (*Settings, error) {
	d := form.Parse(text)
	if m := d.Mistakes(); len(m) > 0 {
		return nil, m
	}
	s := readSettings(d.Root())
	if m := d.Mistakes(); len(m) > 0 {
		return nil, m
	}
	return s, nil
}

func readSettings(t *form.Table) *Settings {
	listen, platform, limits := t.Table("Listen"), t.Table("Platform"), t.Table("Limits")
	s := &Settings{
		VM:                ident.VM(readName(t, "VM", true)),
		DataCentre:        ident.DataCentre(readName(t, "DataCentre", true)),
		Region:            ident.Region(readName(t, "Region", false)),
		Profile:           readProfile(t),
		Callers:           listen.RequiredAddress("Callers"),
		Peers:             listen.RequiredAddress("Peers"),
		Admin:             listen.RequiredAddress("Admin"),
		Ready:             optionalAddress(listen, "Ready"),
		Service:           ident.Service(readName(t, "Service", false)),
		Target:            optionalAddress(t, "Target"),
		Source:            readSource(platform),
		Shedding:          readShedding(t),
		MaxBody:           int(limits.Int("MaxBody", minMaxBody, maxMaxBody, defaultMaxBody)),
		MaxHeader:         int(limits.Int("MaxHeader", minMaxHeader, maxMaxHeader, defaultMaxHeader)),
		MaxBodyMemory:     int(limits.Int("MaxBodyMemory", minMaxBody, maxMaxBodyMemory, defaultMaxBodyMemory)),
		MaxConnections:    int(limits.Int("MaxConnections", minMaxConnections, maxMaxConnections, 0)),
		MinBytesPerSecond: int(limits.Int("MinBytesPerSecond", 1, maxMinBytesPerSecond, defaultMinBytesPerSecond)),
		MaxDescriptors:    int(limits.IntText("MaxDescriptors", minMaxDescriptors, maxMaxDescriptors, 0)),
		MemoryMB:          int(limits.IntText("MemoryMB", minMemoryMB, maxMemoryMB, 0)),
		KeyEpoch:          limits.Duration("KeyEpoch", defaultKeyEpoch),
	}
	if s.KeyEpoch < minKeyEpoch || s.KeyEpoch > maxKeyEpoch {
		limits.AddMistake("KeyEpoch", "is %s, want %s to %s", s.KeyEpoch, minKeyEpoch, maxKeyEpoch)
	}
	if s.MaxBodyMemory < s.MaxBody {
		limits.AddMistake("MaxBodyMemory", "is %d, want at least MaxBody, %d", s.MaxBodyMemory, s.MaxBody)
	}
	checkListen(listen, s)
	for _, table := range []*form.Table{t, listen, platform, limits} {
		table.RejectUnknownKeys()
	}
	return s
}

// ChangedSettings returns the names of the settings that differ.
func ChangedSettings(a, b *Settings) []string {
	x, y := reflect.ValueOf(*a), reflect.ValueOf(*b)
	var names []string
	for i := range x.NumField() {
		if !reflect.DeepEqual(x.Field(i).Interface(), y.Field(i).Interface()) {
			names = append(names, x.Type().Field(i).Name)
		}
	}
	return names
}

// readSource reads the source of the configuration. Config and VMList cannot be used with Store, nor Bounds and Regions
// without it. With Store, Seeds is checked but not used.
func readSource(t *form.Table) Source {
	configService := ConfigServiceSource{VMListURL: readURL(t, "VMList", false), Seeds: readSeeds(t)}
	store := StoreSource{URL: readURL(t, "Store", false), Bounds: t.Strings("Bounds"), Regions: readRegions(t.Table("Regions"))}
	if !t.Has("Store") {
		configService.ConfigURL = readURL(t, "Config", true)
		for _, key := range []string{"Bounds", "Regions"} {
			if t.Has(key) {
				t.AddMistake(key, "needs Store")
			}
		}
		return configService
	}
	for _, key := range []string{"Config", "VMList"} {
		if t.Has(key) {
			t.AddMistake(key, "cannot be used with Store")
		}
	}
	return store
}

func readRegions(t *form.Table) map[ident.DataCentre]ident.Region {
	out := map[ident.DataCentre]ident.Region{}
	for _, key := range t.Keys() {
		out[ident.DataCentre(key)] = ident.Region(t.String(key))
	}
	return out
}

// optionalAddress reads an address that may be missing.
func optionalAddress(t *form.Table, key string) netip.AddrPort {
	if !t.Has(key) {
		// Read the key, so that RejectUnknownKeys counts it as known.
		t.String(key)
		return netip.AddrPort{}
	}
	return t.RequiredAddress(key)
}

// checkListen rejects addresses that collide. It also rejects an unspecified address for Peers, such as 0.0.0.0, since
// peers could not connect to it.
func checkListen(t *form.Table, s *Settings) {
	if s.Peers.IsValid() && s.Peers.Addr().IsUnspecified() {
		t.AddMistake("Peers", "is %s, want an IP address of this VM, at which peers connect", s.Peers)
	}
	if s.Callers.IsValid() && s.Callers == s.Peers {
		t.AddMistake("Peers", "is the same address as Listen.Callers")
	}
	if s.Ready.IsValid() && (s.Ready == s.Callers || s.Ready == s.Peers || s.Ready == s.Admin) {
		t.AddMistake("Ready", "is the same address as another of Listen")
	}
	if s.Admin.IsValid() && (s.Admin == s.Callers || s.Admin == s.Peers) {
		t.AddMistake("Admin", "is the same address as another of Listen")
	}
}

func readName(t *form.Table, key string, required bool) string {
	text := t.String(key)
	switch {
	case !t.Has(key):
		if required {
			t.AddMistake(key, "is missing")
		}
	case len(text) > maxNameLength || !namePattern.MatchString(text):
		t.AddMistake(key, "is %q, want at most %d letters, digits, dots, dashes and underscores", text, maxNameLength)
	}
	return text
}

func readProfile(t *form.Table) route.Profile {
	p := route.Profile(t.String("Profile"))
	if !t.Has("Profile") {
		return route.ProfileTail
	}
	if p != route.ProfileTail && p != route.ProfileCost {
		t.AddMistake("Profile", "is %q, want Tail or Cost", p)
	}
	return p
}

func readShedding(t *form.Table) shed.Mode {
	m := shed.Mode(t.String("Shedding"))
	if !t.Has("Shedding") {
		return shed.Equal
	}
	if m != shed.Equal && m != shed.ByCost {
		t.AddMistake("Shedding", "is %q, want Equal or ByCost", m)
	}
	return m
}

func readURL(t *form.Table, key string, required bool) string {
	text := t.String(key)
	if !t.Has(key) {
		if required {
			t.AddMistake(key, "is missing")
		}
		return ""
	}
	u, err := url.Parse(text)
	if err == nil {
		_, err = netip.ParseAddrPort(u.Host)
	}
	if err != nil || u.Scheme != "http" || u.Path != "" || u.RawQuery != "" {
		t.AddMistake(key, `is %q, want http:// with an IP address and port, such as "http://10.0.0.9:8500"`, text)
	}
	return text
}

func readSeeds(t *form.Table) []netip.AddrPort {
	var out []netip.AddrPort
	for _, text := range t.Strings("Seeds") {
		p, err := netip.ParseAddrPort(text)
		if err != nil || p.Port() == 0 {
			t.AddMistake("Seeds", `%q is not an IP address with a port, such as "10.0.0.9:7000"`, text)
			continue
		}
		out = append(out, p)
	}
	return out
}
