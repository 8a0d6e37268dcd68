// Package admin is the task that answers operators over HTTP.
package admin

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/lesismal/nbio/nbhttp"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	fleet "jacinthcross/internal/fleet/member"
	"jacinthcross/internal/fleet/relay"
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/task/keeper"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/task/member"
	"jacinthcross/internal/task/router"
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
	Member     *mail.Box[member.Message]
	Metrics    http.Handler
}

// A Status is the state of a daemon as JSON.
type Status struct {
	VM          ident.VM
	DataCentre  ident.DataCentre
	Version     string
	Unconfirmed bool
	Release     ReleaseStatus
	Service     ServiceStatus
	Target      TargetStatus
	Peers       PeersStatus
	Calls       int
}

// A ReleaseState tells whether enough daemons hold a release.
type ReleaseState string

// The states of a release. None means that the daemon holds no release.
const (
	None     ReleaseState = "None"
	Pending  ReleaseState = "Pending"
	Accepted ReleaseState = "Accepted"
)

// A ReleaseStatus tells which release is in force.
type ReleaseStatus struct {
	Serial   ident.Serial
	Digest   string
	State    ReleaseState
	Holders  int
	Since    time.Time
	Targets  int
	Services int
	Lagging  []ident.VM
	Refusals []string
}

// A ServiceStatus tells how the daemon reads the configuration service and the VM list.
type ServiceStatus struct {
	Duty        relay.Duty
	Known       bool
	AgeSeconds  float64
	ListVersion uint64
}

// A PeersStatus counts the peers by state and names those that are not alive.
type PeersStatus struct {
	Count  map[fleet.State]int
	Others []PeerStatus
}

// A PeerStatus is the state of one peer.
type PeerStatus struct {
	VM     ident.VM
	Daemon netip.AddrPort
	State  fleet.State
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
	// The library waits forever for its poller when an address is taken, so the socket is opened before it starts.
	listener, err := net.Listen("tcp", at.String())
	if err != nil {
		return nil, errors.Annotatef(err, "listen for operators at %s", at)
	}
	t.engine = nbhttp.NewEngine(nbhttp.Config{
		Listen: func(string, string) (net.Listener, error) { return listener, nil },
		Name:   "admin", Network: "tcp", Addrs: []string{at.String()}, NPoller: 1, Handler: mux,
		// The non-blocking listener of the library writes a field of a connection after its poller may
		// read it, which the race detector reports. Operators' connections are few, so each may have a goroutine.
		IOMod: nbhttp.IOModBlocking,
	})
	if err := t.engine.Start(); err != nil {
		listener.Close()
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
	m := mail.NewBox[[]fleet.Change](1)
	if !t.config.Keeper.TryPut(keeper.StatusAsk{Reply: k}) ||
		!t.config.Router.TryPut(router.StatusAsk{Reply: r}) ||
		!t.config.Local.TryPut(local.LoadAsk{Reply: l}) ||
		!t.config.Member.TryPut(member.StatusAsk{Reply: m}) {
		return nil, errors.New("a task is busy")
	}
	s := &Status{VM: t.config.VM, DataCentre: t.config.DataCentre, Version: t.config.Version}
	timeout := time.After(askTimeout)
	for range 4 {
		select {
		case v := <-k.C():
			s.setKeeper(v)
		case v := <-r.C():
			s.Calls = v.Calls
		case v := <-l.C():
			s.Target.InFlight, s.Target.Queued, s.Target.Limit = v.InFlight, v.Queued, v.Limit
			s.Target.Draining, s.Target.Incarnation = v.Draining, v.Incarnation.String()
		case v := <-m.C():
			s.setPeers(v)
		case <-timeout:
			return nil, errors.Timeoutf("state of a task")
		}
	}
	return s, nil
}

func (s *Status) setKeeper(v keeper.Status) {
	s.Unconfirmed = !v.Confirmed
	s.Release = ReleaseStatus{
		Serial: v.Head.Serial, Digest: v.Head.Digest.String(), State: Pending, Holders: v.Holders, Since: v.Since,
		Targets: len(v.Release.Targets), Services: len(v.Release.Services), Lagging: v.Lagging, Refusals: v.Refusals,
	}
	switch {
	case v.Head.IsZero():
		s.Release.State = None
	case v.Accepted:
		s.Release.State = Accepted
	}
	s.Service = ServiceStatus{
		Duty: v.Duty, Known: v.ServiceKnown, AgeSeconds: v.ServiceAge.Seconds(), ListVersion: v.ListVersion,
	}
	if target, ok := v.Release.TargetOn(s.VM); ok {
		s.Target.Name = target.Name
	}
}

func (s *Status) setPeers(peers []fleet.Change) {
	s.Peers.Count = map[fleet.State]int{}
	for _, p := range peers {
		if p.VM == s.VM {
			continue
		}
		s.Peers.Count[p.State]++
		if p.State != fleet.Alive {
			s.Peers.Others = append(s.Peers.Others, PeerStatus{VM: p.VM, Daemon: p.Daemon, State: p.State})
		}
	}
}
