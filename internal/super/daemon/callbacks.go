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

// onLinkReport forwards the state of a peer that an outgoing link reports.
func (b *mailboxes) onLinkReport(r link.Report) {
	switch r := r.(type) {
	case link.PeerAlive:
		b.member.TryPut(member.Answered{Peer: r.Peer, Draining: r.Hello.Draining})
		b.onPeerHead(r.Hello.Head, r.Peer)
	case link.PeerLost:
		b.member.TryPut(member.Unreachable{Peer: r.Peer})
	}
}

// onPeerReport forwards what a peer reports about itself or its target.
func (b *mailboxes) onPeerReport(r listen.Report) {
	switch r := r.(type) {
	case listen.PeerConnected:
		// With release notes, the peer's head is not used here, because the digests that the peer exchanges carry it.
		b.member.TryPut(member.Connected{VM: r.Hello.VM, Draining: r.Hello.Draining})
		if b.usesStore && r.Hello.Daemon.IsValid() {
			// A daemon that starts while the store is unreachable knows no peer to ask until a peer connects to it.
			b.onPeerRevision(r.Hello.Head, r.Hello.Daemon)
		}
	case listen.PeerDraining:
		b.member.TryPut(member.DrainAnnounced{VM: r.VM})
	case listen.TargetChanged:
		b.router.TryPut(router.TargetReported{Target: r.Report.Target, Load: r.Report.Load})
	case listen.PeerBlame:
		b.local.TryPut(local.PeerBlame{From: r.Blame.From, Service: r.Blame.Service, Entries: r.Blame.Entries})
	}
}

// onPeerHead informs the gossip task of the release that a peer holds.
func (b *mailboxes) onPeerHead(head ident.Head, peer netip.AddrPort) {
	if !head.IsZero() {
		b.gossip.TryPut(gossip.HeadReported{Head: head, Peer: peer})
	}
}

// onPeerRevision informs the feed task of the revision that a peer holds.
func (b *mailboxes) onPeerRevision(head ident.Head, peer netip.AddrPort) {
	b.feed.TryPut(feed.RevisionReported{Revision: roster.Revision(head.Serial), Peer: peer})
}

// onConfirmation informs the local task that enough peers have confirmed the release.
func (b *mailboxes) onConfirmation(confirmed bool) {
	if confirmed {
		b.confirmed.Store(true)
		// The message is not repeated, so it must not be dropped when the mailbox is full.
		go func() { b.local.Put(local.ReleaseConfirmed{}, nil) }()
	}
}

// onPeersChanged informs the router which peers may receive calls. A suspect peer still may: its connection is dialled
// again, and it is down only when that fails too.
func (b *mailboxes) onPeersChanged(changes []fleetmember.PeerState) {
	for _, c := range changes {
		switch c.State {
		case fleetmember.Alive:
			b.router.TryPut(router.PeerUp{VM: c.VM})
		case fleetmember.Down:
			b.router.TryPut(router.PeerDown{VM: c.VM})
		case fleetmember.Draining, fleetmember.Leaving:
			b.router.TryPut(router.PeerDraining{VM: c.VM})
		case fleetmember.Suspect:
		}
	}
}

// onPause makes the router hold new calls after a process pause until enough peers have confirmed the release or
// revision.
func (b *mailboxes) onPause(time.Duration) {
	b.router.TryPut(router.ProcessResumed{})
	reply := mail.NewBox[bool](1)
	if !b.requestConfirmation(reply) {
		return
	}
	go func() {
		select {
		case <-reply.C():
			b.router.TryPut(router.ReleaseConfirmed{})
		case <-time.After(confirmTimeout):
		}
	}()
}

// onSuspension informs the local task of a suspension of the machine, which the task reports as a process pause.
func (b *mailboxes) onSuspension(suspended time.Duration) {
	event.MachineSuspended.Log("slept", suspended)
	b.local.TryPut(local.MachineSuspended{Duration: suspended})
}

// requestConfirmation asks the feed task to confirm its revision with peers, or the gossip task to confirm its release.
// It reports whether the mailbox had room for the request.
func (b *mailboxes) requestConfirmation(reply *mail.Box[bool]) bool {
	if b.usesStore {
		return b.feed.TryPut(feed.ConfirmRequest{Reply: reply})
	}
	return b.gossip.TryPut(gossip.ConfirmRequest{Reply: reply})
}

// confirmTimeout ends the wait for an answer that is lost because the gossip or feed task was restarted. The router
// holds calls for a shorter time.
const confirmTimeout = 5 * time.Second

// onTargetChanged informs the router and the peers that the own target has started or stopped accepting connections.
func (b *mailboxes) onTargetChanged(target ident.Target, load call.Load) {
	b.router.TryPut(router.TargetReported{Target: target, Load: load})
	m := codec.TargetReport{Target: target, Load: load}
	b.dialer.TryPut(dialer.Message{Message: link.Notify{Message: m}})
	b.listen.TryPut(listen.Broadcast{Message: m})
}

// broadcastBlame informs the peers which requests were in flight when the own target crashed.
func (b *mailboxes) broadcastBlame(vm ident.VM, service ident.Service, entries []crash.Report) {
	m := codec.Blame{From: vm, Service: service, Entries: entries}
	b.dialer.TryPut(dialer.Message{Message: link.Notify{Message: m}})
	b.listen.TryPut(listen.Broadcast{Message: m})
}
