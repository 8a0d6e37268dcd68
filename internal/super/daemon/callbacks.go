package daemon

import (
	"net/netip"
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	fleetmember "jacinthcross/internal/fleet/member"
	"jacinthcross/internal/fleet/roster"
	"jacinthcross/internal/policy/crash"
	"jacinthcross/internal/task/dialer"
	"jacinthcross/internal/task/feed"
	"jacinthcross/internal/task/gossip"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/listen"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/task/member"
	"jacinthcross/internal/task/router"
	"jacinthcross/internal/wire/codec"
)

// onLinkReport forwards the peer state reported by an outgoing link.
func (st *sharedState) onLinkReport(r link.Report) {
	switch r := r.(type) {
	case link.PeerAlive:
		st.member.TryPut(member.Answered{Peer: r.Peer, Draining: r.Hello.Draining})
		if r.RoundTrip == 0 {
			st.local.TryPut(local.PeerConnected{Peer: local.DialledPeer{Address: r.Peer}})
		}
		st.onPeerHead(r.Hello.Head, r.Peer)
	case link.PeerLost:
		st.member.TryPut(member.Unreachable{Peer: r.Peer})
	}
}

// onPeerReport forwards what a peer reports about itself or its target.
func (st *sharedState) onPeerReport(r listen.Report) {
	switch r := r.(type) {
	case listen.PeerConnected:
		// With release notes, the peer's head is not used here, because the Digest messages between daemons
		// (relay.Digest) carry it.
		st.member.TryPut(member.Connected{VM: r.Hello.VM, Draining: r.Hello.Draining})
		st.local.TryPut(local.PeerConnected{Peer: local.AcceptedPeer{VM: r.Hello.VM}})
		if st.usesStore && r.Hello.Daemon.IsValid() {
			// A daemon that starts while the store is unreachable knows no peer to ask until a peer connects to it.
			st.onPeerRevision(r.Hello.Head, r.Hello.Daemon)
		}
	case listen.PeerDraining:
		st.member.TryPut(member.DrainAnnounced{VM: r.VM})
	case listen.TargetReported:
		st.router.TryPut(router.TargetReported{Target: r.Report.Target, Load: r.Report.Load})
	case listen.PeerCrashReports:
		st.local.TryPut(local.PeerCrashReports{From: r.Reports.From, Service: r.Reports.Service, Entries: r.Reports.Entries, Tallies: r.Reports.Tallies})
		st.reportTallies(r.Reports.Tallies)
	}
}

// onPeerHead informs the gossip task of the release that a peer holds.
func (st *sharedState) onPeerHead(head ident.Head, peer netip.AddrPort) {
	if !head.IsZero() {
		st.gossip.TryPut(gossip.HeadReported{Head: head, Peer: peer})
	}
}

// onPeerRevision informs the feed task of the era and the revision that a peer holds.
func (st *sharedState) onPeerRevision(head ident.Head, peer netip.AddrPort) {
	st.feed.TryPut(feed.RevisionReported{Era: head.Era, Revision: roster.Revision(head.Serial), Peer: peer})
}

// onConfirmation informs the local task that enough peers have confirmed the release.
func (st *sharedState) onConfirmation(confirmed bool) {
	if confirmed {
		st.confirmed.Store(true)
		// The message is not repeated, so it must not be dropped when the mailbox is full.
		go func() { st.local.Put(local.ReleaseConfirmed{}, nil) }()
	}
}

// onPeersChanged informs the router which peers may receive calls. A suspect peer keeps receiving calls: it is dialled
// again and counts as down only when that dial fails.
func (st *sharedState) onPeersChanged(changes []fleetmember.PeerState) {
	for _, c := range changes {
		switch c.State {
		case fleetmember.Alive:
			st.router.TryPut(router.PeerUp{VM: c.VM})
		case fleetmember.Down:
			st.router.TryPut(router.PeerDown{VM: c.VM})
		case fleetmember.Draining, fleetmember.Leaving:
			st.router.TryPut(router.PeerDraining{VM: c.VM})
		case fleetmember.Suspect:
		}
	}
}

// onPause makes the router hold new calls until enough peers have confirmed the release or revision, and the local task
// refuse them after a long pause. It is called after each process pause, for example when the machine was suspended.
func (st *sharedState) onPause(time.Duration) {
	st.router.TryPut(router.ProcessResumed{})
	reply := mail.NewBox[bool](1)
	if !st.requestConfirmation(reply) {
		return
	}
	go func() {
		select {
		case confirmed := <-reply.C():
			if confirmed {
				// The local task precedes the router, which then sends it the calls that were held.
				st.local.TryPut(local.ReleaseConfirmed{})
			}
			st.router.TryPut(router.ReleaseConfirmed{})
		case <-time.After(confirmTimeout):
		}
	}()
}

// onSuspension informs the local task of a suspension of the machine, which the task reports as a process pause.
func (st *sharedState) onSuspension(suspended time.Duration) {
	event.MachineSuspended.Log("slept", suspended)
	st.local.TryPut(local.MachineSuspended{Duration: suspended})
}

// requestConfirmation asks the feed task to confirm its revision with peers, or the gossip task to confirm its release.
// It reports whether the mailbox had room for the request.
func (st *sharedState) requestConfirmation(reply *mail.Box[bool]) bool {
	if st.usesStore {
		return st.feed.TryPut(feed.ConfirmRequest{Reply: reply})
	}
	return st.gossip.TryPut(gossip.ConfirmRequest{Reply: reply})
}

// confirmTimeout limits how long onPause waits for the peers' confirmation. The reply is lost if the gossip or feed
// task restarts. The router holds calls for a shorter time.
const confirmTimeout = 5 * time.Second

// onTargetChanged informs the router and the peers that the target on this VM has started or stopped accepting
// connections.
func (st *sharedState) onTargetChanged(target ident.Target, load call.Load) {
	st.router.TryPut(router.TargetReported{Target: target, Load: load})
	m := codec.TargetReport{Target: target, Load: load}
	st.dialer.TryPut(dialer.Message{Message: link.Notify{Message: m}})
	st.listen.TryPut(listen.Broadcast{Message: m})
}

// sendCrashEvidence sends peers evidence on requests that were in flight when a target crashed, so that they can
// quarantine a request that crashes targets, and informs the router.
func (st *sharedState) sendCrashEvidence(vm ident.VM, e local.CrashEvidence) {
	m := codec.CrashReports{From: vm, Service: e.Service, Entries: e.Reports, Tallies: e.Tallies}
	switch to := e.To.(type) {
	case local.AllPeers:
		st.dialer.TryPut(dialer.Message{Message: link.Notify{Message: m}})
		st.listen.TryPut(listen.Broadcast{Message: m})
		st.reportTallies(e.Tallies)
	case local.AnyPeer:
		st.dialer.TryPut(dialer.Message{Message: link.Notify{Message: m}, OneLink: true})
		st.listen.TryPut(listen.Broadcast{Message: m, OnePeer: true})
	case local.AcceptedPeer:
		st.listen.TryPut(listen.Broadcast{Message: m, To: to.VM})
	case local.DialledPeer:
		st.dialer.TryPut(dialer.Message{Peer: to.Address, Message: link.Notify{Message: m}})
	}
}

// reportTallies informs the router of requests that may crash targets.
func (st *sharedState) reportTallies(tallies []crash.Tally) {
	if len(tallies) > 0 {
		st.router.TryPut(router.CrashesCounted{Tallies: tallies})
	}
}
