package main

import (
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const (
	// splitBody is the size of the bodies, which is below the 24,000 bytes of the largest bookings of the sites.
	splitBody = 20_000
	// headPause is the time between the two parts of a header.
	headPause = 50 * time.Millisecond
	// maxDenied is the bound of the rule for few requests.
	maxDenied = 5
)

// playSplit sends requests whose headers arrive in two parts.
func playSplit(r *record, trouble bool) (bool, error) {
	d, err := newDeployment(
		r, meshBounds, meshMemoryMB,
		place{service: "bookings", zone: "glasgow", slots: 6, work: 210 * time.Millisecond},
		place{service: "bookings", zone: "edinburgh", slots: 6, work: 210 * time.Millisecond},
	)
	if err != nil {
		return false, err
	}
	defer d.close()
	if err := d.start(
		route{name: "hire-booking", prefix: "/book/", kind: "unsafe", service: "bookings", timeout: 2 * time.Second, aim: 600 * time.Millisecond, attempts: 2},
	); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	denied := 0
	for n := range 20 {
		m := d.machines[n%2]
		q := request{id: fmt.Sprintf("book-%d", n), method: http.MethodPost, host: host, path: "/book/1", body: bytes.Repeat([]byte{'a'}, splitBody), timeBudget: 4 * time.Second}
		a := q.sendInTwoParts(m.address(d.ports.outbound), trouble)
		r.log("request %s with a header of %d bytes and a body of %d bytes at %s: %v, %d runs", q.id, len(q.head()), len(q.body), m.ip, a, len(d.runs(q.id)))
		if a.err == nil && a.status >= 400 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 {
			denied++
		}
	}
	r.log("%d requests were ended with a 4xx of the daemon; more than %d break the rule", denied, maxDenied)
	return denied > maxDenied, nil
}

// sendInTwoParts sends a request on a new connection. The first part ends in the middle of the header if split is true, and
// behind the header otherwise.
func (q request) sendInTwoParts(address string, split bool) (r response) {
	c, err := net.DialTimeout("tcp", address, time.Second)
	if err != nil {
		r.err = err
		return r
	}
	defer c.Close()
	if r.err = c.SetDeadline(time.Now().Add(q.timeBudget)); r.err != nil {
		return r
	}
	whole := q.head() + string(q.body)
	first := len(q.head())
	if split {
		first /= 2
	}
	if _, r.err = io.WriteString(c, whole[:first]); r.err != nil {
		return r
	}
	time.Sleep(headPause)
	if _, r.err = io.WriteString(c, whole[first:]); r.err != nil {
		return r
	}
	return q.readAnswer(c)
}
