package deploy

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
	"jacinthcross/internal/bench/proc"
	"jacinthcross/internal/bench/proxy"
	"jacinthcross/internal/bench/setup"
	"jacinthcross/internal/bench/target"
	"jacinthcross/internal/cli/conf"
	"jacinthcross/internal/policy/route"
	"jacinthcross/internal/super/tree"
)

// A Member is the VM of one target in a deployment, with the target and the daemon beside it.
type Member struct {
	setup.Placement
	// Source is where the daemon reads releases from.
	Source conf.ConfigServiceSource
	// Settings holds the addresses of the daemon. Its limits are not set: the settings file omits them, so that the
	// daemon uses its defaults.
	Settings *conf.Settings
	// TargetAddress is the listen address of the target.
	TargetAddress netip.AddrPort
	// CallerAddress is the address at which callers reach the daemon: a proxy, or the daemon itself.
	CallerAddress netip.AddrPort
	// PeerAddress is the address at which other daemons reach the daemon: a proxy, or the daemon itself. The release
	// note contains it.
	PeerAddress netip.AddrPort
	// DirectAddresses holds the address at which callers in each data centre reach the target without a daemon.
	DirectAddresses map[ident.DataCentre]netip.AddrPort
	// TargetInbox and DaemonInbox are the mailboxes of the tasks that run the target and the daemon.
	TargetInbox *mail.Box[target.Message]
	DaemonInbox *mail.Box[proc.Message]
	// ProxyInbox is the mailbox of the proxy in front of the daemon's address for peers.
	ProxyInbox *mail.Box[proxy.Message]
}

// SilenceLinks makes the open connections from other daemons to this daemon silent: they stay open, but carry no more
// bytes.
func (m *Member) SilenceLinks() { m.ProxyInbox.TryPut(proxy.SilenceConnections{}) }

func newMember(placement setup.Placement, profile route.Profile, configURL string) (*Member, error) {
	m := &Member{
		Placement: placement, DirectAddresses: map[ident.DataCentre]netip.AddrPort{},
		Source:      conf.ConfigServiceSource{ConfigURL: configURL},
		TargetInbox: target.NewInbox(), DaemonInbox: proc.NewInbox(), ProxyInbox: proxy.NewInbox(),
		Settings: &conf.Settings{
			VM: placement.VM, DataCentre: placement.DataCentre, Profile: profile,
		},
	}
	for _, a := range []*netip.AddrPort{&m.TargetAddress, &m.PeerAddress, &m.Settings.Callers, &m.Settings.Peers, &m.Settings.Admin} {
		var err error
		if *a, err = FreeAddress(); err != nil {
			return nil, err
		}
	}
	m.CallerAddress = m.Settings.Callers
	return m, nil
}

// addTargetEntry returns the entry of a release note that adds the target.
func (m *Member) addTargetEntry() string { return "[[AddTarget]]\n" + m.entryFields(m.Service.Slots) }

// ChangeTargetEntry returns the entry of a release note that changes the target's number of slots.
func (m *Member) ChangeTargetEntry(slots int) string {
	return "[[ChangeTarget]]\n" + m.entryFields(slots)
}

