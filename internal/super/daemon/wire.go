package daemon

import (
	"net/netip"
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	fleet "jacinthcross/internal/fleet/member"
	"jacinthcross/internal/fleet/roster"
	"jacinthcross/internal/policy/crash"
	"jacinthcross/internal/task/feed"
	"jacinthcross/internal/task/keeper"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/links"
	"jacinthcross/internal/task/listen"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/task/member"
	"jacinthcross/internal/task/router"
	"jacinthcross/internal/wire/codec"
)

// linkReported passes on what a dialled connection shows of a peer.
func (b *boxes) linkReported(r link.Report) {
	switch r := r.(type) {
	case link.Seen:
		b.member.TryPut(member.Seen{Peer: r.Peer, Draining: r.Hello.Draining})
		b.headSeen(r.Hello.Head, r.Peer)
	case link.Lost:
		b.member.TryPut(member.Lost{Peer: r.Peer})
	}
}

// peerReported passes on what a peer tells of itself or of its target.
func (b *boxes) peerReported(r listen.Report) {
	switch r := r.(type) {
	case listen.Greeted:
		// The digests that the peer exchanges tell its head.
		b.member.TryPut(member.Met{VM: r.Hello.VM, Draining: r.Hello.Draining})
		if b.published && r.Hello.Daemon.IsValid() {
			// A daemon that starts while the store is away knows no peer to ask until one opens a connection.
			b.revisionSeen(r.Hello.Head, r.Hello.Daemon)
		}
	case listen.Draining:
		b.member.TryPut(member.Drained{VM: r.VM})
	case listen.TargetChanged:
		b.router.TryPut(router.TargetReported{Target: r.Report.Target, Load: r.Report.Load})
	case listen.Blamed:
		b.local.TryPut(local.Blamed{From: r.Blame.From, Service: r.Blame.Service, Entries: r.Blame.Entries})
	}
}

// headSeen tells the keeper which release a peer holds.
func (b *boxes) headSeen(head ident.Head, peer netip.AddrPort) {
	if !head.IsZero() {
		b.keeper.TryPut(keeper.HeadSeen{Head: head, Peer: peer})
	}
}

// revisionSeen tells the feed which revision a peer holds.
func (b *boxes) revisionSeen(head ident.Head, peer netip.AddrPort) {
	b.feed.TryPut(feed.HeadSeen{Revision: roster.Revision(head.Serial), Peer: peer})
}

// confirm tells the local task that the release was compared with peers.
func (b *boxes) confirm(done bool) {
	if done {
		b.confirmed.Store(true)
		// A full mailbox must not lose the message: nothing sends it again.
		go func() { b.local.Put(local.Confirmed{}, nil) }()
	}
}

// peersChanged tells the router which peers may take calls. A suspect peer still may: its
// connection is dialled again, and it is down only when that fails too.
func (b *boxes) peersChanged(changes []fleet.Change) {
	for _, c := range changes {
		switch c.State {
		case fleet.Alive:
			b.router.TryPut(router.PeerUp{VM: c.VM})
		case fleet.Down:
			b.router.TryPut(router.PeerDown{VM: c.VM})
		case fleet.Draining, fleet.Leaving:
			b.router.TryPut(router.PeerDraining{VM: c.VM})
		case fleet.Suspect:
		}
	}
}

// paused holds new calls after a pause of the process until the keeper has compared its head with peers.
func (b *boxes) paused(time.Duration) {
	b.router.TryPut(router.Paused{})
	reply := mail.NewBox[bool](1)
	if !b.askConfirmation(reply) {
		return
	}
	go func() {
		select {
		case <-reply.C():
			b.router.TryPut(router.Confirmed{})
		case <-time.After(confirmTimeout):
		}
	}()
}

// suspended tells the local task that the machine was suspended, which tells of it as of a pause.
func (b *boxes) suspended(slept time.Duration) {
	event.MachineSuspended.Log("slept", slept)
	b.local.TryPut(local.Suspended{For: slept})
}

// askConfirmation asks the task that knows what is in force to compare it with others.
func (b *boxes) askConfirmation(reply *mail.Box[bool]) bool {
	if b.published {
		return b.feed.TryPut(feed.Confirm{Reply: reply})
	}
	return b.keeper.TryPut(keeper.Confirm{Reply: reply})
}

// confirmTimeout ends the wait for a keeper that was restarted. The router waits for less.
const confirmTimeout = 5 * time.Second

// targetChanged tells the own router and the peers that the own target has stopped or begun to accept connections.
func (b *boxes) targetChanged(target ident.Target, load call.Load) {
	b.router.TryPut(router.TargetReported{Target: target, Load: load})
	m := codec.TargetReport{Target: target, Load: load}
	b.links.TryPut(links.Message{Message: link.Notify{Message: m}})
	b.listen.TryPut(listen.Notify{Message: m})
}

// blame tells the peers which requests were in flight when the own target crashed.
func (b *boxes) blame(vm ident.VM, service ident.Service, entries []crash.Blame) {
	m := codec.Blame{From: vm, Service: service, Entries: entries}
	b.links.TryPut(links.Message{Message: link.Notify{Message: m}})
	b.listen.TryPut(listen.Notify{Message: m})
}
