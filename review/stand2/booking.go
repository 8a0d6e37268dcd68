package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"
)

// bookings are ordinary requesters. Each of them keeps a connection and books on it, one booking after the other.
type bookings struct {
	deployment *deployment
	stopped    chan struct{}
	ended      sync.WaitGroup
	mutex      sync.Mutex
	counts     map[string]int
}

// lostBooking is a booking on a kept connection that ran and whose connection was closed without an answer.
const lostBooking = "ran and not answered, on a kept connection"

func startBookings(d *deployment, at []*machine) *bookings {
	b := &bookings{deployment: d, stopped: make(chan struct{}), counts: map[string]int{}}
	for n, m := range at {
		for k := range bookers {
			b.ended.Go(func() { b.bookAt(m, fmt.Sprintf("book-%d-%d", n, k)) })
		}
	}
	return b
}

// bookAt books at a machine until the bookings are stopped. It opens a new connection when one has ended.
func (b *bookings) bookAt(m *machine, name string) {
	for n := 0; ; n++ {
		select {
		case <-b.stopped:
			return
		case <-time.After(50 * time.Millisecond):
		}
		c, err := net.DialTimeout("tcp", m.address(m.ports.outbound), time.Second)
		if err != nil {
			b.count("no connection")
			continue
		}
		b.bookOn(c, fmt.Sprintf("%s-%d", name, n))
		_ = c.Close()
	}
}

// bookOn books on a connection until it ends.
func (b *bookings) bookOn(c net.Conn, name string) {
	in := bufio.NewReader(c)
	for n := 0; ; n++ {
		select {
		case <-b.stopped:
			return
		case <-time.After(20 * time.Millisecond):
		}
		q := request{id: fmt.Sprintf("%s-%d", name, n), method: http.MethodPost, host: host, path: "/book/1", body: []byte("hall"), timeBudget: 4 * time.Second}
		a := q.sendOn(c, in)
		runs := b.deployment.runs(q.id)
		switch {
		case a.isWhole():
			b.count("served")
		case a.err == nil:
			b.count(fmt.Sprintf("answered %d", a.status))
		case len(runs) > 0 && n > 0:
			b.deployment.record.log("booking %s, %s, ran at %s: %v", q.id, lostBooking, runs[0].upstream, a)
			b.count(lostBooking)
		default:
			b.count("no answer, not run or not on a kept connection")
		}
		if a.err != nil || a.closes {
			return
		}
	}
}

// sendOn sends a request on an open connection.
func (q request) sendOn(c net.Conn, in *bufio.Reader) (r response) {
	r.sent = time.Now()
	if r.err = c.SetDeadline(r.sent.Add(q.timeBudget)); r.err != nil {
		return r
	}
	if _, r.err = io.WriteString(c, q.head()+string(q.body)); r.err != nil {
		return r
	}
	answer, err := http.ReadResponse(in, &http.Request{Method: q.method})
	if err != nil {
		r.err = err
		return r
	}
	defer answer.Body.Close()
	r.status, r.header, r.closes = answer.StatusCode, answer.Header, answer.Close
	r.body, r.err = io.ReadAll(answer.Body)
	return r
}

func (b *bookings) count(what string) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.counts[what]++
}

// ruleBroken reports whether more than maxLost bookings on kept connections ran and got no answer.
func (b *bookings) ruleBroken(p *platform) bool {
	r := b.deployment.record
	for _, m := range b.deployment.machines {
		r.log("%s: ended for its memory %d times", m.ip, p.kills[m.ip])
	}
	b.mutex.Lock()
	defer b.mutex.Unlock()
	lost := b.counts[lostBooking]
	r.log("%d bookings were sent on kept connections, ran at a sound upstream and got no answer; more than %d break the rule", lost, maxLost)
	return lost > maxLost
}

func (b *bookings) stop() {
	close(b.stopped)
	b.ended.Wait()
	b.deployment.record.log("bookings: %v", b.counts)
}
