package main

import (
	"fmt"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/cli/conf"
	"jacinthcross/platform/fake"
)

// Parameters of the case big-config. The link is the slowest of the grown sites, the number of routes the largest of their
// standard days, and the bound the one of the grown sites.
const (
	linkRate      = 10_000_000
	manyRoutes    = 1948
	grownApply    = 2500 * time.Millisecond
	probeGap      = 150 * time.Millisecond
	probedFor     = 8 * time.Second
	slowLinkLead  = 6 * time.Second
	grownMachines = 78
	grownZones    = 3
	// fastMachines of each zone have the faster link.
	fastMachines = 2
	fastLinkRate = 200_000_000
)

// runBigConfig adds many routes to the config of machines with slow links.
func runBigConfig(f *fleet, trouble bool) (bool, error) {
	for i := range grownMachines {
		service, rate := []string{"catalogue", "bookings"}[i%2], float64(linkRate)
		if i < fastMachines*grownZones {
			rate = fastLinkRate
		}
		n, err := f.addBehindLink(service, fmt.Sprintf("d%d", i%grownZones), rate)
		if err != nil {
			return false, err
		}
		n.server.behave = func(*http.Request) answer { return answer{time.Millisecond, []byte("ok")} }
	}
	services := []string{"catalogue", "bookings"}
	route := func(i int) fake.Route {
		return fake.Route{Name: fmt.Sprintf("r-%07d", i), Host: shopHost, Prefix: fmt.Sprintf("/p%d/", i), Timeout: 1500 * time.Millisecond, TargetLatency: 500 * time.Millisecond, Priority: 2, Attempts: 2, Weights: map[string]int{services[i%2]: 1}}
	}
	f.site.PublishConfig(services, route(0))
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(slowLinkLead)
	added := 1
	if trouble {
		added = manyRoutes
	}
	var routes []fake.Route
	for i := range added + 1 {
		routes = append(routes, route(i))
	}
	f.site.PublishConfig(services, routes...)
	confirmed := time.Now()
	f.record.add("config with %d more routes confirmed", added)
	var group sync.WaitGroup
	var mutex sync.Mutex
	stale := 0
	for _, n := range f.nodes {
		group.Go(func() {
			for time.Since(confirmed) < probedFor {
				r := send(n.vm.Settings.Callers, http.MethodGet, "/p1/x", browseBudget, fullRate)
				at := r.sent.Sub(confirmed)
				if r.status == http.StatusNotFound {
					f.record.add("request %s at %s sent %.3f s after the confirmation: 404", r.id, n.name, at.Seconds())
					if at > grownApply {
						mutex.Lock()
						stale++
						mutex.Unlock()
					}
				}
				time.Sleep(probeGap)
			}
		})
	}
	group.Wait()
	f.record.add("%d requests on an added route refused with 404 later than ConfigApply", stale)
	return stale > 0, nil
}

// addBehindLink adds a machine whose daemon reaches the store, and is reached by peers, through a slow link.
func (f *fleet) addBehindLink(service, zone string, bitsPerSecond float64) (*node, error) {
	n, err := f.add(service, zone, nil)
	if err != nil {
		return nil, err
	}
	s, l := n.vm.Settings, newLink(bitsPerSecond)
	moved := func(network byte) netip.Addr {
		a := n.server.address.Addr().As4()
		a[1] = network
		return netip.AddrFrom4(a)
	}
	// Peers know the machine by the address of its entry.
	entry := netip.AddrPortFrom(moved(2), n.server.address.Port())
	if err := forward(entry, n.server.address, &l.down, &l.up); err != nil {
		return nil, err
	}
	if err := forward(netip.AddrPortFrom(entry.Addr(), s.Peers.Port()), s.Peers, &l.down, &l.up); err != nil {
		return nil, err
	}
	store := netip.AddrPortFrom(moved(3), f.site.Store.Address().Port())
	if err := forward(store, f.site.Store.Address(), &l.up, &l.down); err != nil {
		return nil, err
	}
	n.server.setEntry(entry)
	s.VM = ident.VM(entry.Addr().String())
	source := s.Source.(conf.StoreSource)
	source.URL = "http://" + store.String()
	s.Source = source
	return n, nil
}
