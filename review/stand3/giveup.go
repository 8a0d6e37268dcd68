package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"jacinthcross/platform/fake"
)

func init() { scenarios["giveup"] = giveUp }

// The figures of report-read of pct-mesh: its aim and its time-out. A requester that gives up leaves after half the aim.
const (
	reportAim     = time.Second
	reportTimeout = 2500 * time.Millisecond
	reportBudget  = 5 * time.Second
	givesUpAfter  = reportAim / 2
	// crashAfter is the time for which a target runs the request until it crashes.
	crashAfter = 1500 * time.Millisecond
	giveUpTime = 45 * time.Second
)

// giveUp sends a request that crashes the targets that run it, again and again, and leaves before the crash.
func giveUp(r *record, binary string, trouble bool) (bool, error) {
	s, err := newSite(r, binary)
	if err != nil {
		return false, err
	}
	done := make(chan struct{})
	defer func() {
		close(done)
		s.close()
	}()
	route := readRoute
	route.timeout, route.aim = reportTimeout.String(), reportAim.String()
	for i := range 6 {
		v := s.add(route.service, fmt.Sprintf("z%d", i%3), 9, 100*time.Millisecond)
		v.target.NestedCall = func(ctx context.Context, run fake.Run) error {
			if run.URI == crashPath {
				<-ctx.Done()
			}
			return nil
		}
		if trouble {
			v.target.CrashPath, v.target.CrashDelay, v.target.RestartDelay = crashPath, crashAfter, 2*time.Second
		}
	}
	s.putConfig(7, []string{route.service}, route)
	if err := s.start(); err != nil {
		return false, err
	}
	go s.beat(1500*time.Millisecond, done)
	// StabilityWindow, with a second to spare.
	time.Sleep(stabilityWindow + time.Second)

	end := time.Now().Add(giveUpTime)
	var wait sync.WaitGroup
	for i := range 4 * len(s.vms) {
		v := s.vms[i%len(s.vms)]
		wait.Go(func() {
			for k := 0; time.Now().Before(end); k++ {
				_ = call(v, fmt.Sprintf("read-%d-%d", i, k), http.MethodGet, route.host, fmt.Sprintf("/read/%d", (i+k)%50), "", time.Second)
				time.Sleep(60 * time.Millisecond)
			}
		})
	}
	for k := 0; time.Now().Before(end); k++ {
		v := s.vms[k%len(s.vms)]
		id := fmt.Sprintf("report-%d", k)
		r.printf("%s sent to daemon %d: %s", id, v.index, leave(v, requestText(id, http.MethodGet, route.host, crashPath, "", reportBudget)))
		time.Sleep(crashEvery)
	}
	wait.Wait()
	return countLate(r, s) > allowedLate, nil
}

// leave sends a request, leaves after givesUpAfter without an answer, and returns what was seen.
func leave(v *vm, text string) string {
	c, err := net.DialTimeout("tcp", v.callers(), time.Second)
	if err != nil {
		return err.Error()
	}
	defer c.Close()
	if _, err := io.WriteString(c, text); err != nil {
		return err.Error()
	}
	_ = c.SetReadDeadline(time.Now().Add(givesUpAfter))
	b := make([]byte, 64)
	n, err := c.Read(b)
	if err != nil {
		return "no answer, left"
	}
	return firstLine(string(b[:n]))
}
