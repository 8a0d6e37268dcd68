package main

import (
	"fmt"
	"net/http"
	"time"
)

// playID sends requests without an id from two machines.
func playID(r *record, trouble bool) (bool, error) {
	d, err := newDeployment(
		r, meshBounds, meshMemoryMB,
		place{service: "catalogue", zone: "glasgow", slots: 6, work: 160 * time.Millisecond},
		place{service: "catalogue", zone: "edinburgh", slots: 6, work: 160 * time.Millisecond},
		place{service: "bookings", zone: "glasgow", slots: 6, work: 210 * time.Millisecond},
	)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.start(
		route{name: "catalogue-browse", prefix: "/browse/", kind: "safe", service: "catalogue", timeout: 1500 * time.Millisecond, aim: 500 * time.Millisecond, attempts: 2},
		route{name: "hire-booking", prefix: "/book/", kind: "unsafe", service: "bookings", timeout: 2 * time.Second, aim: 600 * time.Millisecond, attempts: 2},
	); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	sent := map[string]bool{}
	for n := range 10 {
		m := d.machines[n%2]
		q := request{id: fmt.Sprintf("book-%d", n), method: http.MethodPost, host: host, path: "/book/1", body: []byte("hall"), timeBudget: 4 * time.Second}
		if trouble {
			q.id = ""
		}
		sent[q.id] = true
		r.log("a request with the id %q at %s: %v", q.id, m.ip, q.send(m.address(m.ports.outbound)))
	}
	strange := 0
	for _, m := range d.machines {
		for _, o := range m.upstream.allRuns() {
			if !sent[o.id] {
				strange++
				r.log("upstream %s has run a request with the id %q, which no requester sent", o.upstream, o.id)
			}
		}
	}
	return strange > 0, nil
}
