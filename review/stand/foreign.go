package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"jacinthcross/platform/fake"
)

// Parameters of the case foreign-entry. The work, the timeouts and the budgets are those of the sheet.
const (
	browseWork, bookWork       = 160 * time.Millisecond, 210 * time.Millisecond
	browseTimeout, bookTimeout = 1500 * time.Millisecond, 2 * time.Second
	browseBudget, bookBudget   = 3 * time.Second, 4 * time.Second
	// settle is above the bounds of config and drain, and the span after which machines are in touch again.
	settle = 4 * time.Second
	// judgedRequests is the number of requests on each route in steady state. The rule asks for 20.
	judgedRequests = 40
	requestGap     = 100 * time.Millisecond
	fullRate       = 1 << 30
	// exporterPort is the port of the foreign process on the machines of the bookings.
	exporterPort = 9100
)

// runForeignEntry lets another writer register a process that runs on the machines of one service, under a service that
// no config names.
func runForeignEntry(f *fleet, trouble bool) (bool, error) {
	for i, service := range []string{"catalogue", "bookings", "catalogue", "bookings", "catalogue", "bookings"} {
		work := browseWork
		if service == "bookings" {
			work = bookWork
		}
		if _, err := f.add(service, fmt.Sprintf("d%d", i/2), func(*http.Request) answer { return answer{work, []byte("ok")} }); err != nil {
			return false, err
		}
	}
	services := []string{"catalogue", "bookings"}
	browse := fake.Route{Name: "catalogue-browse", Host: shopHost, Prefix: "/browse/", Timeout: browseTimeout, TargetLatency: 500 * time.Millisecond, Priority: 2, Attempts: 2, Weights: map[string]int{"catalogue": 1}}
	book := fake.Route{Name: "hire-booking", Host: shopHost, Prefix: "/book/", Unsafe: true, Timeout: bookTimeout, TargetLatency: 600 * time.Millisecond, Priority: 1, Attempts: 2, Weights: map[string]int{"bookings": 1}}
	f.site.PublishConfig(services, browse)
	if err := f.startAll(); err != nil {
		return false, err
	}
	f.record.add("config adds the route of the bookings")
	f.site.PublishConfig(services, browse, book)
	time.Sleep(settle)
	if first, later := f.served(); first < judgedRequests || later < judgedRequests {
		return false, fmt.Errorf("before the disruption, %d and %d of %d requests are served", first, later, judgedRequests)
	}
	if trouble {
		for _, n := range f.nodes {
			if n.server.service == "bookings" {
				f.registerForeign(n)
			}
		}
	}
	time.Sleep(settle)
	first, later := f.served()
	f.record.add("served in steady state: %d of %d on the first route, %d of %d on the route added later", first, judgedRequests, later, judgedRequests)
	return later*4 < first, nil
}

// registerForeign writes an entry of another writer for a process beside the server of a machine. Its service is not
// named by any config, so it names no upstream to use.
func (f *fleet) registerForeign(n *node) {
	key, address := "servers/node-exporter-"+n.name, netip.AddrPortFrom(n.server.address.Addr(), exporterPort)
	b, err := json.Marshal(map[string]any{
		"Address": address.String(),
		"Info":    map[string]any{"Service": "node-exporter", "Version": "v1", "Zone": n.server.zone, "Slots": 1},
		"Status":  map[string]any{"State": "ready", "Sequence": 1, "ColdRemaining": "0ms"},
		"born":    time.Now().UnixMilli(),
	})
	if err != nil {
		panic(err)
	}
	f.record.add("another writer puts %s: %s", key, b)
	f.site.Store.Put(key, b)
}

// served sends requests on both routes, at all daemons in turn, and returns how many were served on each.
func (f *fleet) served() (first, later int) {
	type kind struct{ method, path string }
	results := make(chan result, 2*judgedRequests)
	for i := range judgedRequests {
		to := f.nodes[i%len(f.nodes)].vm.Settings.Callers
		for _, k := range []kind{{http.MethodGet, "/browse/7"}, {http.MethodPost, "/book/7"}} {
			budget := browseBudget
			if k.method == http.MethodPost {
				budget = bookBudget
			}
			go func() { results <- send(to, k.method, k.path, budget, fullRate) }()
		}
		time.Sleep(requestGap)
	}
	for range 2 * judgedRequests {
		r := <-results
		f.record.add("request %s %s %s: status %d, error %v, took %d ms", r.id, r.method, r.path, r.status, r.err, r.ended.Sub(r.sent).Milliseconds())
		switch {
		case !r.complete || r.status != http.StatusOK:
		case r.method == http.MethodGet:
			first++
		default:
			later++
		}
	}
	return first, later
}
