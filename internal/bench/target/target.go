// Package target is a stand-in for a target.
package target

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// A Target answers HTTP calls after a service time, a limited number at once.
type Target struct {
	name    string
	server  *http.Server
	address netip.AddrPort
	slots   chan struct{}
	service time.Duration
	runs    atomic.Int64
}

// An Option sets a property of a Target.
type Option func(*Target)

// WithSlots sets how many calls run at once. Others wait.
func WithSlots(n int) Option { return func(t *Target) { t.slots = make(chan struct{}, n) } }

// WithServiceTime sets how long a call runs.
func WithServiceTime(d time.Duration) Option { return func(t *Target) { t.service = d } }

// New starts a Target on a free port of loopback.
func New(name string, options ...Option) (*Target, error) {
	t := &Target{name: name, slots: make(chan struct{}, 10), service: 2 * time.Millisecond}
	for _, o := range options {
		o(t)
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Annotate(err, "listen")
	}
	t.address = l.Addr().(*net.TCPAddr).AddrPort()
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: time.Second}
	go func() { _ = t.server.Serve(l) }()
	return t, nil
}

// Address returns where the target listens.
func (t *Target) Address() netip.AddrPort { return t.address }

// Runs returns how many calls were run.
func (t *Target) Runs() int64 { return t.runs.Load() }

// Close stops the target at once.
func (t *Target) Close() { t.server.Close() }

// Shutdown stops the target after the calls in flight.
func (t *Target) Shutdown(ctx context.Context) error { return t.server.Shutdown(ctx) }

// ServeHTTP implements http.Handler.
func (t *Target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	t.slots <- struct{}{}
	defer func() { <-t.slots }()
	t.runs.Add(1)
	time.Sleep(t.service)
	fmt.Fprintf(w, "%s %s %s %d", t.name, r.Method, r.URL.Path, len(body))
}
