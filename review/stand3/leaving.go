package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { scenarios["leaving"] = leaving }

// historyRoute has the figures of delivery-history.
var historyRoute = configRoute{name: "r-history", host: "history.example", prefix: "/history/", kind: "safe", timeout: "4000ms", aim: "1000ms", priority: 2, service: "s-history", attempts: 2}

// The rate of the slowest links and the bound Drain of grown/clachan-mesh-grown.
const (
	slowLink   = 10e6 / 8
	drainBound = 2500 * time.Millisecond
)

// leaving sends a request with a body over a slow link and lets the target that gets it leave in order meanwhile, three
// times. Each time another target leaves.
func leaving(r *record, binary string, trouble bool) (bool, error) {
	s, err := newSite(r, binary)
	if err != nil {
		return false, err
	}
	s.linkRate, s.drain = slowLink, drainBound.String()
	done := make(chan struct{})
	defer func() {
		close(done)
		s.close()
	}()
	const targets, callers = 4, 2
	for i := range targets + callers {
		service := "s-history"
		if i >= targets {
			service = "s-book"
		}
		s.add(service, fmt.Sprintf("z%d", i%2), 6, 200*time.Millisecond)
	}
	s.putConfig(7, []string{"s-history", "s-book"}, historyRoute, bookRoute)
	if err := s.start(); err != nil {
		return false, err
	}
	go s.beat(1500*time.Millisecond, done)
	// StabilityWindow, with two seconds to spare.
	time.Sleep(5 * time.Second)

	// The body takes 3.4 s on the link.
	body := strings.Repeat("x", 4_200_000)
	late := 0
	for round := range 3 {
		var before [targets]int
		for i, v := range s.vms[:targets] {
			before[i] = v.link.received()
		}
		caller, id := s.vms[targets+round%callers], fmt.Sprintf("history-%d", round)
		answered := make(chan struct{})
		go func() {
			defer close(answered)
			a := call(caller, id, http.MethodPost, historyRoute.host, "/history/find", body, 8*time.Second)
			r.printf("sent to daemon %d with a body of %d bytes: %s", caller.index, len(body), a)
		}()
		time.Sleep(300 * time.Millisecond)
		leaver := s.vms[0].target
		for i, v := range s.vms[:targets] {
			if n := v.link.received() - before[i]; n > len(body)/50 {
				leaver = v.target
				r.printf("%d bytes have passed to the machine of target %s", n, leaver.ID)
			}
		}
		if trouble {
			leaver.Drain()
			r.printf("target %s reports draining", leaver.ID)
		}
		acknowledged := time.Now()
		<-answered
		for _, run := range leaver.Runs() {
			after := run.StartedAt.Sub(acknowledged)
			r.printf("target %s got %s with a body of %d bytes %.3f s after the report", run.Target, run.ID, len(run.Body), after.Seconds())
			if trouble && after > drainBound {
				late++
			}
		}
		time.Sleep(2 * time.Second)
	}
	r.printf("%d requests reached a target later than Drain, %s, after its report; DRAIN allows none", late, drainBound)
	return late > 0, nil
}
