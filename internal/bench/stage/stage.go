// Package stage starts a deployment on loopback: platform, targets, relays and daemons.
package stage

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
	"jacinthcross/internal/bench/config"
	"jacinthcross/internal/bench/setup"
	"jacinthcross/internal/bench/tally"
	"jacinthcross/internal/bench/target"
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/task/admin"
)

// A DaemonMode is one of None, Embedded and Processes.
type DaemonMode interface{ mode() }

// None runs no daemons: the load tool calls the targets directly.
type None struct{}

// Embedded runs the daemons in this process.
type Embedded struct{}

// Processes runs each daemon as a process of the program at Path.
type Processes struct{ Path string }

func (None) mode()      {}
func (Embedded) mode()  {}
func (Processes) mode() {}

// A Config describes a Stage.
type Config struct {
	Layout    setup.Layout
	Seed      uint64
	Daemons   DaemonMode
	Noise     target.Noise
	Cold      target.Cold
	ShedAbove int
	// NoTargets lists targets in the release that do not run.
	NoTargets bool
	// NoRelays connects the daemons without a relay.
	NoRelays bool
	// PlatformRelays puts a relay between the daemons of each data centre and the platform.
	PlatformRelays bool
}

// A Stage is a deployment that runs.
type Stage struct {
	Members  []*Member
	Platform *config.Task
	Tally    *tally.Task

	config   Config
	dir      string
	serial   ident.Serial
	daemons  []*branch
	platform *branch
	paths    map[ident.DataCentre]path
	client   *http.Client
}

// A branch is a supervisor that runs until it is stopped.
type branch struct {
	cancel context.CancelFunc
	done   chan struct{}
}

func newBranch(name string, children []tree.Child) *branch {
	ctx, cancel := context.WithCancel(context.Background())
	b := &branch{cancel: cancel, done: make(chan struct{})}
	supervisor := tree.NewSupervisor(name, children)
	go func() {
		defer close(b.done)
		_ = supervisor.Serve(ctx)
	}()
	return b
}

func (b *branch) stop() {
	if b != nil {
		b.cancel()
		<-b.done
	}
}

// Start starts a deployment with its first release in force.
func Start(c Config) (*Stage, error) {
	s := &Stage{config: c, client: &http.Client{Timeout: 2 * time.Second}}
	if err := s.start(); err != nil {
		s.Close()
		return nil, err
	}
	return s, nil
}

func (s *Stage) start() error {
	var err error
	if s.dir, err = os.MkdirTemp("", "jcbench"); err != nil {
		return errors.Annotate(err, "create folder for settings and logs")
	}
	s.Tally = tally.New()
	if s.Platform, err = config.New(netip.AddrPortFrom(host(), 0)); err != nil {
		return err
	}
	var platform, daemons []tree.Child
	if s.config.PlatformRelays {
		if platform, err = s.platformPaths(); err != nil {
			return err
		}
	}
	for _, seat := range s.config.Layout.Seats() {
		url := s.Platform.URL()
		if p, ok := s.paths[seat.DataCentre]; ok {
			url = p.url()
		}
		m, err := newMember(seat, s.config.Layout.Profile, url)
		if err != nil {
			return err
		}
		s.Members = append(s.Members, m)
	}
	s.seed()
	for i, m := range s.Members {
		if !s.config.NoTargets {
			platform = append(platform, s.targetChild(i, m))
		}
		if s.config.NoRelays {
			m.Relay = m.Settings.Peers
		} else {
			relays, err := s.relayChildren(m)
			if err != nil {
				return err
			}
			platform = append(platform, relays...)
		}
		d, ok, err := s.daemonChild(m)
		if err != nil {
			return err
		}
		if ok {
			daemons = append(daemons, d)
		}
	}
	s.platform = newBranch("platform", platform)
	s.daemons = []*branch{newBranch("daemons", daemons)}
	s.Publish(s.firstNote())
	if err := s.waitForTargets(); err != nil || len(daemons) == 0 {
		return err
	}
	return s.WaitInForce(s.serial, startTimeout)
}

// seeds is the number of peers in the settings of each daemon.
const seeds = 3

