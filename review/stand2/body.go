package main

import (
	"bytes"
	"fmt"
	"net/http"
	"time"
)

// playBody sends requests whose bodies are within the limits of the config.
func playBody(r *record, trouble bool) (bool, error) {
	d, err := newDeployment(
		r, drainBounds, 536,
		place{service: "dnevnik", zone: "zagreb-a", slots: 18, work: 240 * time.Millisecond},
		place{service: "arhiva", zone: "zagreb-a", slots: 18, work: 440 * time.Millisecond},
	)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.start(
		route{name: "swap-request", prefix: "/swap/", kind: "unsafe", service: "arhiva", timeout: 4 * time.Second, aim: 2500 * time.Millisecond, attempts: 2},
	); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	size := 6 << 20
	if trouble {
		size = 9 << 20
	}
	denied := 0
	for n := range 12 {
		q := request{id: fmt.Sprintf("body-%d", n), method: http.MethodPost, host: host, path: fmt.Sprintf("/swap/%d", n), body: bytes.Repeat([]byte{'a'}, size), timeBudget: timeBudget}
		a := q.send(d.machines[0].address(d.ports.outbound))
		r.log("request %s with a body of %d bytes: %v, %d runs", q.id, size, a, len(d.runs(q.id)))
		if a.err == nil && a.status >= 400 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 {
			denied++
		}
	}
	r.log("%d requests were ended with a 4xx of the daemon", denied)
	return denied > 5, nil
}
