package stage

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/bench/delay"
	"jacinthcross/internal/bench/proc"
	"jacinthcross/internal/bench/setup"
	"jacinthcross/internal/bench/target"
	"jacinthcross/internal/cli/conf"
	"jacinthcross/internal/policy/route"
	"jacinthcross/internal/super/tree"
)

// A Member is a VM of a deployment: a target and the daemon beside it.
type Member struct {
	setup.Seat
	// Source is where the daemon reads releases from.
	Source conf.ReleaseNotes
	// Settings holds the addresses of the daemon. Its limits are not set: the settings file omits them, so that the
	// daemon uses its defaults.
	Settings *conf.Settings
	// Address is the listen address of the target.
	Address netip.AddrPort
	// Entry is the address at which callers reach the daemon: a relay, or the daemon itself.
	Entry netip.AddrPort
	// Relay is the address at which other daemons reach the daemon. It is the one in the release note.
	Relay netip.AddrPort
	// Direct is the address of the target as seen from each data centre.
	Direct map[ident.DataCentre]netip.AddrPort
	// Target and Daemon are the mailboxes of the tasks that run the target and the daemon.
	Target *mail.Box[target.Message]
	Daemon *mail.Box[proc.Message]
	// Links is the mailbox of the relay in front of the daemon's address for peers.
	Links *mail.Box[delay.Message]
}

// Silence makes the open links to the daemon silent: they stay open, but carry no more bytes.
func (m *Member) Silence() { m.Links.TryPut(delay.Silence{}) }

func newMember(seat setup.Seat, profile route.Profile, configURL string) (*Member, error) {
	m := &Member{
		Seat: seat, Direct: map[ident.DataCentre]netip.AddrPort{},
		Source: conf.ReleaseNotes{Config: configURL},
		Target: target.NewBox(), Daemon: proc.NewBox(), Links: delay.NewBox(),
		Settings: &conf.Settings{
			VM: seat.VM, DataCentre: seat.DataCentre, Profile: profile,
		},
	}
	for _, a := range []*netip.AddrPort{&m.Address, &m.Relay, &m.Settings.Callers, &m.Settings.Peers, &m.Settings.Admin} {
		var err error
		if *a, err = FreeAddress(); err != nil {
			return nil, err
		}
	}
	m.Entry = m.Settings.Callers
	return m, nil
}

// addTargetEntry returns the entry of a release note that adds the target.
func (m *Member) addTargetEntry() string { return "[[AddTarget]]\n" + m.entryFields(m.Service.Slots) }

// Change returns the entry of a release note that changes the target's number of slots.
func (m *Member) Change(slots int) string { return "[[ChangeTarget]]\n" + m.entryFields(slots) }

func (m *Member) entryFields(slots int) string {
	return fmt.Sprintf("Name = %q\nService = %q\nVM = %q\nDataCentre = %q\nDaemon = %q\nAddress = %q\nSlots = %d\n",
		m.Seat.Target, m.Service.Name, string(m.VM), string(m.DataCentre), m.Relay, m.Address, slots)
}

// settingsFile returns the content of the daemon's settings file.
func (m *Member) settingsFile() string {
	var b strings.Builder
	s := m.Settings
	fmt.Fprintf(&b, "VM = %q\nDataCentre = %q\n", string(s.VM), string(s.DataCentre))
	if s.Profile != "" {
		fmt.Fprintf(&b, "Profile = %q\n", string(s.Profile))
	}
	fmt.Fprintf(&b, "[Listen]\nCallers = %q\nPeers = %q\nAdmin = %q\n", s.Callers, s.Peers, s.Admin)
	fmt.Fprintf(&b, "[Platform]\nConfig = %q\n", m.Source.Config)
	if m.Source.VMList != "" {
		fmt.Fprintf(&b, "VMList = %q\n", m.Source.VMList)
	}
	if len(m.Source.Seeds) > 0 {
		seeds := make([]string, len(m.Source.Seeds))
		for i, a := range m.Source.Seeds {
			seeds[i] = fmt.Sprintf("%q", a)
		}
		fmt.Fprintf(&b, "Seeds = [%s]\n", strings.Join(seeds, ", "))
	}
	return b.String()
}

// restartDelay is the time from the crash of a target or daemon to its next start.
const restartDelay = 300 * time.Millisecond

// withRestartDelay wraps a constructor so that every start except the first is delayed by restartDelay.
func withRestartDelay(start func() (tree.Task, error)) func() (tree.Task, error) {
	first := true
	return func() (tree.Task, error) {
		if !first {
			time.Sleep(restartDelay)
		}
		first = false
		return start()
	}
}

func (s *Stage) targetChild(i int, m *Member) tree.Child {
	first := true
	v := target.Settings{
		Name: m.Seat.Target, Address: m.Address, Slots: m.Service.Slots,
		Times: target.LogNormal{Median: m.Service.Median, Sigma: m.Service.Sigma},
		Seed:  s.config.Seed + uint64(i), Noise: s.config.Noise,
		ShedAbove: s.config.ShedAbove, CrashMarker: CrashMarker, Next: m.Service.Next, Daemon: m.Settings.Callers,
	}
	if _, ok := s.config.Daemons.(None); !ok {
		// Without daemons the relays for direct calls apply the delay instead.
		v.Opening = s.config.Layout.OpenDelay
	}
	return tree.Child{Name: m.Seat.Target, Start: withRestartDelay(func() (tree.Task, error) {
		// Only a restarted target is cold: an experiment represents a deployment that has been running for a long time.
		if !first {
			v.Cold = s.config.Cold
		}
		first = false
		return target.New(v, m.Target, s.Tally)
	})}
}