func (m *Member) entryFields(slots int) string {
	return fmt.Sprintf("Name = %q\nService = %q\nVM = %q\nDataCentre = %q\nDaemon = %q\nAddress = %q\nSlots = %d\n",
		m.Target, m.Service.Name, string(m.VM), string(m.DataCentre), m.PeerAddress, m.TargetAddress, slots)
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
	fmt.Fprintf(&b, "[Platform]\nConfig = %q\n", m.Source.ConfigURL)
	if m.Source.VMListURL != "" {
		fmt.Fprintf(&b, "VMList = %q\n", m.Source.VMListURL)
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

// restartDelay is the time from the exit of a target or daemon to its next start.
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

func (c *Cluster) targetChild(i int, m *Member) tree.Child {
	first := true
	v := target.Settings{
		Name: m.Target, Address: m.TargetAddress, Slots: m.Service.Slots,
		ServiceTime: target.LogNormal{Median: m.Service.Median, Sigma: m.Service.Sigma},
		Seed:        c.config.Seed + uint64(i), Noise: c.config.Noise,
		ShedAbove: c.config.ShedAbove, CrashMarker: CrashMarker, Next: m.Service.Next, Daemon: m.Settings.Callers,
	}
	if _, ok := c.config.Daemons.(NoDaemons); !ok {
		// Without daemons the proxies for direct calls apply the delay instead.
		v.OpenDelay = c.config.Layout.OpenDelay
	}
	return tree.Child{Name: m.Target, Start: withRestartDelay(func() (tree.Task, error) {
		// Only a restarted target is cold: an experiment represents a deployment that has been running for a long time.
		if !first {
			v.Cold = c.config.Cold
		}
		first = false
		return target.New(v, m.TargetInbox, c.Tally)
	})}
}

// CrashMarker is the text in a request that makes the target crash when it runs the request.
const CrashMarker = "crash-the-target"

func (c *Cluster) proxyChildren(m *Member) ([]tree.Child, error) {
	peers := tree.Child{Name: "peer-proxy-" + m.Target, Start: func() (tree.Task, error) {
		return proxy.New(m.ProxyInbox, m.PeerAddress, m.Settings.Peers, c.originByProcess(m.PeerAddress), func(from ident.DataCentre) time.Duration {
			if from == m.DataCentre {
				return 0
			}
			return c.config.Layout.OneWay
		}, proxy.WithOpenDelay(c.config.Layout.OpenDelay))
	}}
	children := []tree.Child{peers}
	if _, ok := c.config.Daemons.(NoDaemons); !ok {
		return c.addCallerProxy(m, children)
	}
	for _, dc := range c.config.Layout.DataCentres {
		listen, err := FreeAddress()
		if err != nil {
			return nil, err
		}
		m.DirectAddresses[dc] = listen
		// A direct call has the delay between its caller and data centre dc and, if the target is in another data
		// centre, the delay between the two.
		delay := c.config.Layout.ClientDelay
		if dc != m.DataCentre {
			delay += c.config.Layout.OneWay
		}
		children = append(children, tree.Child{Name: fmt.Sprintf("direct-proxy-%s-%s", m.Target, dc), Start: func() (tree.Task, error) {
			return proxy.New(proxy.NewInbox(), listen, m.TargetAddress, fixedOrigin(dc), func(ident.DataCentre) time.Duration { return delay },
				proxy.WithOpenDelay(c.config.Layout.OpenDelay))
		}})
	}
	return children, nil
}

// addCallerProxy adds the proxy between callers and the daemon if the layout has delays there.
func (c *Cluster) addCallerProxy(m *Member, children []tree.Child) ([]tree.Child, error) {
	l := c.config.Layout
	if l.ClientDelay == 0 && l.OpenDelay == 0 {
		return children, nil
	}
	listen, err := FreeAddress()
	if err != nil {
		return nil, err
	}
	m.CallerAddress = listen
	return append(children, tree.Child{Name: "caller-proxy-" + m.Target, Start: func() (tree.Task, error) {
		return proxy.New(proxy.NewInbox(), listen, m.Settings.Callers, fixedOrigin(""), func(ident.DataCentre) time.Duration { return l.ClientDelay },
			proxy.WithOpenDelay(l.OpenDelay))
	}}), nil
}

func (c *Cluster) daemonChild(m *Member) (tree.Child, bool, error) {
	name := "daemon-" + string(m.VM)
	switch d := c.config.Daemons.(type) {
	case EmbeddedDaemons:
		settings, err := conf.Parse([]byte(m.settingsFile()))
		if err != nil {
			return tree.Child{}, false, errors.Annotate(err, "parse daemon settings")
		}
		return tree.Child{Name: name, Start: withRestartDelay(func() (tree.Task, error) {
			return proc.NewEmbedded(m.DaemonInbox, settings)
		})}, true, nil
	case DaemonProcesses:
		file := filepath.Join(c.dir, name+".toml")
		if err := os.WriteFile(file, []byte(m.settingsFile()), 0o600); err != nil {
			return tree.Child{}, false, errors.Annotate(err, "write settings")
		}
		return tree.Child{Name: name, Start: withRestartDelay(func() (tree.Task, error) {
			return proc.New(m.DaemonInbox, filepath.Join(c.dir, name+".log"), d.Path, "serve", "--config", file)
		})}, true, nil
	case NoDaemons:
	}
	return tree.Child{}, false, nil
}

// originByProcess returns a function that finds the daemon process that opened a connection to address at, and returns
// the data centre of that daemon. The data centre is unknown if the daemons run in this process.
func (c *Cluster) originByProcess(at netip.AddrPort) proxy.OriginFunc {
	return func(from netip.AddrPort) ident.DataCentre {
		if _, ok := c.config.Daemons.(DaemonProcesses); !ok {
			return ""
		}
		dataCentres := map[int]ident.DataCentre{}
		var pids []int
		for _, m := range c.Members {
			if pid, ok := m.PID(); ok {
				dataCentres[pid] = m.DataCentre
				pids = append(pids, pid)
			}
		}
		pid, _ := proc.SocketOwner(from, at, pids)
		return dataCentres[pid]
	}
}

// PID returns the process ID of the daemon, or false if the daemon is not running.
func (m *Member) PID() (int, bool) {
	reply := mail.NewBox[int](1)
	timeout := time.NewTimer(pidTimeout)
	defer timeout.Stop()
	// Many proxies may ask at the same time, so the mailbox can be full briefly.
	for !m.DaemonInbox.TryPut(proc.GetPID{Reply: reply}) {
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
