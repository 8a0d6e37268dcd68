package main

import (
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"jacinthcross/platform/fake"
)

func init() { scenarios["crashing"] = crashing }

const (
	crashPath = "/read/report"
	// crashEvery is the time between two sends of the request that crashes targets. It exceeds stabilityWindow.
	crashEvery = 3500 * time.Millisecond
	crashTime  = 80 * time.Second
	// stabilityWindow is StabilityWindow in the settings of the daemons.
	stabilityWindow = 3 * time.Second
	// allowedLate is how often such a request may reach targets later than that after its third crash.
	allowedLate = 3
)

// crashing sends a request that crashes the targets that run it, again and again, on a route that is split among three
// services, beside ordinary requests.
func crashing(r *record, binary string, trouble bool) (bool, error) {
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
	route.split = map[string]int{"s-read": 34, "s-book": 33, "s-file": 33}
	services := slices.Sorted(maps.Keys(route.split))
	for _, name := range services {
		for i := range 3 {
			v := s.add(name, fmt.Sprintf("z%d", i), 9, 100*time.Millisecond)
			if trouble {
				v.target.CrashPath, v.target.CrashDelay, v.target.RestartDelay = crashPath, 50*time.Millisecond, 2*time.Second
			}
		}
	}
	s.putConfig(7, services, route)
	if err := s.start(); err != nil {
		return false, err
	}
	go s.beat(1500*time.Millisecond, done)
	// StabilityWindow, with a second to spare.
	time.Sleep(stabilityWindow + time.Second)

	end := time.Now().Add(crashTime)
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
		r.printf("sent to daemon %d: %s", v.index, call(v, fmt.Sprintf("report-%d", k), http.MethodGet, route.host, crashPath, "", time.Second))
		time.Sleep(crashEvery)
	}
	wait.Wait()

	return countLate(r, s) > allowedLate, nil
}

// countLate records the runs of the request that crashes targets, and returns how many of them began later than
// stabilityWindow after the third crash.
func countLate(r *record, s *site) int {
	var runs []fake.Run
	var crashes []time.Time
	service := map[string]string{}
	for _, v := range s.vms {
		crashes = append(crashes, v.target.Crashes()...)
		for _, run := range v.target.Runs() {
			if run.URI == crashPath {
				runs = append(runs, run)
				service[run.Target] = v.service
			}
		}
	}
	slices.SortFunc(runs, func(a, b fake.Run) int { return a.StartedAt.Compare(b.StartedAt) })
	slices.SortFunc(crashes, time.Time.Compare)
	late := 0
	for _, run := range runs {
		text := ""
		if len(crashes) >= 3 {
			if after := run.StartedAt.Sub(crashes[2]); after > stabilityWindow {
				late++
				text = fmt.Sprintf(", %.3f s after the third crash", after.Seconds())
			}
		}
		r.printf("%s reached target %s of %s at %.3f s%s", run.ID, run.Target, service[run.Target], run.StartedAt.Sub(r.began).Seconds(), text)
	}
	r.printf("%d crashes; the request reached targets %d times later than StabilityWindow after the third one, BUDGET allows %d", len(crashes), late, allowedLate)
	return late
}
