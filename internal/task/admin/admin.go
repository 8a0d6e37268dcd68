// Package admin is the task that serves the status and the metrics of the daemon to operators over HTTP.
package admin

import (
	"encoding/json"
	"maps"
	"net/http"
	"net/netip"
	"slices"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	fleetmember "jacinthcross/internal/fleet/member"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/fleet/relay"
	"jacinthcross/internal/task/feed"
	"jacinthcross/internal/task/gossip"
	"jacinthcross/internal/task/httpd"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/task/member"
	"jacinthcross/internal/task/router"
)

// A handler serves the status of the daemon.
type handler struct{ config Config }

// A Config describes the daemon, the mailboxes of the tasks that supply its status, and the handler of its metrics.
type Config struct {
	VM         ident.VM
	DataCentre ident.DataCentre
	Version    string
	// Either Gossip or Feed supplies the release, depending on the source of releases in the settings. The other is
	// nil.
	Gossip  *mail.Box[gossip.Message]
	Feed    *mail.Box[feed.Message]
	Router  *mail.Box[router.Message]
	Local   *mail.Box[local.Message]
	Member  *mail.Box[member.Message]
	Metrics http.Handler
}

// A Status is the state of a daemon, which is served as JSON.
type Status struct {
	VM         ident.VM
	DataCentre ident.DataCentre
	Version    string
	// Unconfirmed is set until peers have confirmed the release (see gossip.Config.AnnounceConfirmed). It is never set
	// if the release comes from a store.
	Unconfirmed bool
	Release     ReleaseStatus
	Service     SourceStatus
	Target      TargetStatus
	Peers       PeersStatus
	// Calls is the number of calls that have no outcome yet.
	Calls int
}

// A ReleaseState tells whether enough daemons hold a release. Holders of a release from a store are not counted: it is
// always accepted.
type ReleaseState string

const (
	// ReleaseNone means that the daemon holds no release.
	ReleaseNone ReleaseState = "None"
	// ReleasePending means that too few daemons hold the release so far.
	ReleasePending ReleaseState = "Pending"
	// ReleaseAccepted means that enough daemons hold the release, or that it comes from a store.
	ReleaseAccepted ReleaseState = "Accepted"
)

// A ReleaseStatus describes the release in force. Digest, Holders, Since, Lagging and Refusals are set only if the
// release comes from notes.
type ReleaseStatus struct {
	Serial ident.Serial
	// Era is the era of the store. It is 0 until the store has been restored from an older copy.
	Era ident.Era `json:",omitempty"`
	// Version is the version that operators gave the newest config. It is 0 unless the config comes from a store.
	Version uint64 `json:",omitempty"`
	Digest  string
	State   ReleaseState
	// Holders is the number of daemons that are known to hold the release.
	Holders int
	// Since is when the release came into force.
	Since    time.Time
	Targets  int
	Services int
	// Evacuated are the evacuated data centres, in order of their names.
	Evacuated []ident.DataCentre `json:",omitempty"`
	// Lagging are the VMs whose daemons reported a lower serial.
	Lagging []ident.VM
	// Refusals are the last mistakes found in refused notes and snapshots. They do not concern calls.
	Refusals []string
}

// A SourceStatus describes how the daemon reads the configuration service and the VM list, or the store.
type SourceStatus struct {
	Duty relay.Duty
	// Known is set if this daemon knows when the source was last read, by itself or by another daemon. AgeSeconds is
	// the time since then.
	Known      bool
	AgeSeconds float64
	// ListVersion is the version of the VM list.
	ListVersion uint64
	// Failing is the error of the last read of the store, or empty when it succeeded.
	Failing string `json:",omitempty"`
}

// A PeersStatus counts the peers by state and names those that are not alive.
type PeersStatus struct {
	Count  map[fleetmember.State]int
	Others []PeerStatus
}

// A PeerStatus is the state of one peer.
type PeerStatus struct {
	VM     ident.VM
	Daemon netip.AddrPort
	State  fleetmember.State
}

// A TargetStatus is the state of the target on the VM of the daemon.
type TargetStatus struct {
	Name        ident.Target
	InFlight    int
	Queued      int
	Limit       int
	Draining    bool
	Incarnation string
}

// New starts the task, which listens at an address.
func New(at netip.AddrPort, config Config, options ...httpd.Option) (*httpd.Task, error) {
	h := &handler{config: config}
	mux := http.NewServeMux()
	mux.HandleFunc("/status", h.status)
	if config.Metrics != nil {
		mux.Handle("/metrics", config.Metrics)
	}
	return httpd.New("operators", at, mux, options...)
}

