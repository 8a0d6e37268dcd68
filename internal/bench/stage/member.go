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

// A Member is a target with the daemon beside it.
type Member struct {
	setup.Seat
	// Source is where the daemon reads the release.
	Source conf.ReleaseNotes
	// Settings names the addresses of the daemon. It has no limits: the settings file leaves them to their defaults.
	Settings *conf.Settings
	// Address is where the target listens.
	Address netip.AddrPort
	// Entry is where callers reach the daemon.
	Entry netip.AddrPort
	// Relay is the address of the daemon in the release note.
	Relay netip.AddrPort
	// Direct is the address of the target as seen from each data centre.
	Direct map[ident.DataCentre]netip.AddrPort
	Target *mail.Box[target.Message]
	Daemon *mail.Box[proc.Message]
	// Links is the mailbox of the relay of the daemon's links.
	Links *mail.Box[delay.Message]
}

// Silence makes the open links to the daemon silent.
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

// entry returns the entry that adds the member in a release note.
func (m *Member) entry() string { return "[[AddTarget]]\n" + m.fields(m.Service.Slots) }

// Change returns the entry that changes the number of slots in a release note.
func (m *Member) Change(slots int) string { return "[[ChangeTarget]]\n" + m.fields(slots) }

func (m *Member) fields(slots int) string {
	return fmt.Sprintf("Name = %q\nService = %q\nVM = %q\nDataCentre = %q\nDaemon = %q\nAddress = %q\nSlots = %d\n",
		m.Seat.Target, m.Service.Name, string(m.VM), string(m.DataCentre), m.Relay, m.Address, slots)
}

// settingsFile returns the settings of the daemon as a file.
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

// restartDelay is how long a crashed target or daemon is away.
const restartDelay = 300 * time.Millisecond

// restarts wraps a constructor so that all starts but the first come after a delay.
func restarts(start func() (tree.Task, error)) func() (tree.Task, error) {
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
		// Without daemons the relay of a direct call opens its connection slowly.
		v.Opening = s.config.Layout.OpenDelay
	}
	return tree.Child{Name: m.Seat.Target, Start: restarts(func() (tree.Task, error) {
		// Only a target that restarts is cold: the deployment has run for long when an experiment begins.
		if !first {
			v.Cold = s.config.Cold
		}
		first = false
		return target.New(v, m.Target, s.Tally)
	})}
}

// CrashMarker is the text in a request that crashes the target that runs it.
const CrashMarker = "crash-the-target"

func (s *Stage) relayChildren(m *Member) ([]tree.Child, error) {
	peers := tree.Child{Name: "relay-" + m.Seat.Target, Start: func() (tree.Task, error) {
		return delay.New(m.Links, m.Relay, m.Settings.Peers, s.originAt(m.Relay), func(from ident.DataCentre) time.Duration {
			if from == m.DataCentre {
				return 0
			}
			return s.config.Layout.OneWay
		}, delay.WithOpening(s.config.Layout.OpenDelay))
	}}
	children := []tree.Child{peers}
	if _, ok := s.config.Daemons.(None); !ok {
		return s.entryChild(m, children)
	}
	for _, dc := range s.config.Layout.DataCentres {
		at, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		m.Direct[dc] = at
		// A direct call passes from its caller to the data centre that it enters, and from there to the target.
		oneWay := s.config.Layout.ClientDelay
		if dc != m.DataCentre {
			oneWay += s.config.Layout.OneWay
		}
		children = append(children, tree.Child{Name: fmt.Sprintf("direct-%s-%s", m.Seat.Target, dc), Start: func() (tree.Task, error) {
			return delay.New(delay.NewBox(), at, m.Address, from(dc), func(ident.DataCentre) time.Duration { return oneWay },
				delay.WithOpening(s.config.Layout.OpenDelay))
		}})
	}
	return children, nil
}

// entryChild adds the relay between callers and the daemon when the scenario has delays there.
func (s *Stage) entryChild(m *Member, children []tree.Child) ([]tree.Child, error) {
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
		return delay.New(delay.NewBox(), at, m.Settings.Callers, from(""), func(ident.DataCentre) time.Duration { return l.ClientDelay },
			delay.WithOpening(l.OpenDelay))
	}}), nil
}

func (s *Stage) daemonChild(m *Member) (tree.Child, bool, error) {
	name := "daemon-" + string(m.VM)
	switch d := s.config.Daemons.(type) {
	case Embedded:
		settings, err := conf.Parse([]byte(m.settingsFile()))
		if err != nil {
			return tree.Child{}, false, errors.Annotate(err, "settings of a daemon")
		}
		return tree.Child{Name: name, Start: restarts(func() (tree.Task, error) {
			return proc.NewEmbedded(m.Daemon, settings)
		})}, true, nil
	case Processes:
		file := filepath.Join(s.dir, name+".toml")
		if err := os.WriteFile(file, []byte(m.settingsFile()), 0o600); err != nil {
			return tree.Child{}, false, errors.Annotate(err, "write settings")
		}
		return tree.Child{Name: name, Start: restarts(func() (tree.Task, error) {
			return proc.New(m.Daemon, filepath.Join(s.dir, name+".log"), d.Path, "serve", "--config", file)
		})}, true, nil
	case None:
	}
	return tree.Child{}, false, nil
}

// originAt returns the origin of connections to an address, by the daemon process that opened them.
// For daemons in this process it is not known.
func (s *Stage) originAt(at netip.AddrPort) delay.Origin {
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

// PID returns the process id of the daemon, or false when it does not run.
func (m *Member) PID() (int, bool) {
	reply := mail.NewBox[int](1)
	timeout := time.NewTimer(askTimeout)
	defer timeout.Stop()
	// Many relays may ask at the same time, so the mailbox can be full for a moment.
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

const askTimeout = 100 * time.Millisecond
