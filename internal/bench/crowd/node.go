package crowd

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/bench/proc"
	"jacinthcross/internal/cli/conf"
	"jacinthcross/platform/fake"
)

const (
	// sampleInterval is the time between two reads of the resources of a daemon.
	sampleInterval = 10 * time.Millisecond
	// requestTimeout limits one request to a daemon, and retryDelay is the time between two of them.
	requestTimeout = 2 * time.Second
	retryDelay     = 20 * time.Millisecond
)

// A Node is a daemon that runs as a process of its own. Its target and its store run in this process.
type Node struct {
	site    *fake.Site
	vm      *fake.VM
	process *proc.Task
	inbox   *mail.Box[proc.Message]
	pid     int
	log     string
}

// A Usage is the most that a daemon has used.
type Usage struct {
	Bytes       int64
	Descriptors int
}

// StartNode starts a daemon with the given text in the table Limits of its settings, and waits until it serves requests.
func StartNode(program, dir, limits string) (*Node, error) {
	site, err := fake.NewSite()
	if err != nil {
		return nil, err
	}
	n := &Node{site: site, vm: site.AddVM("catalogue", "d0", 18, time.Millisecond), inbox: proc.NewInbox(), log: filepath.Join(dir, "daemon.log")}
	if err := n.start(program, dir, limits); err != nil {
		n.Stop()
		return nil, err
	}
	return n, nil
}

func (n *Node) start(program, dir, limits string) error {
	if err := n.vm.Target.Start(n.site.Store); err != nil {
		return err
	}
	n.site.PublishConfig([]string{"catalogue"}, fake.Route{
		Name: "read", Host: "shop.example", Prefix: "/read/", Timeout: time.Second, TargetLatency: 500 * time.Millisecond, Priority: 1, Attempts: 2,
		Weights: map[string]int{"catalogue": 1},
	}, fake.Route{
		Name: "upload", Host: "shop.example", Prefix: "/upload/", Timeout: 10 * time.Second, TargetLatency: 5 * time.Second, Priority: 1, Attempts: 1,
		Weights: map[string]int{"catalogue": 1},
	})
	s := n.vm.Settings
	store, ok := s.Source.(conf.StoreSource)
	if !ok {
		return errors.NotValidf("daemon settings without a store")
	}
	text := fmt.Sprintf("VM = %q\nDataCentre = %q\nRegion = \"r\"\nService = %q\n[Listen]\nCallers = %q\nPeers = %q\nAdmin = %q\nReady = %q\n[Platform]\nStore = %q\n[Limits]\n%s\n",
		s.VM, s.DataCentre, s.Service, s.Callers, s.Peers, s.Admin, s.Ready, store.URL, limits)
	file := filepath.Join(dir, "daemon.toml")
	if err := os.WriteFile(file, []byte(text), 0o600); err != nil {
		return errors.Annotate(err, "write settings")
	}
	var err error
	if n.process, err = proc.New(n.inbox, n.log, program, "serve", "--config", file); err != nil {
		return err
	}
	pid := mail.NewBox[int](1)
	n.inbox.Put(proc.GetPID{Reply: pid}, n.process.Done())
	select {
	case n.pid = <-pid.C():
	case <-n.process.Done():
		return n.process.Err()
	}
	return n.AwaitService(requestTimeout * 5)
}

// Stop kills the process and ends the target and the store.
func (n *Node) Stop() {
	if n.process != nil {
		n.inbox.Put(proc.KillWithoutRestart{}, n.process.Done())
		<-n.process.Done()
	}
	n.site.Close()
}

// Alive reports whether the process runs.
func (n *Node) Alive() bool {
	select {
	case <-n.process.Done():
		return false
	default:
		return true
	}
}

// Log returns the log of the process.
func (n *Node) Log() string {
	text, err := os.ReadFile(n.log)
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// Callers returns the address for callers.
func (n *Node) Callers() netip.AddrPort { return n.vm.Settings.Callers }

// Peers returns the address for peers.
func (n *Node) Peers() netip.AddrPort { return n.vm.Settings.Peers }

// Ready returns the address for readiness checks.
func (n *Node) Ready() netip.AddrPort { return n.vm.Settings.Ready }

// Admin returns the address for operators.
func (n *Node) Admin() netip.AddrPort { return n.vm.Settings.Admin }

// SetStoreFault begins or ends a fault of the store.
func (n *Node) SetStoreFault(f fake.Fault) { n.site.Store.SetFault(f) }

// AwaitService waits until the daemon has answered an ordinary request of a caller, a readiness check and a request of
// an operator, each on a new connection. The error says what was not answered within patience.
func (n *Node) AwaitService(patience time.Duration) error {
	end := time.Now().Add(patience)
	for _, request := range []struct {
		name string
		send func() bool
	}{
		{"caller", func() bool {
			q := fake.Request{Method: http.MethodGet, Host: "shop.example", Path: "/read/ordinary", Timeout: requestTimeout}
			ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
			defer cancel()
			return fake.SendOnce(ctx, n.Callers(), q, requestTimeout).IsSuccess()
		}},
		{"readiness check", func() bool { return get200(n.vm.ReadyURL()) }},
		{"operator", func() bool { return get200("http://" + n.Admin().String() + "/status") }},
	} {
		for !request.send() {
			if !n.Alive() {
				return errors.Errorf("the process has ended: %v", n.process.State())
			}
			if time.Now().After(end) {
				return errors.Timeoutf("the request of a %s", request.name)
			}
			time.Sleep(retryDelay)
		}
	}
	return nil
}

func get200(url string) bool {
	client := http.Client{Timeout: requestTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	r, err := client.Get(url)
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// Watch samples the resources of the process until the result is called, which returns the most that was in use.
func (n *Node) Watch() (stop func() Usage) {
	var most Usage
	var sampling sync.WaitGroup
	ended := make(chan struct{})
	sampling.Go(func() {
		for {
			if u, err := proc.ReadUsage(n.pid); err == nil {
				most.Bytes = max(most.Bytes, u.ResidentBytes)
			}
			if open, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", n.pid)); err == nil {
				most.Descriptors = max(most.Descriptors, len(open))
			}
			select {
			case <-time.After(sampleInterval):
			case <-ended:
				return
			}
		}
	})
	return func() Usage {
		close(ended)
		sampling.Wait()
		return most
	}
}

// Events returns how often the log has an event.
func (n *Node) Events(name string) int { return strings.Count(n.Log(), " "+name+"\"") }
