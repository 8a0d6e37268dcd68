// Package config is a stand-in for the configuration service: values that can be read and watched.
package config

import (
	"crypto/sha256"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/juju/errors"
)

// A Service holds values with versions and counts the calls of its readers.
type Service struct {
	mutex   sync.Mutex
	values  map[string]value
	version uint64
	changed chan struct{}
	calls   int
	serial  int
	last    string
	server  *http.Server
	address netip.AddrPort
}

type value struct {
	text    []byte
	version uint64
}

// New starts a Service on a free port of loopback.
func New() (*Service, error) {
	s := &Service{values: map[string]value{}, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotate(err, "listen")
	}
	s.address = l.Addr().(*net.TCPAddr).AddrPort()
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// URL returns the address of the service for the settings of a daemon.
func (s *Service) URL() string { return "http://" + s.address.String() }

// Calls returns how many calls readers have made.
func (s *Service) Calls() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.calls
}

// Close stops the service.
func (s *Service) Close() { s.server.Close() }

// Put sets a value.
func (s *Service) Put(key, text string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.version++
	s.values[key] = value{[]byte(text), s.version}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Publish publishes the next release note with the entries in body.
func (s *Service) Publish(body string) {
	s.serial++
	text := fmt.Sprintf("Serial = %d\nPrevious = %q\n%s", s.serial, s.last, body)
	s.last = fmt.Sprintf("%x", sha256.Sum256([]byte(text)))
	s.Put(fmt.Sprintf("note/%d", s.serial), text)
	s.Put("head", fmt.Sprintf("Serial = %d\nDigest = %q\n", s.serial, s.last))
}

// ServeHTTP implements http.Handler.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, ok := strings.CutPrefix(r.URL.Path, "/v1/values/")
	if !ok || r.Method != http.MethodGet {
		http.Error(w, "values can only be read", http.StatusMethodNotAllowed)
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	s.mutex.Lock()
	s.calls++
	s.mutex.Unlock()
	for {
		s.mutex.Lock()
		v, found := s.values[key]
		changed := s.changed
		s.mutex.Unlock()
		if found && v.version > after {
			w.Header().Set("Value-Version", strconv.FormatUint(v.version, 10))
			_, _ = w.Write(v.text)
			return
		}
		select {
		case <-changed:
		case <-timeout:
			if found {
				w.WriteHeader(http.StatusNotModified)
			} else {
				http.NotFound(w, r)
			}
			return
		case <-r.Context().Done():
			return
		}
	}
}
