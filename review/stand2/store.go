package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// An item is one key of the store, or its deletion.
type item struct {
	Key      string
	Value    []byte `json:",omitempty"`
	Revision uint64
	Created  uint64 `json:",omitempty"`
	Lease    uint64
	Deleted  bool `json:",omitempty"`
}

// A store is the platform's metadata store without faults.
type store struct {
	mutex    sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	changed  chan struct{}
	server   *http.Server
}

func newStore(address string) (*store, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	s := &store{revision: 1, items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/kv-key", s.handleKey)
	mux.HandleFunc("GET /-/kv-range", s.handleRange)
	mux.HandleFunc("GET /-/kv-watch", s.handleWatch)
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// put writes a value and returns when the store accepted it.
func (s *store) put(key string, value any) time.Time {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	i := s.items[key]
	s.revision++
	i.Key, i.Value, i.Revision = key, b, s.revision
	if i.Created == 0 {
		i.Created = s.revision
	}
	s.items[key] = i
	s.record(i)
	return time.Now()
}

// remove removes a key and returns when the store accepted that.
func (s *store) remove(key string) time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.revision++
		s.record(item{Key: key, Revision: s.revision, Deleted: true})
	}
	return time.Now()
}

// record adds a change to the history. The caller holds the lock.
func (s *store) record(i item) {
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) handleKey(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	i, ok := s.items[r.URL.Query().Get("Key")]
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	respond(w, struct {
		item
		CurrentRev uint64
	}{i, s.revision})
}

func (s *store) handleRange(w http.ResponseWriter, r *http.Request) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	prefix, after := r.URL.Query().Get("PathPrefix"), r.URL.Query().Get("after")
	found := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	respond(w, map[string]any{"items": found, "HasMore": false, "CurrentRev": s.revision})
}

func (s *store) handleWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mutex.Lock()
		found := []item{}
		for _, i := range s.events {
			if i.Revision > after && strings.HasPrefix(i.Key, query.Get("PathPrefix")) {
				found = append(found, i)
			}
		}
		revision, changed := s.revision, s.changed
		s.mutex.Unlock()
		ended := false
		if len(found) == 0 {
			select {
			case <-changed:
				continue
			case <-timeout:
				ended = true
			case <-r.Context().Done():
				return
			}
		}
		if len(found) > 0 || ended {
			respond(w, map[string]any{"events": found, "CurrentRev": revision})
			return
		}
	}
}

func respond(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
