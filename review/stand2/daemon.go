package main

import (
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A machine has a daemon and the upstream beside it.
type machine struct {
	ip, zone  string
	ports     ports
	service   string
	storeAddr string
	bounds    []string
	memoryMB  int
	maxFds    int
	// peersPort is the port on which the daemon listens for others. It differs from ports.peers if a proxy stands between.
	peersPort int
	upstream  *upstream
	// link is the proxy in front of peersPort, if there is one.
	link      *proxy
	directory string
	record    *record
	process   *exec.Cmd
	exited    chan struct{}
}

// processes are the processes that the case has started.
type processes struct {
	mutex sync.Mutex
	all   []*os.Process
}

var children processes

func (p *processes) add(c *os.Process) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.all = append(p.all, c)
}

// killAll ends the processes that still run.
func (p *processes) killAll() {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	for _, c := range p.all {
		// Those that have ended return an error.
		_ = c.Kill()
	}
}

// ports are the ports of a day, which are the same on all machines.
type ports struct{ app, outbound, ready, admin, peers, behindProxy int }

func (m *machine) address(port int) string { return m.ip + ":" + strconv.Itoa(port) }

var (
	boundsSection = regexp.MustCompile(`(?s)\{\{#Bounds\}\}.*?\{\{/Bounds\}\}`)
	zonesSection  = regexp.MustCompile(`(?s)\{\{#Zones\}\}\n?.*?\{\{/Zones\}\}`)
	coldSection   = regexp.MustCompile(`(?s)\{\{#Bounds\.ColdOverage\}\}(.*?)\{\{/Bounds\.ColdOverage\}\}`)
)

// settings fills in the template of the settings as the platform does.
func (m *machine) settings(template string, zones []string) string {
	cold, quoted, regions := "", []string{}, ""
	for _, b := range m.bounds {
		quoted = append(quoted, strconv.Quote(b))
		if strings.HasPrefix(b, "ColdOverage=") {
			cold = "$1"
		}
	}
	for _, z := range zones {
		regions += fmt.Sprintf("%q = \"region\"\n", z)
	}
	text := coldSection.ReplaceAllString(template, cold)
	text = boundsSection.ReplaceAllString(text, strings.Join(quoted, ","))
	text = zonesSection.ReplaceAllString(text, regions)
	return strings.NewReplacer(
		"{{Ip}}:{{InternalPorts.0}}", m.address(m.peersPort), "{{Ip}}:9464", m.address(m.ports.admin), "{{Ip}}", m.ip,
		"{{Zone}}", m.zone, "{{Region}}", "region", "{{Service}}", m.service, "{{AppAddr}}", m.address(m.ports.app),
		"{{Listen.Outbound}}", m.address(m.ports.outbound), "{{Listen.Readiness}}", m.address(m.ports.ready),
		"{{Platform.Address}}", m.storeAddr, "{{Limits.MaxFds}}", strconv.Itoa(m.maxFds), "{{Limits.MemoryMb}}", strconv.Itoa(m.memoryMB),
	).Replace(text)
}

// start starts the daemon with the command of the deploy file.
func (m *machine) start(zones []string) error {
	template, err := os.ReadFile("deploy/settings.toml")
	if err != nil {
		return err
	}
	base := filepath.Join(m.directory, m.ip)
	if err := os.WriteFile(base+".toml", []byte(m.settings(string(template), zones)), 0o600); err != nil {
		return err
	}
	logFile, err := os.OpenFile(base+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer logFile.Close()
	m.process = exec.Command("target/jacinthcross", "serve")
	m.process.Env = append(os.Environ(), "JACINTHCROSS_SETTINGS="+base+".toml")
	m.process.Stdout, m.process.Stderr = logFile, logFile
	if err := m.process.Start(); err != nil {
		return err
	}
	children.add(m.process.Process)
	exited, process := make(chan struct{}), m.process
	m.exited = exited
	go func() {
		defer close(exited)
		err := process.Wait()
		m.record.log("the daemon of %s has ended (%v)", m.ip, err)
	}()
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	if m.process != nil {
		_ = m.process.Process.Signal(s)
		m.record.log("%s to the daemon of %s", s, m.ip)
	}
}

// stop ends the daemon.
func (m *machine) stop() {
	if m.process == nil {
		return
	}
	_ = m.process.Process.Signal(syscall.SIGCONT)
	_ = m.process.Process.Kill()
	<-m.exited
}

// isReady reports whether the daemon says that it is ready.
func (m *machine) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + m.address(m.ports.ready) + "/-/readyz")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// memoryMBUsed returns the resident memory of the process, or 0 if it does not run.
func (m *machine) memoryMBUsed() int {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.process.Process.Pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb * 1024 / 1_000_000
		}
	}
	return 0
}