// statusTimeout limits the wait for the states of the tasks.
const statusTimeout = time.Second

func (h *handler) status(w http.ResponseWriter, _ *http.Request) {
	s, err := h.collect()
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(s); err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
	}
}

func (h *handler) collect() (*Status, error) {
	g, f := mail.NewBox[gossip.Status](1), mail.NewBox[feed.Status](1)
	r, l, m := mail.NewBox[router.Status](1), mail.NewBox[call.Load](1), mail.NewBox[[]fleetmember.PeerState](1)
	if h.config.Gossip != nil && !h.config.Gossip.TryPut(gossip.StatusRequest{Reply: g}) ||
		h.config.Feed != nil && !h.config.Feed.TryPut(feed.StatusRequest{Reply: f}) ||
		!h.config.Router.TryPut(router.StatusRequest{Reply: r}) ||
		!h.config.Local.TryPut(local.LoadRequest{Reply: l}) ||
		!h.config.Member.TryPut(member.StatusRequest{Reply: m}) {
		return nil, errors.New("the status is not available: the mailbox of a task of this daemon is full; try again")
	}
	s := &Status{VM: h.config.VM, DataCentre: h.config.DataCentre, Version: h.config.Version}
	timeout := time.After(statusTimeout)
	// One state is received from each of four tasks: gossip or feed, and router, local and member.
	for range 4 {
		select {
		case v := <-g.C():
			s.setGossip(v)
		case v := <-f.C():
			s.setFeed(v)
		case v := <-r.C():
			s.Calls = v.Calls
		case v := <-l.C():
			s.Target.InFlight, s.Target.Queued, s.Target.Limit = v.InFlight, v.Queued, v.Limit
			s.Target.Draining, s.Target.Incarnation = v.Draining, v.Incarnation.String()
		case v := <-m.C():
			s.setPeers(v)
		case <-timeout:
			// Timeoutf appends " timeout".
			return nil, errors.Timeoutf("not all tasks of this daemon reported their states before the status")
		}
	}
	return s, nil
}

func (s *Status) setGossip(v gossip.Status) {
	s.Unconfirmed = !v.Confirmed
	s.setRelease(v.Release)
	s.Release.Digest, s.Release.Holders, s.Release.Since = v.Head.Digest.String(), v.Holders, v.HeadSince
	s.Release.Lagging, s.Release.Refusals = v.Lagging, v.Refusals
	if !v.Head.IsZero() && !v.Accepted {
		s.Release.State = ReleasePending
	}
	s.Service = SourceStatus{
		Duty: v.Duty, Known: v.ServiceReadAgeKnown, AgeSeconds: v.ServiceReadAge.Seconds(), ListVersion: v.ListVersion,
	}
}

func (s *Status) setFeed(v feed.Status) {
	s.setRelease(v.Release)
	s.Release.Version = v.Release.Version
	s.Service = SourceStatus{Known: !v.ConfirmedAt.IsZero(), Failing: v.LastError, Duty: relay.Idle}
	if v.ReadsStore {
		s.Service.Duty = relay.Watch
	}
	if s.Service.Known {
		s.Service.AgeSeconds = time.Since(v.ConfirmedAt).Seconds()
	}
}

// setRelease sets the release in force and the name of the target.
func (s *Status) setRelease(r *note.Release) {
	s.Release.Era = r.Head.Era
	s.Release.Serial, s.Release.Targets, s.Release.Services = r.Head.Serial, len(r.Targets), len(r.Services)
	s.Release.Evacuated = slices.Sorted(maps.Keys(r.Evacuated))
	if s.Release.State = ReleaseAccepted; r.Head.IsZero() {
		s.Release.State = ReleaseNone
	}
	if target, ok := r.TargetByVM(s.VM); ok {
		s.Target.Name = target.Name
	}
}

func (s *Status) setPeers(peers []fleetmember.PeerState) {
	s.Peers.Count = map[fleetmember.State]int{}
	for _, p := range peers {
		if p.VM == s.VM {
			continue
		}
		s.Peers.Count[p.State]++
		if p.State != fleetmember.Alive {
			s.Peers.Others = append(s.Peers.Others, PeerStatus{VM: p.VM, Daemon: p.Daemon, State: p.State})
		}
	}
}
