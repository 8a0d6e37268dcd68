// Package deploy runs a deployment on loopback addresses: the configuration service, targets, daemons, and the proxies
// that simulate the network between them.
package deploy

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/bench/cfgsvc"
	"jacinthcross/internal/bench/setup"
	"jacinthcross/internal/bench/tally"
	"jacinthcross/internal/bench/target"
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/task/admin"
)

// A DaemonMode says how the daemons run: NoDaemons, EmbeddedDaemons or DaemonProcesses.
type DaemonMode interface{ mode() }

// NoDaemons runs no daemons. jcbench calls the targets directly.
type NoDaemons struct{}

// EmbeddedDaemons runs the daemons in this process.
type EmbeddedDaemons struct{}

// DaemonProcesses runs each daemon as a separate process of the program at Path.
type DaemonProcesses struct{ Path string }

func (NoDaemons) mode()       {}
func (EmbeddedDaemons) mode() {}
func (DaemonProcesses) mode() {}

// A Config configures a Cluster.
type Config struct {
	Layout    setup.Layout
	Seed      uint64
	Daemons   DaemonMode
	Noise     target.Noise
	Cold      target.ColdStart
	ShedAbove int
	// With NoTargets, the release contains the targets, but they are not started.
	NoTargets bool
	// NoProxies connects the daemons to each other directly.
	NoProxies bool
	// ConfigProxies puts a proxy between the daemons of each data centre and the configuration service.
	ConfigProxies bool
}

// A Cluster is a running deployment.
type Cluster struct {
	Members       []*Member
	ConfigService *cfgsvc.Task
	Tally         *tally.Task

	config Config
	dir    string
	serial ident.Serial
	// environmentTree supervises the targets and proxies, daemonTrees the daemons.
	daemonTrees     []*subtree
	environmentTree *subtree
	configProxies   map[ident.DataCentre]configProxy
	client          *http.Client
}

// A subtree is a supervisor that runs until it is stopped.
type subtree struct {
	cancel context.CancelFunc
	done   chan struct{}
}

func newSubtree(name string, children []tree.Child) *subtree {
	ctx, cancel := context.WithCancel(context.Background())
	t := &subtree{cancel: cancel, done: make(chan struct{})}
	supervisor := tree.NewSupervisor(name, children)
	go func() {
		defer close(t.done)
		_ = supervisor.Serve(ctx)
	}()
	return t
}

func (t *subtree) stop() {
	if t != nil {
		t.cancel()
		<-t.done
	}
}

