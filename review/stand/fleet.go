package main

import (
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"text/template"
	"time"

	"jacinthcross/internal/cli/conf"
	"jacinthcross/platform/fake"
)

// slotsPerServer is the number of slots of a server, as in Clachan.
const slotsPerServer = 6

// shopHost is the host of all routes.
const shopHost = "shop.example"

// readyTimeout limits the start of all daemons.
const readyTimeout = 40 * time.Second

// A fleet is a small deployment on loopback addresses: a store, servers and daemon processes.
type fleet struct {
	record *record
	site   *fake.Site
	dir    string
	nodes  []*node
	once   sync.Once
}

// A node is a machine with a server and the daemon beside it.
type node struct {
	name    string
	vm      *fake.VM
	server  *server
	process *exec.Cmd
	exited  chan struct{}
}

func newFleet(r *record) (*fleet, error) {
	site, err := fake.NewSite()
	if err != nil {
		return nil, err
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &fleet{record: r, site: site, dir: dir}, nil
}

// add adds a machine with a server of a service, and starts the server.
func (f *fleet) add(service, zone string, behave behaviour) (*node, error) {
	vm := f.site.AddVM(service, zone, slotsPerServer, 0)
	n := &node{name: fmt.Sprintf("m%d", len(f.nodes)), vm: vm}
	n.server = &server{
		id: fmt.Sprintf("i-%d", len(f.nodes)), service: service, zone: zone, slots: slotsPerServer, address: vm.Target.Address,
		behave: behave, store: f.site.Store, record: f.record,
	}
	f.nodes = append(f.nodes, n)
	return n, n.server.start()
}

var settings = template.Must(template.New("settings").Parse(`VM = "{{.VM}}"
DataCentre = "{{.DataCentre}}"
Region = "{{.Region}}"
Service = "{{.Service}}"

[Listen]
Callers = "{{.Callers}}"
Peers = "{{.Peers}}"
Ready = "{{.Ready}}"
Admin = "{{.Admin}}"

[Platform]
Store = "{{.Store}}"
Bounds = ["Drain=2000ms", "Grace=6s", "ConfigApply=2000ms", "RetryBudgetRatio=0.2", "BudgetWindow=10s", "RetryBudgetSlack=62"]

[Platform.Regions]
"d0" = "r"
"d1" = "r"
"d2" = "r"
`))

// start starts the daemon of a machine with the command of the deploy file.
func (f *fleet) start(n *node) error {
	var text bytes.Buffer
	err := settings.Execute(&text, struct {
		*conf.Settings
		Store string
	}{n.vm.Settings, n.vm.Settings.Source.(conf.StoreSource).URL})
	if err != nil {
		return err
	}
	name := filepath.Join(f.dir, n.name+".toml")
	if err := os.WriteFile(name, text.Bytes(), 0o600); err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(f.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command("target/jacinthcross", "serve")
	c.Env = []string{"JACINTHCROSS_SETTINGS=" + name, "PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG")}
	c.Stdout, c.Stderr = log, log
	// The process ends with the case, also if the case is killed.
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	n.process, n.exited = c, make(chan struct{})
	go func() {
		defer close(n.exited)
		defer log.Close()
		_ = c.Wait()
		f.record.add("daemon %s: process ended (%s)", n.name, c.ProcessState)
	}()
	return nil
}

// startAll starts all daemons and waits until they are ready.
func (f *fleet) startAll() error {
	for _, n := range f.nodes {
		if err := f.start(n); err != nil {
			return err
		}
	}
	for deadline := time.Now().Add(readyTimeout); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range f.nodes {
			if n.ready() {
				ready++
			}
		}
		if ready == len(f.nodes) {
			f.record.add("all %d daemons are ready", ready)
			return nil
		}
		if time.Now().After(deadline) {
			return errors.New("the daemons did not become ready")
		}
	}
}

var readyClient = &http.Client{Timeout: 900 * time.Millisecond}

// ready asks the readiness page of a daemon as the platform does.
func (n *node) ready() bool {
	r, err := readyClient.Get(n.vm.ReadyURL())
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (n *node) signal(s syscall.Signal) error { return n.process.Process.Signal(s) }

// close ends all processes and stand-ins.
func (f *fleet) close() {
	f.once.Do(func() {
		for _, n := range f.nodes {
			if n.process != nil {
				_ = n.process.Process.Kill()
				<-n.exited
			}
		}
		for _, n := range f.nodes {
			n.server.stop()
		}
		f.site.Close()
		_ = os.RemoveAll(f.dir)
	})
}
