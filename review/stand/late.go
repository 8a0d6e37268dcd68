package main

import (
	"net/http"
	"sync"
	"time"

	"jacinthcross/platform/fake"
)

// Parameters of the case late-report. Times count from the report that the store applies late.
const (
	crashAt   = 100 * time.Millisecond
	restartAt = 1100 * time.Millisecond
	drainAt   = 3500 * time.Millisecond
	applyAt   = 5700 * time.Millisecond
	endAt     = 8 * time.Second
	drain     = 2 * time.Second
	bookGap   = 50 * time.Millisecond
)

// runLateReport lets the store apply a report of a server late, after the server has crashed, has started again under its
// ID and has reported that it leaves.
func runLateReport(f *fleet, trouble bool) (bool, error) {
	for _, zone := range []string{"d0", "d1", "d2"} {
		if _, err := f.add("bookings", zone, func(*http.Request) answer { return answer{bookWork, []byte("ok")} }); err != nil {
			return false, err
		}
	}
	f.site.PublishConfig([]string{"bookings"}, fake.Route{Name: "hire-booking", Host: shopHost, Prefix: "/book/", Unsafe: true, Timeout: bookTimeout, TargetLatency: 600 * time.Millisecond, Priority: 1, Attempts: 2, Weights: map[string]int{"bookings": 1}})
	if err := f.startAll(); err != nil {
		return false, err
	}
	time.Sleep(settle)
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() { f.book(done, &group) })
	s, began := f.nodes[0].server, time.Now()
	wait := func(at time.Duration) { time.Sleep(time.Until(began.Add(at))) }
	late := s.report()
	if trouble {
		f.record.add("server %s writes %s, whose answer is lost; the store applies it %s later", s.id, late, applyAt)
		wait(crashAt)
		f.record.add("server %s crashes", s.id)
		s.stop()
		wait(restartAt)
		if err := s.start(); err != nil {
			return false, err
		}
		f.record.add("server %s starts again under its ID", s.id)
	}
	wait(drainAt)
	s.drain()
	confirmed := time.Now()
	f.record.add("server %s reports that it leaves; the store confirms", s.id)
	wait(applyAt)
	if trouble {
		f.record.add("the store applies the late report %s", late)
		f.site.Store.Put("servers/"+s.id, late)
	}
	wait(endAt)
	close(done)
	group.Wait()
	return f.judgeDrain(s, confirmed.Add(drain)), nil
}

// book sends bookings at all daemons in turn.
func (f *fleet) book(done <-chan struct{}, group *sync.WaitGroup) {
	for i := 0; ; i++ {
		select {
		case <-done:
			return
		case <-time.After(bookGap):
		}
		to := f.nodes[i%len(f.nodes)].vm.Settings.Callers
		group.Go(func() {
			r := send(to, http.MethodPost, "/book/7", bookBudget, fullRate)
			f.record.add("request %s %s %s: status %d, error %v", r.id, r.method, r.path, r.status, r.err)
		})
	}
}

// judgeDrain counts the requests that reached a leaving server after the bound.
func (f *fleet) judgeDrain(s *server, bound time.Time) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	tooLate := 0
	for _, r := range s.runs {
		if r.started.After(bound) {
			tooLate++
			f.record.add("request %s reached the leaving server %s %d ms after the bound", r.id, s.id, r.started.Sub(bound).Milliseconds())
		}
	}
	f.record.add("%d requests reached the leaving server later than Drain", tooLate)
	return tooLate > 0
}