// Start starts a deployment and waits until its first release is in force.
func Start(config Config) (*Cluster, error) {
	c := &Cluster{config: config, client: &http.Client{Timeout: 2 * time.Second}}
	if err := c.start(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) start() error {
	var err error
	if c.dir, err = os.MkdirTemp("", "jcbench"); err != nil {
		return errors.Annotate(err, "create directory for settings and logs")
	}
	c.Tally = tally.New()
	if c.ConfigService, err = cfgsvc.New(netip.AddrPortFrom(processHost(), 0)); err != nil {
		return err
	}
	var environment, daemons []tree.Child
	if c.config.ConfigProxies {
		if environment, err = c.newConfigProxies(); err != nil {
			return err
		}
	}
	for _, placement := range c.config.Layout.Placements() {
		url := c.ConfigService.URL()
		if p, ok := c.configProxies[placement.DataCentre]; ok {
			url = p.url()
		}
		m, err := newMember(placement, c.config.Layout.Profile, url)
		if err != nil {
			return err
		}
		c.Members = append(c.Members, m)
	}
	c.assignSeeds()
	for i, m := range c.Members {
		if !c.config.NoTargets {
			environment = append(environment, c.targetChild(i, m))
		}
		if c.config.NoProxies {
			m.PeerAddress = m.Settings.Peers
		} else {
			proxies, err := c.proxyChildren(m)
			if err != nil {
				return err
			}
			environment = append(environment, proxies...)
		}
		d, ok, err := c.daemonChild(m)
		if err != nil {
			return err
		}
		if ok {
			daemons = append(daemons, d)
		}
	}
	c.environmentTree = newSubtree("environment", environment)
	c.daemonTrees = []*subtree{newSubtree("daemons", daemons)}
	c.Publish(c.initialNote())
	if err := c.waitForTargets(); err != nil || len(daemons) == 0 {
		return err
	}
	return c.WaitInForce(c.serial, startTimeout)
}

// seedsPerDaemon is the number of seed peers in the settings of each daemon.
const seedsPerDaemon = 3

// assignSeeds gives each daemon the addresses of the next daemons in the list of members as seeds, and the address of
// the VM list, which contains the other peers.
func (c *Cluster) assignSeeds() {
	n := len(c.Members)
	for i, m := range c.Members {
		m.Source.VMListURL = m.Source.ConfigURL
		for j := 1; j <= min(seedsPerDaemon, n-1); j++ {
			peer := c.Members[(i+j)%n]
			if c.config.NoProxies {
				m.Source.Seeds = append(m.Source.Seeds, peer.Settings.Peers)
			} else {
				// A connection between daemons that bypasses the proxies would carry releases across a network partition.
				m.Source.Seeds = append(m.Source.Seeds, peer.PeerAddress)
			}
		}
	}
}

// startTimeout is long enough to start hundreds of processes on a busy machine.
const startTimeout = 60 * time.Second

// Publish publishes the VM list and a release note, and returns the serial of the note.
func (c *Cluster) Publish(body string) ident.Serial {
	c.ConfigService.Send(cfgsvc.Put{Key: cfgsvc.VMList, Text: c.vmList()})
	c.ConfigService.Publish(body)
	c.serial++
	return c.serial
}

func (c *Cluster) vmList() string {
	var b strings.Builder
	for _, m := range c.Members {
		fmt.Fprintf(&b, "[[VM]]\nName = %q\nDataCentre = %q\nDaemon = %q\nState = \"Live\"\n", string(m.VM), string(m.DataCentre), m.PeerAddress)
	}
	return b.String()
}

func (c *Cluster) initialNote() string {
	var b strings.Builder
	for _, v := range c.config.Layout.Services {
		fmt.Fprintf(&b, "[[AddService]]\nName = %q\nRank = %q\nKeyRequired = %t\n", v.Name, string(v.Rank), v.Keyed)
	}
	for _, m := range c.Members {
		b.WriteString(m.addTargetEntry())
	}
	return b.String()
}

func (c *Cluster) waitForTargets() error {
	if c.config.NoTargets {
		return nil
	}
	deadline := time.Now().Add(startTimeout)
	for _, m := range c.Members {
		for {
			c, err := net.DialTimeout("tcp", m.TargetAddress.String(), time.Second)
			if err == nil {
				c.Close()
				break
			}
			if time.Now().After(deadline) {
				return errors.Annotatef(err, "target %s did not start", m.Target)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

const pollInterval = 10 * time.Millisecond

// WaitInForce waits until the daemons of all members have the release with this serial, or a newer one, in force.
func (c *Cluster) WaitInForce(serial ident.Serial, timeout time.Duration) error {
	deadline := time.Now().Add(timeout)
	for _, m := range c.Members {
		for {
			status, err := c.Status(m)
			if err == nil && status.Release.Serial >= serial {
				break
			}
			if time.Now().After(deadline) {
				current := "no status"
				if err == nil {
					current = fmt.Sprintf("service %+v, release %+v", status.Service, status.Release)
				}
				return errors.Errorf("daemon %s at %s: release %d not in force after %v (daemon state: %s; error of the last status request: %v)%s",
					m.VM, m.Settings.Admin, serial, timeout, current, err, c.logTail(m))
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}

// logTail returns the end of the log of a daemon process.
func (c *Cluster) logTail(m *Member) string {
	text, err := os.ReadFile(filepath.Join(c.dir, "daemon-"+string(m.VM)+".log"))
	if err != nil || len(text) == 0 {
		return ""
	}
	return "; end of its log:\n" + string(text[max(0, len(text)-1000):])
}

// Status requests the status of a daemon.
func (c *Cluster) Status(m *Member) (*admin.Status, error) {
	r, err := c.client.Get("http://" + m.Settings.Admin.String() + "/status")
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer r.Body.Close()
	if r.StatusCode != http.StatusOK {
		return nil, errors.Errorf("status of %s: %s", m.VM, r.Status)
	}
	v := &admin.Status{}
	if err := json.NewDecoder(io.LimitReader(r.Body, 1<<20)).Decode(v); err != nil {
		return nil, errors.Annotatef(err, "status of %s", m.VM)
	}
	return v, nil
}

// MemberByTarget returns the member that has the named target.
func (c *Cluster) MemberByTarget(target string) (*Member, bool) {
	for _, m := range c.Members {
		if m.Target == target {
			return m, true
		}
	}
	return nil, false
}

// Close stops the daemons, then everything else, and removes the settings and logs.
func (c *Cluster) Close() {
	for _, t := range c.daemonTrees {
		t.stop()
	}
	c.environmentTree.stop()
	if c.ConfigService != nil {
		c.ConfigService.Stop()
	}
	if c.Tally != nil {
		c.Tally.Stop()
	}
	c.client.CloseIdleConnections()
	if c.dir != "" {
		_ = os.RemoveAll(c.dir)
	}
}

// BuildDaemon builds the daemon into a directory and returns its path.
func BuildDaemon(dir string) (string, error) {
	path := filepath.Join(dir, "jacinthcross")
	out, err := exec.Command("go", "build", "-o", path, "jacinthcross").CombinedOutput()
	if err != nil {
		return "", errors.Annotatef(err, "build the daemon (run jcbench in the repository or give --daemon PATH): %s", out)
	}
	return path, nil
}
