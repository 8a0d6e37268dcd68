// Package httpd is the task that serves an HTTP handler at an address, for operators or readiness checks.
package httpd

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/limit"
	"jacinthcross/internal/super/tree"
)

const (
	// stopTimeout limits the wait for responses in progress when the task stops. The server also waits for connections that
	// have not sent a request, up to this time, which is part of the time for a planned stop.
	stopTimeout = 50 * time.Millisecond
	// Few clients use these addresses, with short requests without a body. Their responses are at most some 100 KiB.
	headerTimeout   = 3 * time.Second
	responseTimeout = 10 * time.Second
	idleTimeout     = 15 * time.Second
	maxHeader       = 16 << 10
	// defaultMaxConnections is far above the number of clients of an address.
	defaultMaxConnections = 64
)

// A Task owns the listening socket and its connections.
type Task struct {
	*tree.Loop
	server         *http.Server
	maxConnections int
	limitReporter  *limit.Reporter
}

// An Option sets a property of a Task.
type Option func(*Task)

// WithMaxConnections limits the open connections. Above it, the one that was accepted first is closed, so that clients
// that keep their connections open do not keep others out.
func WithMaxConnections(n int) Option { return func(t *Task) { t.maxConnections = n } }

// WithLimitReporter sets the Reporter that records when the limit is reached.
func WithLimitReporter(r *limit.Reporter) Option { return func(t *Task) { t.limitReporter = r } }

// New starts the task. The name is used in logs and errors.
func New(name string, at netip.AddrPort, handler http.Handler, options ...Option) (*Task, error) {
	l, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, errors.Annotatef(err, "listen for %s at %s", name, at)
	}
	t := &Task{Loop: tree.NewLoop(), maxConnections: defaultMaxConnections, limitReporter: limit.NewReporter(func(limit.Name, int) {})}
	for _, o := range options {
		o(t)
	}
	t.server = &http.Server{
		Handler: withoutBody(handler), ReadHeaderTimeout: headerTimeout, ReadTimeout: headerTimeout, WriteTimeout: responseTimeout,
		IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeader, ErrorLog: log.New(io.Discard, "", 0),
	}
	// The server reports each connection to the goroutine that owns the list of them, before it reads from it and after it
	// has closed it.
	changes := make(chan connectionState)
	t.server.ConnState = func(c net.Conn, s http.ConnState) {
		if s == http.StateNew || s == http.StateClosed {
			select {
			case changes <- connectionState{c, s}:
			case <-t.Done():
			}
		}
	}
	served := make(chan error, 1)
	go func() { served <- t.server.Serve(l) }()
	go func() {
		t.Run(func() error { return errors.Annotatef(t.loop(changes, served), "serve %s", name) })
	}()
	return t, nil
}

// A connectionState reports that a connection was accepted or closed.
type connectionState struct {
	connection net.Conn
	state      http.ConnState
}

// loop bounds the open connections until the task stops or the server fails.
func (t *Task) loop(changes <-chan connectionState, served <-chan error) error {
	var open []net.Conn
	stopped := make(chan error, 1)
	stopping := t.Stopping()
	for {
		select {
		case c := <-changes:
			if c.state == http.StateClosed {
				open = without(open, c.connection)
				continue
			}
			if open = append(open, c.connection); len(open) > t.maxConnections {
				_ = open[0].Close()
				open = open[1:]
				t.limitReporter.Closed(limit.Operators, 1)
			}
		case err := <-served:
			if !errors.Is(err, http.ErrServerClosed) {
				return err
			}
			served = nil
		case <-stopping:
			stopping = nil
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
				defer cancel()
				stopped <- t.server.Shutdown(ctx)
			}()
		case err := <-stopped:
			if err != nil {
				// Clients that are still connected do not delay the end.
				_ = t.server.Close()
			}
			return nil
		}
	}
}

func without(connections []net.Conn, c net.Conn) []net.Conn {
	for i, o := range connections {
		if o == c {
			return append(connections[:i:i], connections[i+1:]...)
		}
	}
	return connections
}

// withoutBody refuses requests with a body: no handler needs one. The server reads none of it then, beyond the part that
// came with the header.
func withoutBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
			http.Error(w, "a request without a body is expected", http.StatusRequestEntityTooLarge)
			return
		}
		next.ServeHTTP(w, r)
	})
}

// ReadyHandler returns a handler that responds at a path with 200 while ready returns true, and with 503 otherwise.
func ReadyHandler(path string, ready func() bool) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+path, func(w http.ResponseWriter, _ *http.Request) {
		if !ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	return mux
}
