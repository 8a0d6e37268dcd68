package main

import (
	"bytes"
	"net/http"
	"sync"
	"syscall"
	"time"

	"jacinthcross/platform/fake"
)

// Parameters of the case planned-stop. The work, the timeout and the budget are those of delivery-history, the grace period
// and the polls of the platform those of the pages.
const (
	historyBytes    = 4 << 20
	historyWork     = 400 * time.Millisecond
	historyTimeout  = 4 * time.Second
	historyBudget   = 8 * time.Second
	historyLatency  = time.Second
	bytesPerSecond  = 12_000_000 / 8
	grace           = 6 * time.Second
	sendInterval    = 300 * time.Millisecond
	undisturbedTime = 5 * time.Second
)

// runPlannedStop stops one daemon with SIGTERM while requesters read long answers over a link of 12 Mbit/s.
func runPlannedStop(f *fleet, trouble bool) (bool, error) {
	body := bytes.Repeat([]byte("delivery"), historyBytes/8)
	for _, zone := range []string{"d0", "d1", "d2"} {
		if _, err := f.add("deliveries", zone, func(*http.Request) answer { return answer{historyWork, body} }); err != nil {
			return false, err
		}
	}
	f.site.PublishConfig([]string{"deliveries"}, fake.Route{
		Name: "delivery-history", Host: shopHost, Prefix: "/history/", Timeout: historyTimeout, TargetLatency: historyLatency,
		Priority: 2, Attempts: 2, Weights: map[string]int{"deliveries": 1},
	})
	if err := f.startAll(); err != nil {
		return false, err
	}
	n := f.nodes[0]
	polled := watchReadiness(f, n)
	results := make(chan result, 4096)
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-polled.out:
				// The platform sends no more work to this machine.
				return
			case <-time.After(sendInterval):
			}
			group.Go(func() {
				results <- send(n.vm.Settings.Callers, http.MethodGet, "/history/7", historyBudget, bytesPerSecond)
			})
		}
	})
	time.Sleep(undisturbedTime)
	polled.afterPoll()
	stopped := time.Now()
	if trouble {
		f.record.add("SIGTERM to daemon %s", n.name)
		if err := n.signal(syscall.SIGTERM); err != nil {
			return false, err
		}
	}
	time.Sleep(grace)
	if trouble {
		// The platform kills what has not ended within the grace period.
		_ = n.process.Process.Kill()
		<-n.exited
	}
	close(done)
	group.Wait()
	close(results)
	return f.judgeStop(results, stopped), nil
}

// judgeStop counts the requests that break LOST: read by the stopped daemon, run to the end, and closed without a complete
// answer around the planned stop, before the route's timeout.
func (f *fleet) judgeStop(results <-chan result, stopped time.Time) bool {
	lost, whole := 0, 0
	for r := range results {
		one, ran := f.finished(r.id)
		f.record.add("request %s %s %s sent at %+.3f s of the stop, ended at %+.3f s: status %d, %d bytes, complete %t, run to its end %t, error %v",
			r.id, r.method, r.path, r.sent.Sub(stopped).Seconds(), r.ended.Sub(stopped).Seconds(), r.status, r.bytes, r.complete, ran, r.err)
		switch {
		case r.complete:
			whole++
		case ran && r.ended.After(stopped) && r.ended.Before(stopped.Add(grace+time.Second)) && r.ended.Sub(r.sent) < historyTimeout && one.ended.Before(stopped.Add(grace*5/6)):
			lost++
		}
	}
	f.record.add("%d complete answers, %d answers cut off by the planned stop", whole, lost)
	return lost > 0
}

// A readiness is what the platform knows of a daemon from its polls, one each second.
type readiness struct {
	// out is closed after two misses.
	out   chan struct{}
	polls chan struct{}
}

func watchReadiness(f *fleet, n *node) *readiness {
	p := &readiness{out: make(chan struct{}), polls: make(chan struct{})}
	go func() {
		misses := 0
		for range time.Tick(time.Second) {
			if n.ready() {
				misses = 0
				select {
				case p.polls <- struct{}{}:
				default:
				}
				continue
			}
			if misses++; misses == 2 {
				f.record.add("the platform takes daemon %s out after two misses", n.name)
				close(p.out)
				return
			}
		}
	}()
	return p
}

// afterPoll waits for the next successful poll.
func (p *readiness) afterPoll() { <-p.polls }
