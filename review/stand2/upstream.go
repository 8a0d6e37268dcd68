package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// A run is a request that an upstream has run.
type run struct {
	id         string
	upstream   string
	method     string
	path       string
	bytes      int
	arrived    time.Time
	ended      time.Time
	disrupted  bool
	deadlineMs int
}

// An upstream is an application server of a service with an entry in the store.
type upstream struct {
	id, service, zone, address string
	slots                      int
	work                       time.Duration
	answer                     []byte
	// echo makes the upstream answer with the method and the path of the request. copied holds the paths whose answers it sends
	// once more, where the answer to the next request of the connection is expected.
	echo       bool
	copied     map[string]bool
	store      *store
	record     *record
	born       time.Time
	server     *http.Server
	slotsInUse chan struct{}

	mutex    sync.Mutex
	sequence int
	running  int
	waiting  int
	leaving  bool
	runs     []*run
}

// queueLength is how many requests an upstream queues beyond its slots.
const queueLength = 24

func (u *upstream) start() error {
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.born, u.slotsInUse = time.Now(), make(chan struct{}, u.slots)
	if u.answer == nil {
		u.answer = []byte("the bytes of upstream " + u.id + "\n")
	}
	u.server = &http.Server{Handler: u, ReadHeaderTimeout: time.Minute, IdleTimeout: 10 * time.Second, ConnContext: withLastAnswer}
	go func() { _ = u.server.Serve(l) }()
	u.report("ready")
	return nil
}

// report writes the entry of the upstream and returns when the store accepted it.
func (u *upstream) report(state string) time.Time {
	u.mutex.Lock()
	u.sequence++
	sequence := u.sequence
	u.leaving = state != "ready"
	u.mutex.Unlock()
	return u.store.put("servers/"+u.id, map[string]any{
		"Address": u.address,
		"Info":    map[string]any{"Service": u.service, "Version": "v1", "Zone": u.zone, "Slots": u.slots},
		"Status":  map[string]any{"State": state, "Sequence": sequence, "ColdRemaining": "0ms"},
		"born":    u.born.UnixMilli(),
	})
}

// exit ends the upstream: its connections are closed, and the address has no listener any more.
func (u *upstream) exit() {
	_ = u.server.Close()
	u.record.log("upstream %s has exited", u.id)
}

// ServeHTTP implements http.Handler.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	u.mutex.Lock()
	load := fmt.Sprintf("%d,%d,%d,100", u.running, u.waiting, u.slots)
	leaving, full := u.leaving, u.waiting >= queueLength
	u.mutex.Unlock()
	h := w.Header()
	h.Set("X-Jacinthcross-Server-Load", load)
	if r.URL.Path == "/healthz" {
		h.Set("X-Jacinthcross-Instance-Id", u.id)
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Jacinthcross-Request-Id")
	h.Set("X-Jacinthcross-Request-Id", id)
	if expected := r.Header.Get("X-Jacinthcross-Expect-Instance"); expected != "" && expected != u.id {
		h.Set("X-Jacinthcross-Instance-Id", u.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if id == "" {
		h.Set("X-Jacinthcross-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if full {
		h.Set("X-Jacinthcross-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	arrived := time.Now()
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		u.record.log("upstream %s got a part of request %s and did not run it", u.id, id)
		return
	}
	u.execute(w, r, id, arrived, int(n))
}

// execute runs a request whose body is there.
func (u *upstream) execute(w http.ResponseWriter, r *http.Request, id string, arrived time.Time, bytes int) {
	u.count(0, 1)
	u.slotsInUse <- struct{}{}
	u.count(1, -1)
	deadline, _ := strconv.Atoi(r.Header.Get("X-Jacinthcross-Deadline-Ms"))
	o := &run{id: id, upstream: u.id, method: r.Method, path: r.URL.Path, bytes: bytes, arrived: arrived, deadlineMs: deadline}
	u.mutex.Lock()
	u.runs = append(u.runs, o)
	u.mutex.Unlock()
	u.record.log("upstream %s runs request %s (%s %s, %d bytes, %d ms left)", u.id, id, r.Method, r.URL.Path, bytes, deadline)
	disrupted := false
	select {
	case <-time.After(u.work):
	case <-r.Context().Done():
		disrupted = true
	}
	<-u.slotsInUse
	u.count(-1, 0)
	u.mutex.Lock()
	o.ended, o.disrupted = time.Now(), disrupted
	u.mutex.Unlock()
	if disrupted {
		u.record.log("upstream %s: the run of request %s was cut off", u.id, id)
		return
	}
	answer := u.answer
	if u.echo {
		answer = []byte("the answer to " + r.Method + " " + r.URL.Path)
	}
	w.Header().Set("X-Jacinthcross-Response-Stamp", "stamp."+id)
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if len(u.copied) > 0 && u.sendLateCopy(w, r, answer) {
		return
	}
	_, _ = w.Write(answer)
}

func (u *upstream) count(running, waiting int) {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	u.running += running
	u.waiting += waiting
}

// allRuns returns what the upstream has run so far.
func (u *upstream) allRuns() []run {
	u.mutex.Lock()
	defer u.mutex.Unlock()
	var out []run
	for _, r := range u.runs {
		out = append(out, *r)
	}
	return out
}
