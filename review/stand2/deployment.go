package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
	"slices"
	"strconv"
	"time"
)

// A deployment is a small installation on loopback addresses.
type deployment struct {
	record    *record
	store     *store
	machines  []*machine
	zones     []string
	directory string
	proxies   []*proxy
	ports     ports
	network   string
}

// A place describes a machine of a deployment.
type place struct {
	service, zone string
	slots         int
	work          time.Duration
	answer        []byte
	// linkBytesPerSecond is the bandwidth of the machine's link to other machines, or 0 for no limit.
	linkBytesPerSecond int
}

const host = "shop.example"

// A route is a route of the config.
type route struct {
	name, prefix, kind, service string
	timeout, aim                time.Duration
	attempts                    int
}

// newDeployment starts a store and the machines.
func newDeployment(r *record, bounds []string, memoryMB int, places ...place) (*deployment, error) {
	directory, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	d := &deployment{record: r, directory: directory, network: fmt.Sprintf("127.%d.%d.", 16+rand.IntN(200), rand.IntN(250))}
	if err := d.findPorts(len(places)); err != nil {
		return nil, err
	}
	storeAddress := d.network + "250:" + strconv.Itoa(d.ports.app)
	if d.store, err = newStore(storeAddress); err != nil {
		return nil, err
	}
	for n, p := range places {
		m := &machine{
			ip: d.network + strconv.Itoa(n+1), zone: p.zone, ports: d.ports, service: p.service, storeAddr: storeAddress, bounds: bounds,
			memoryMB: memoryMB, maxFds: 4100, peersPort: d.ports.peers, directory: directory, record: r,
		}
		if p.linkBytesPerSecond > 0 {
			m.peersPort = d.ports.behindProxy
		}
		m.upstream = &upstream{
			id: fmt.Sprintf("i-%d", n+1), service: p.service, zone: p.zone, address: m.address(d.ports.app), slots: p.slots, work: p.work,
			answer: p.answer, store: d.store, record: r,
		}
		d.machines = append(d.machines, m)
		if !slices.Contains(d.zones, p.zone) {
			d.zones = append(d.zones, p.zone)
		}
	}
	return d, d.startProxies(places)
}

// startProxies puts a proxy in front of the daemons with a link of their own. Daemons know one port of all others, so a
// second proxy leads from the port of those behind a proxy to the usual one.
func (d *deployment) startProxies(places []place) error {
	limited := false
	for _, p := range places {
		limited = limited || p.linkBytesPerSecond > 0
	}
	if !limited {
		return nil
	}
	for n, m := range d.machines {
		listen, server := m.address(d.ports.behindProxy), m.address(d.ports.peers)
		if m.peersPort == d.ports.behindProxy {
			listen, server = server, listen
		}
		p, err := newProxy(listen, server, places[n].linkBytesPerSecond)
		if err != nil {
			return err
		}
		d.proxies, m.link = append(d.proxies, p), p
	}
	return nil
}

// shareLinks makes all connections share one link, as if each of them passed the link of one machine.
func (d *deployment) shareLinks() {
	for _, p := range d.proxies[1:] {
		p.toServer, p.toClient = d.proxies[0].toServer, d.proxies[0].toClient
	}
}

// findPorts looks for ports that are free on all addresses.
func (d *deployment) findPorts(machines int) error {
	for range 50 {
		first := 20000 + rand.IntN(10000)
		free := true
		for n := range machines + 1 {
			for port := first; port < first+6; port++ {
				l, err := net.Listen("tcp", d.network+strconv.Itoa(n+1)+":"+strconv.Itoa(port))
				if err != nil {
					free = false
					continue
				}
				_ = l.Close()
			}
		}
		if free {
			d.ports = ports{app: first, outbound: first + 1, ready: first + 2, admin: first + 3, peers: first + 4, behindProxy: first + 5}
			return nil
		}
	}
	return errors.New("no free ports")
}

// start publishes the first config, starts upstreams and daemons and waits until all daemons are ready.
func (d *deployment) start(routes ...route) error {
	d.publish(1, routes...)
	for _, m := range d.machines {
		if err := m.upstream.start(); err != nil {
			return err
		}
	}
	for _, m := range d.machines {
		if err := m.start(d.zones); err != nil {
			return err
		}
	}
	for range 100 {
		ready := 0
		for _, m := range d.machines {
			if m.isReady() {
				ready++
			}
		}
		if ready == len(d.machines) {
			d.record.log("%d daemons are ready", ready)
			return nil
		}
		time.Sleep(100 * time.Millisecond)
	}
	return errors.New("the daemons did not become ready within 10 s")
}

// publish writes a config and returns when the store accepted it.
func (d *deployment) publish(version int, routes ...route) time.Time {
	rows, services, named := [][]any{}, [][]any{}, map[string]bool{}
	for _, r := range routes {
		rows = append(rows, []any{
			r.name, host, r.prefix, r.kind, milliseconds(r.timeout), milliseconds(r.aim), 1, r.attempts, r.service,
		})
	}
	for _, m := range d.machines {
		if !named[m.service] {
			named[m.service] = true
			services = append(services, []any{m.service, "/healthz", 860, "h1", false})
		}
	}
	d.record.log("the operator writes config %d", version)
	return d.store.put("op/config", map[string]any{
		"Version": version,
		"Routes": map[string]any{
			"Columns": []string{"Name", "Host", "PathPrefix", "RouteType", "Timeout", "TargetLatency", "Priority", "MaxAttempts", "Service"}, "Rows": rows,
		},
		"Services": map[string]any{"Columns": []string{"Name", "HealthPath", "MaxConnections", "Protocol", "Tls"}, "Rows": services},
		"Limits":   map[string]any{"MaxHeaderBytes": 16384, "MaxBodyBytes": 67108864, "HeaderTimeout": "3000ms", "IdleTimeout": "15000ms"},
	})
}

func milliseconds(d time.Duration) string { return strconv.FormatInt(d.Milliseconds(), 10) + "ms" }

// close ends all that the deployment has started.
func (d *deployment) close() {
	for _, m := range d.machines {
		m.stop()
		if m.upstream.server != nil {
			_ = m.upstream.server.Close()
		}
	}
	for _, p := range d.proxies {
		_ = p.listener.Close()
	}
	_ = d.store.server.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.directory)
	}
}

// runs returns the runs of a request on all upstreams.
func (d *deployment) runs(id string) []run {
	var out []run
	for _, m := range d.machines {
		for _, r := range m.upstream.allRuns() {
			if r.id == id {
				out = append(out, r)
			}
		}
	}
	return out
}
