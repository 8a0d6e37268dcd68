package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	// garbleTime is how long the upstream sends answers twice, and garbleShare the largest share of its answers.
	garbleTime  = 5 * time.Second
	garbleShare = 0.03
	// withID is the number of requesters that send ids, at a daemon of their own.
	withID = 4
	// idPrefix begins the ids of their requests.
	idPrefix = "9c41d07be2a3"
)

// lastAnswerKey is the key of the answer that is to be sent again in the context of a connection.
type lastAnswerKey struct{}

// withLastAnswer adds room for an answer to the context of a connection. The requests of a connection are served one after the
// other.
func withLastAnswer(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, lastAnswerKey{}, &[]byte{})
}

// sendLateCopy sends an earlier answer of the connection once more and the answer to the current request behind it, and
// reports whether there was one to be sent again.
func (u *upstream) sendLateCopy(w http.ResponseWriter, r *http.Request, answer []byte) bool {
	last, ok := r.Context().Value(lastAnswerKey{}).(*[]byte)
	if !ok {
		return false
	}
	var current bytes.Buffer
	current.WriteString("HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(&current)
	if len(*last) == 0 {
		if u.copied[r.URL.Path] {
			*last = append(append(current.Bytes(), "\r\n"...), answer...)
		}
		return false
	}
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return false
	}
	defer c.Close()
	current.WriteString("Connection: close\r\n\r\n")
	current.Write(answer)
	u.record.log("upstream %s sends an earlier answer of the connection once more, and behind it that to %s %s", u.id, r.Method, r.URL.Path)
	_, _ = c.Write(append(*last, current.Bytes()...))
	return true
}

// bookingOf returns a booking with the path of its requester.
func bookingOf(id, name string, n int) request {
	return request{id: id, method: http.MethodPost, host: host, path: fmt.Sprintf("/book/%s-%d", name, n), body: []byte("hall"), timeBudget: 4 * time.Second}
}

// answers counts what requesters got.
type answers struct {
	mutex          sync.Mutex
	total, foreign int
}

// book sends a booking and counts its answer.
func (a *answers) book(d *deployment, m *machine, q request) {
	r := q.send(m.address(d.ports.outbound))
	a.mutex.Lock()
	defer a.mutex.Unlock()
	a.total++
	if r.isWhole() && string(r.body) != "the answer to "+q.method+" "+q.path {
		a.foreign++
		d.record.log("FOREIGN: request %s %s (id %q) at %s: %v, %q", q.method, q.path, q.id, m.ip, r, r.body)
		return
	}
	d.record.log("request %s %s (id %q) at %s: %v", q.method, q.path, q.id, m.ip, r)
}

// playExtra lets two requesters without ids book by turns at two daemons, and others with ids at a third one. The bookings go
// to one upstream, which sends some answers twice.
func playExtra(r *record, trouble bool) (bool, error) {
	d, err := newDeployment(
		r, meshBounds, meshMemoryMB,
		place{service: "catalogue", zone: "glasgow", slots: 6, work: 160 * time.Millisecond},
		place{service: "catalogue", zone: "edinburgh", slots: 6, work: 160 * time.Millisecond},
		place{service: "catalogue", zone: "aberdeen", slots: 6, work: 160 * time.Millisecond},
		place{service: "bookings", zone: "inverness", slots: 6, work: 210 * time.Millisecond},
	)
	if err != nil {
		return false, err
	}
	defer d.close()
	u := d.machines[3].upstream
	u.echo, u.copied = true, map[string]bool{}
	if trouble {
		for _, n := range []int{2, 6} {
			u.copied[bookingOf("", "a", n).path] = true
		}
	}
	if err := d.start(
		route{name: "hire-booking", prefix: "/book/", kind: "unsafe", service: "bookings", timeout: 2 * time.Second, aim: 600 * time.Millisecond, attempts: 2},
	); err != nil {
		return false, err
	}
	time.Sleep(4 * time.Second)
	var a answers
	var g sync.WaitGroup
	end := time.Now().Add(garbleTime)
	for k := range withID {
		g.Go(func() {
			// They don't begin at the moments at which the bookings without ids do.
			time.Sleep(time.Duration(60+20*k) * time.Millisecond)
			for n := 0; time.Now().Before(end); n++ {
				a.book(d, d.machines[2], bookingOf(fmt.Sprintf("%s%d%03d", idPrefix, k, n), fmt.Sprintf("id%d", k), n))
			}
		})
	}
	for n := 0; time.Now().Before(end); n++ {
		a.book(d, d.machines[0], bookingOf("", "a", n))
		a.book(d, d.machines[1], bookingOf("", "b", n))
	}
	g.Wait()
	r.log("%d of %d requests got the answer to another one; the upstream sent at most %d answers twice", a.foreign, a.total, len(u.copied))
	unsent := 0
	for _, o := range u.allRuns() {
		if !strings.HasPrefix(o.id, idPrefix) {
			unsent++
		}
	}
	r.log("%d runs had an id that nobody sent", unsent)
	if float64(len(u.copied)) > garbleShare*float64(a.total) {
		return false, fmt.Errorf("%d answers are too few for %d copies", a.total, len(u.copied))
	}
	return a.foreign > 0, nil
}
