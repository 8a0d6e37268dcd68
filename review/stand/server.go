package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"time"

	"jacinthcross/internal/bench/bind"
	"jacinthcross/platform/fake"
)

// heartbeat is how often a server writes its entry.
const heartbeat = 1500 * time.Millisecond

// An answer is what a server sends after a run.
type answer struct {
	work time.Duration
	body []byte
}

// A behaviour returns the answer to a request.
type behaviour func(r *http.Request) answer

// A run is the execution of one request.
type run struct {
	id, server, path string
	started, ended   time.Time
	// delivered is true if the whole answer was handed to the connection and the daemon had not closed it.
	delivered bool
}

// A server stands in for an upstream as the platform's pages describe it.
type server struct {
	id, service, zone string
	slots             int
	address           netip.AddrPort
	// entry is the address in the entry of the server, if that is another one.
	entry  netip.AddrPort
	behave behaviour
	store  *fake.Store
	record *record

	mutex    sync.Mutex
	http     *http.Server
	stopped  chan struct{}
	born     int64
	sequence int
	state    string
	running  int
	runs     []run
}

// start starts a process of the server. It may be called again after crash.
func (s *server) start() error {
	l, err := bind.Listen(s.address)
	if err != nil {
		return err
	}
	h := &http.Server{Handler: http.HandlerFunc(s.serve), IdleTimeout: 10 * time.Second}
	stopped := make(chan struct{})
	s.mutex.Lock()
	s.http, s.stopped, s.born, s.sequence, s.state = h, stopped, time.Now().UnixMilli(), 0, "ready"
	s.mutex.Unlock()
	go func() { _ = h.Serve(l) }()
	s.register()
	go func() {
		for beat := time.NewTicker(heartbeat); ; {
			select {
			case <-beat.C:
				s.register()
			case <-stopped:
				beat.Stop()
				return
			}
		}
	}()
	return nil
}

// stop ends the process of the server. Its entry stays.
func (s *server) stop() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	close(s.stopped)
	_ = s.http.Close()
}

// drain makes the server report that it leaves. It goes on serving.
func (s *server) drain() {
	s.mutex.Lock()
	s.state = "draining"
	s.mutex.Unlock()
	s.register()
}

func (s *server) register() { s.store.Put("servers/"+s.id, s.report()) }

// setEntry sets the address in the entry of the server.
func (s *server) setEntry(address netip.AddrPort) {
	s.mutex.Lock()
	s.entry = address
	s.mutex.Unlock()
	s.register()
}

// report returns the next report of the server to the store.
func (s *server) report() []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.sequence++
	address := s.address
	if s.entry.IsValid() {
		address = s.entry
	}
	b, err := json.Marshal(map[string]any{
		"Address": address.String(),
		"Info":    map[string]any{"Service": s.service, "Version": "v1", "Zone": s.zone, "Slots": s.slots},
		"Status":  map[string]any{"State": s.state, "Sequence": s.sequence, "ColdRemaining": "0ms"},
		"born":    s.born,
	})
	if err != nil {
		panic(err)
	}
	return b
}

func (s *server) load() string { return fmt.Sprintf("%d,0,%d,100", s.running, s.slots) }

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("X-Jacinthcross-Request-Id")
	h := w.Header()
	s.mutex.Lock()
	h.Set("X-Jacinthcross-Server-Load", s.load())
	if r.URL.Path == "/healthz" {
		s.mutex.Unlock()
		h.Set("X-Jacinthcross-Instance-Id", s.id)
		return
	}
	if id != "" {
		h.Set("X-Jacinthcross-Request-Id", id)
	}
	expected := r.Header.Get("X-Jacinthcross-Expect-Instance")
	switch {
	case expected != "" && expected != s.id:
		s.mutex.Unlock()
		h.Set("X-Jacinthcross-Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	case id == "":
		s.mutex.Unlock()
		h.Set("X-Jacinthcross-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	case s.running >= s.slots:
		s.mutex.Unlock()
		h.Set("X-Jacinthcross-Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.running++
	s.mutex.Unlock()
	one := run{id: id, server: s.id, path: r.URL.Path, started: time.Now()}
	_, _ = io.Copy(io.Discard, r.Body)
	a := s.behave(r)
	select {
	case <-time.After(a.work):
	case <-r.Context().Done():
	}
	one.ended, one.delivered = time.Now(), r.Context().Err() == nil
	s.mutex.Lock()
	s.running--
	s.mutex.Unlock()
	h.Set("X-Jacinthcross-Response-Stamp", "stamp."+id)
	h.Set("Content-Length", strconv.Itoa(len(a.body)))
	if _, err := w.Write(a.body); err != nil {
		one.delivered = false
	}
	s.mutex.Lock()
	s.runs = append(s.runs, one)
	s.mutex.Unlock()
	s.record.add("server %s ran %s %s %s for %d ms, answered with %d bytes: %t", s.id, r.Method, one.path, id, one.ended.Sub(one.started).Milliseconds(), len(a.body), one.delivered)
}

// finished returns the run of a request that has ended with an answer.
func (f *fleet) finished(id string) (run, bool) {
	for _, n := range f.nodes {
		n.server.mutex.Lock()
		for _, r := range n.server.runs {
			if r.id == id && r.delivered {
				n.server.mutex.Unlock()
				return r, true
			}
		}
		n.server.mutex.Unlock()
	}
	return run{}, false
}