// seed gives each daemon the addresses of the daemons that follow it in the list.
func (s *Stage) seed() {
	n := len(s.Members)
	for i, m := range s.Members {
		m.Source.VMList = m.Source.Config
		for j := 1; j <= min(seeds, n-1); j++ {
			peer := s.Members[(i+j)%n]
			if s.config.NoRelays {
				m.Source.Seeds = append(m.Source.Seeds, peer.Settings.Peers)
			} else {
				// A link past the relays would carry releases across a cut.
				m.Source.Seeds = append(m.Source.Seeds, peer.Relay)
			}
		}
	}
}

// startTimeout allows for the start of 200 processes on a busy machine.
const startTimeout = 60 * time.Second

// Publish publishes a release note and the list of VMs, and returns its serial.
func (s *Stage) Publish(body string) ident.Serial {
	s.Platform.Send(config.Put{Key: config.VMList, Text: s.vmList()})
	s.Platform.Publish(body)
	s.serial++
	return s.serial
}

func (s *Stage) vmList() string {
	var b strings.Builder
	for _, m := range s.Members {
		fmt.Fprintf(&b, "[[VM]]\nName = %q\nDataCentre = %q\nDaemon = %q\nState = \"Live\"\n", string(m.VM), string(m.DataCentre), m.Relay)
	}
	return b.String()
}

func (s *Stage) firstNote() string {
	var b strings.Builder
	for _, v := range s.config.Layout.Services {
		fmt.Fprintf(&b, "[[AddService]]\nName = %q\nRank = %q\nKeyRequired = %t\n", v.Name, string(v.Rank), v.Keyed)
	}
	for _, m := range s.Members {
		b.WriteString(m.entry())
	}
	return b.String()
}

func (s *Stage) waitForTargets() error {
	if s.config.NoTargets {
		return nil
	}
	until := time.Now().Add(startTimeout)
	for _, m := range s.Members {
		for {
			c, err := net.DialTimeout("tcp", m.Address.String(), time.Second)
			if err == nil {
				c.Close()
				break
			}
			if time.Now().After(until) {
				return errors.Annotatef(err, "target %s did not start", m.Seat.Target)
			}
			time.Sleep(pollGap)
		}
	}
	return nil
}

const pollGap = 10 * time.Millisecond

// WaitInForce waits until a release is in force at all daemons that were started.
func (s *Stage) WaitInForce(serial ident.Serial, timeout time.Duration) error {
	until := time.Now().Add(timeout)
	for _, m := range s.Members {
		for {
			status, err := s.Status(m)
			if err == nil && status.Release.Serial >= serial {
				break
			}
			if time.Now().After(until) {
				held := "no status"
				if err == nil {
					held = fmt.Sprintf("%+v of %+v", status.Service, status.Release)
				}
				return errors.Errorf("daemon %s at %s: release %d not in force after %v (%s, %v)%s",
					m.VM, m.Settings.Admin, serial, timeout, held, err, s.lastLog(m))
			}
			time.Sleep(pollGap)
		}
	}
	return nil
}

// lastLog returns the end of the log of a daemon process.
func (s *Stage) lastLog(m *Member) string {
	text, err := os.ReadFile(filepath.Join(s.dir, "daemon-"+string(m.VM)+".log"))
	if err != nil || len(text) == 0 {
		return ""
	}
	return "; the end of its log:\n" + string(text[max(0, len(text)-1000):])
}

// Status asks a daemon for its status.
func (s *Stage) Status(m *Member) (*admin.Status, error) {
	r, err := s.client.Get("http://" + m.Settings.Admin.String() + "/status")
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

// MemberOf returns the member with a target.
func (s *Stage) MemberOf(target string) (*Member, bool) {
	for _, m := range s.Members {
		if m.Seat.Target == target {
			return m, true
		}
	}
	return nil, false
}

// Close stops everything, daemons first, and removes the settings and logs.
func (s *Stage) Close() {
	for _, b := range s.daemons {
		b.stop()
	}
	s.platform.stop()
	if s.Platform != nil {
		s.Platform.Stop()
	}
	if s.Tally != nil {
		s.Tally.Stop()
	}
	s.client.CloseIdleConnections()
	if s.dir != "" {
		_ = os.RemoveAll(s.dir)
	}
}

// BuildDaemon builds the daemon into a folder and returns its path.
func BuildDaemon(dir string) (string, error) {
	path := filepath.Join(dir, "jacinthcross")
	out, err := exec.Command("go", "build", "-o", path, "jacinthcross").CombinedOutput()
	if err != nil {
		return "", errors.Annotatef(err, "build the daemon (run jcbench in the repository or give --daemon PATH): %s", out)
	}
	return path, nil
}
