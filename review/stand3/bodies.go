package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { scenarios["bodies"] = bodies }

// The routes of the deployment.
var (
	readRoute = configRoute{name: "r-read", host: "read.example", prefix: "/read/", kind: "safe", timeout: "1000ms", aim: "500ms", priority: 2, service: "s-read", attempts: 2}
	bookRoute = configRoute{name: "r-book", host: "book.example", prefix: "/book/", kind: "unsafe", timeout: "1200ms", aim: "600ms", priority: 1, service: "s-book", attempts: 2}
)

// startSmallSite starts a deployment of six machines with two services in three zones, and waits until they are in touch.
func startSmallSite(r *record, binary string) (s *site, stop func(), err error) {
	if s, err = newSite(r, binary); err != nil {
		return nil, nil, err
	}
	done := make(chan struct{})
	stop = func() {
		close(done)
		s.close()
	}
	for i := range 6 {
		service := "s-read"
		if i%2 == 1 {
			service = "s-book"
		}
		s.add(service, fmt.Sprintf("z%d", i%3), 9, 100*time.Millisecond)
	}
	s.putConfig(7, []string{"s-read", "s-book"}, readRoute, bookRoute)
	if err := s.start(); err != nil {
		stop()
		return nil, nil, err
	}
	go s.beat(1500*time.Millisecond, done)
	// StabilityWindow, with a second to spare.
	time.Sleep(4 * time.Second)
	return s, stop, nil
}

// isDenial reports whether DENIED counts an answer.
func isDenial(a reply) bool {
	switch a.status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return false
	}
	return a.err == nil && a.stamp == "" && a.status >= 300 && a.status < 500
}

// bodies sends requests with bodies inside MaxBodyBytes, one at a time.
func bodies(r *record, binary string, trouble bool) (bool, error) {
	s, stop, err := startSmallSite(r, binary)
	if err != nil {
		return false, err
	}
	defer stop()
	size := 4 << 20
	if trouble {
		size = 9 << 20
	}
	body := strings.Repeat("x", size)
	sent, denied := 0, 0
	for i := range 24 {
		v := s.vms[i%len(s.vms)]
		a := call(v, fmt.Sprintf("book-%d", i), http.MethodPost, bookRoute.host, "/book/visit", body, 2500*time.Millisecond)
		sent++
		if isDenial(a) {
			denied++
		}
		r.printf("sent to daemon %d with a body of %d bytes: %s %s", v.index, size, a, firstLine(a.body))
		time.Sleep(100 * time.Millisecond)
	}
	for _, v := range s.vms {
		for _, run := range v.target.Runs() {
			r.printf("target %s ran %s with a body of %d bytes", run.Target, run.ID, len(run.Body))
		}
	}
	allowed := 5 + sent/500
	r.printf("%d of %d requests were ended with a 3xx or 4xx of the system; DENIED allows %d", denied, sent, allowed)
	return denied > allowed, nil
}

func firstLine(text string) string {
	line, _, _ := strings.Cut(text, "\n")
	return line[:min(len(line), 80)]
}