// CrashMarker is the text in a request that makes the target crash when it runs the request.
const CrashMarker = "crash-the-target"

func (s *Stage) relayChildren(m *Member) ([]tree.Child, error) {
	peers := tree.Child{Name: "relay-" + m.Seat.Target, Start: func() (tree.Task, error) {
		return delay.New(m.Links, m.Relay, m.Settings.Peers, s.originByProcess(m.Relay), func(from ident.DataCentre) time.Duration {
			if from == m.DataCentre {
				return 0
			}
			return s.config.Layout.OneWay
		}, delay.WithOpening(s.config.Layout.OpenDelay))
	}}
	children := []tree.Child{peers}
	if _, ok := s.config.Daemons.(None); !ok {
		return s.addEntryRelay(m, children)
	}
	for _, dc := range s.config.Layout.DataCentres {
		at, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		m.Direct[dc] = at
		// A direct call has the delay from its caller to the data centre that it enters, and if the target is in
		// another one, the delay between the two data centres as well.
		oneWay := s.config.Layout.ClientDelay
		if dc != m.DataCentre {
			oneWay += s.config.Layout.OneWay
		}
		children = append(children, tree.Child{Name: fmt.Sprintf("direct-%s-%s", m.Seat.Target, dc), Start: func() (tree.Task, error) {
			return delay.New(delay.NewBox(), at, m.Address, fixedOrigin(dc), func(ident.DataCentre) time.Duration { return oneWay },
				delay.WithOpening(s.config.Layout.OpenDelay))
		}})
	}
	return children, nil
}

// addEntryRelay adds the relay between callers and the daemon if the layout has delays there.
func (s *Stage) addEntryRelay(m *Member, children []tree.Child) ([]tree.Child, error) {
	l := s.config.Layout
	if l.ClientDelay == 0 && l.OpenDelay == 0 {
		return children, nil
	}
	at, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	m.Entry = at
	return append(children, tree.Child{Name: "entry-" + m.Seat.Target, Start: func() (tree.Task, error) {
		return delay.New(delay.NewBox(), at, m.Settings.Callers, fixedOrigin(""), func(ident.DataCentre) time.Duration { return l.ClientDelay },
			delay.WithOpening(l.OpenDelay))
	}}), nil
}

func (s *Stage) daemonChild(m *Member) (tree.Child, bool, error) {
	name := "daemon-" + string(m.VM)
	switch d := s.config.Daemons.(type) {
	case Embedded:
		settings, err := conf.Parse([]byte(m.settingsFile()))
		if err != nil {
			return tree.Child{}, false, errors.Annotate(err, "parse daemon settings")
		}
		return tree.Child{Name: name, Start: withRestartDelay(func() (tree.Task, error) {
			return proc.NewEmbedded(m.Daemon, settings)
		})}, true, nil
	case Processes:
		file := filepath.Join(s.dir, name+".toml")
		if err := os.WriteFile(file, []byte(m.settingsFile()), 0o600); err != nil {
			return tree.Child{}, false, errors.Annotate(err, "write settings")
		}
		return tree.Child{Name: name, Start: withRestartDelay(func() (tree.Task, error) {
			return proc.New(m.Daemon, filepath.Join(s.dir, name+".log"), d.Path, "serve", "--config", file)
		})}, true, nil
	case None:
	}
	return tree.Child{}, false, nil
}

// originByProcess returns a function that finds the data centre of a connection to an address by the daemon process
// that opened the connection. It is unknown for daemons that run in this process.
func (s *Stage) originByProcess(at netip.AddrPort) delay.Origin {
	return func(from netip.AddrPort) ident.DataCentre {
		if _, ok := s.config.Daemons.(Processes); !ok {
			return ""
		}
		pids := map[int]ident.DataCentre{}
		var list []int
		for _, m := range s.Members {
			if pid, ok := m.PID(); ok {
				pids[pid] = m.DataCentre
				list = append(list, pid)
			}
		}
		pid, _ := proc.SocketOwner(from, at, list)
		return pids[pid]
	}
}

// PID returns the process ID of the daemon, or false if the daemon is not running.
func (m *Member) PID() (int, bool) {
	reply := mail.NewBox[int](1)
	timeout := time.NewTimer(pidTimeout)
	defer timeout.Stop()
	// Many relays may ask at the same time, so the mailbox can be full briefly.
	for !m.Daemon.TryPut(proc.AskPID{Reply: reply}) {
		select {
		case <-time.After(time.Millisecond):
		case <-timeout.C:
			return 0, false
		}
	}
	select {
	case pid := <-reply.C():
		return pid, true
	case <-timeout.C:
		return 0, false
	}
}

const pidTimeout = 100 * time.Millisecond
