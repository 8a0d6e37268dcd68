// Package httpd is the task that serves an HTTP handler at an address, for operators or readiness checks.
package httpd

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/lesismal/nbio/nbhttp"

	"jacinthcross/internal/super/tree"
)

// stopTimeout limits the wait for responses in progress when the task stops.
const stopTimeout = time.Second

// A Task owns the listening socket and its connections.
type Task struct {
	*tree.Loop
	engine *nbhttp.Engine
}

// New starts the task. The name is used in logs and errors.
func New(name string, at netip.AddrPort, handler http.Handler) (*Task, error) {
	// If the address is in use, Start would wait forever for its poller, so the socket is opened first.
	listener, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, errors.Annotatef(err, "listen for %s at %s", name, at)
	}
	t := &Task{Loop: tree.NewLoop(), engine: nbhttp.NewEngine(nbhttp.Config{
		Listen: func(string, string) (net.Listener, error) { return listener, nil },
		Name:   name, Network: "tcp", Addrs: []string{at.String()}, NPoller: 1, Handler: handler,
		// In non-blocking mode the listener of nbio writes a field of a connection when its poller may already
		// read it, which is a data race. There are few connections, so each may have a goroutine.
		IOMod: nbhttp.IOModBlocking,
	})}
	if err := t.engine.Start(); err != nil {
		listener.Close()
		return nil, errors.Annotatef(err, "listen for %s at %s", name, at)
	}
	go func() {
		t.Run(func() error {
			<-t.Stopping()
			ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
			defer cancel()
			return errors.Annotatef(t.engine.Shutdown(ctx), "stop listening for %s", name)
		})
	}()
	return t, nil
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
