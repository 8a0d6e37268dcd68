// Package admin is the task that answers operators over HTTP.
package admin

import (
	"context"
	"encoding/json"
	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/task/keeper"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/task/router"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/lesismal/nbio/nbhttp"
)

// A Task owns the socket for operators.
type Task struct {
	*tree.Loop
	engine *nbhttp.Engine
	config Config
}

// A Config names the daemon and the mailboxes of the tasks that know its state.
type Config struct {
	VM         ident.VM
	DataCentre ident.DataCentre
	Version    string
	Keeper     *mail.Box[keeper.Message]
	Router     *mail.Box[router.Message]
	Local      *mail.Box[local.Message]
	Metrics    http.Handler
}

// A Status is the state of a daemon as JSON.
type Status struct {
	VM         ident.VM
	DataCentre ident.DataCentre
	Version    string
	Release    ReleaseStatus
	Target     TargetStatus
	Calls      int
}

// A ReleaseStatus tells which release is in force.
type ReleaseStatus struct {
	Serial   ident.Serial
	Digest   string
	Since    time.Time
	Targets  int
	Services int
	Refusals []string
}

// A TargetStatus tells of the target beside the daemon.
type TargetStatus struct {
	Name        ident.Target
	InFlight    int
	Queued      int
	Limit       int
	Draining    bool
	Incarnation string
}

// New starts the task that listens for operators at an address.
func New(at netip.AddrPort, config Config) (*Task, error) {
	t := &Task{Loop: tree.NewLoop(), config: config}
	mux := http.NewServeMux()
	mux.HandleFunc("/status", t.status)
	if config.Metrics != nil {
		mux.Handle("/metrics", config.Metrics)
	}
	t.engine = nbhttp.NewEngine(nbhttp.Config{
		Name: "admin", Network: "tcp", Addrs: []string{at.String()}, NPoller: 1, Handler: mux,
	})
	if err := t.engine.Start(); err != nil {
		return nil, errors.Annotatef(err, "listen for operators at %s", at)
	}
	go func() {
		t.Run(func() error {
			<-t.Stopping()
			ctx, cancel := context.WithTimeout(context.Background(), askTimeout)
			defer cancel()
			return errors.Annotate(t.engine.Shutdown(ctx), "stop listening for operators")
		})
	}()
	return t, nil
}

// askTimeout bounds how long a task may take to tell its state.
const askTimeout = time.Second

func (t *Task) status(w http.ResponseWriter, _ *http.Request) {
	s, err := t.collect()
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

func (t *Task) collect() (*Status, error) {
	k, r, l := mail.NewBox[keeper.Status](1), mail.NewBox[router.Status](1), mail.NewBox[call.Load](1)
	if !t.config.Keeper.TryPut(keeper.StatusAsk{Reply: k}) ||
		!t.config.Router.TryPut(router.StatusAsk{Reply: r}) ||
		!t.config.Local.TryPut(local.LoadAsk{Reply: l}) {
		return nil, errors.New("a task is busy")
	}
	s := &Status{VM: t.config.VM, DataCentre: t.config.DataCentre, Version: t.config.Version}
	timeout := time.After(askTimeout)
	for range 3 {
		select {
		case v := <-k.C():
			s.Release = ReleaseStatus{
				Serial: v.Head.Serial, Digest: v.Head.Digest.String(), Since: v.Since,
				Targets: len(v.Release.Targets), Services: len(v.Release.Services), Refusals: v.Refusals,
			}
			if target, ok := v.Release.TargetOn(s.VM); ok {
				s.Target.Name = target.Name
			}
		case v := <-r.C():
			s.Calls = v.Calls
		case v := <-l.C():
			s.Target.InFlight, s.Target.Queued, s.Target.Limit = v.InFlight, v.Queued, v.Limit
			s.Target.Draining, s.Target.Incarnation = v.Draining, v.Incarnation.String()
		case <-timeout:
			return nil, errors.Timeoutf("state of a task")
		}
	}
	return s, nil
}
