// Package conf reads the settings of the daemon.
package conf

import (
	"bytes"
	"jacinthcross/internal/base/ident"
	"net/netip"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/pelletier/go-toml/v2"
)

// Settings are the checked settings of a daemon.
type Settings struct {
	VM         ident.VM
	DataCentre ident.DataCentre
	Callers    netip.AddrPort
	Peers      netip.AddrPort
	Admin      netip.AddrPort
	Config     string
	VMList     string
	Seeds      []netip.AddrPort
	MaxBody    int
	MaxHeader  int
	KeyEpoch   time.Duration
}

// file is the form of the settings file.
type file struct {
	VM         string
	DataCentre string
	Listen     struct {
		Callers string
		Peers   string
		Admin   string
	}
	Platform struct {
		Config string
		VMList string
		Seeds  []string
	}
	Limits struct {
		MaxBody   int
		MaxHeader int
		KeyEpoch  string
	}
}

// Load reads and checks the settings in a file.
func Load(path string) (*Settings, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, errors.Annotate(err, "read settings")
	}
	s, err := Parse(text)
	return s, errors.Annotatef(err, "%s", path)
}

// Parse reads and checks settings.
func Parse(text []byte) (*Settings, error) {
	f := file{}
	f.Limits.MaxBody = 8 << 20
	f.Limits.MaxHeader = 64 << 10
	f.Limits.KeyEpoch = "5m"
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	if err := d.Decode(&f); err != nil {
		return nil, errors.Annotate(err, "read settings")
	}
	return f.check()
}

func (f *file) check() (*Settings, error) {
	s := &Settings{
		VM:         ident.VM(f.VM),
		DataCentre: ident.DataCentre(f.DataCentre),
		Config:     f.Platform.Config,
		VMList:     f.Platform.VMList,
		MaxBody:    f.Limits.MaxBody,
		MaxHeader:  f.Limits.MaxHeader,
	}
	if s.VM == "" || s.DataCentre == "" {
		return nil, errors.NotValidf("settings without VM or DataCentre")
	}
	for _, a := range []struct {
		key  string
		text string
		to   *netip.AddrPort
	}{
		{"Listen.Callers", f.Listen.Callers, &s.Callers},
		{"Listen.Peers", f.Listen.Peers, &s.Peers},
		{"Listen.Admin", f.Listen.Admin, &s.Admin},
	} {
		p, err := netip.ParseAddrPort(a.text)
		if err != nil {
			return nil, errors.NotValidf("%s %q", a.key, a.text)
		}
		*a.to = p
	}
	for _, text := range f.Platform.Seeds {
		p, err := netip.ParseAddrPort(text)
		if err != nil {
			return nil, errors.NotValidf("Platform.Seeds %q", text)
		}
		s.Seeds = append(s.Seeds, p)
	}
	var err error
	if s.KeyEpoch, err = time.ParseDuration(f.Limits.KeyEpoch); err != nil || s.KeyEpoch <= 0 {
		return nil, errors.NotValidf("Limits.KeyEpoch %q", f.Limits.KeyEpoch)
	}
	return s, nil
}
