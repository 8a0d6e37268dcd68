package keeper

import (
	"maps"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/base/meter"
	"jacinthcross/internal/fleet/relay"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/links"
	"jacinthcross/internal/wire/codec"
)

const (
	// hopsLimit ends a conversation that two peers do not finish. The longest is a
	// digest, a pull, notes with a gap, a pull, a snapshot and its acknowledgement.
	hopsLimit = 6
	// pullsLimit bounds the pulls at one time, so that a new daemon does not fetch the same snapshot from many peers.
	pullsLimit = 2
	// answerTimeout bounds the wait for an exchange, beyond the time limits of the link itself.
	answerTimeout = 3 * time.Second
	// pullTimeout is when another peer is asked instead.
	pullTimeout = time.Second
	// headsLimit bounds the peers whose last serial is remembered for the status.
	headsLimit = 4096
	// bootstrapPeers is the number of peers that a daemon asks at once while its head is not confirmed.
	bootstrapPeers = 3
)

// tick exchanges digests with a parent, which repairs the trees, and with a peer of
// another data centre, which repairs what no tree connects.
func (t *Task) tick() {
	t.ticks++
	if t.untold {
		t.announce()
	}
	switch {
	case len(t.place.Parents) > 0:
		t.send(t.place.Parents[t.ticks%len(t.place.Parents)].Daemon, t.digest(), 0)
	case len(t.place.Near) > 0:
		t.send(t.place.Near[rand.IntN(len(t.place.Near))].Daemon, t.digest(), 0)
	}
	if len(t.place.Others) > 0 {
		t.send(t.place.Others[rand.IntN(len(t.place.Others))].Daemon, t.digest(), 0)
		return
	}
	for _, p := range t.somePeers(1) {
		t.send(p, t.digest(), 0)
	}
}

// hurry asks several peers while the head is not confirmed.
func (t *Task) hurry() {
	for _, p := range t.somePeers(bootstrapPeers) {
		t.send(p, t.digest(), 0)
	}
}

// somePeers returns random peers of the release, or of the VM list and the seeds while there is no release.
func (t *Task) somePeers(n int) []netip.AddrPort {
	pool := map[netip.AddrPort]bool{}
	for _, nodes := range [][]relay.Node{t.place.Near, t.place.Others} {
		for _, p := range nodes {
			pool[p.Daemon] = true
		}
	}
	if len(pool) == 0 {
		for _, v := range t.list.VMs() {
			pool[v.Daemon] = v.State == relay.Live
		}
		for _, p := range t.config.Seeds {
			pool[p] = true
		}
	}
	delete(pool, t.config.Daemon)
	peers := slices.Collect(maps.Keys(pool))
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	return peers[:min(n, len(peers))]
}

// spread tells the neighbours in the trees of a new head: children get the note,
// parents, which mostly have it, a digest. A child that has not answered to the head before gets a digest once
// it does, and pulls all notes since then at once: notes on the way together would overtake each other, and
// each that did would be answered with a pull of all.
func (t *Task) spread() {
	last, ok := t.replica.Last()
	now := t.clock.Now()
	maps.DeleteFunc(t.pending, func(_ netip.AddrPort, at pendingHead) bool { return now.Sub(at.sent) >= pullTimeout })
	for _, c := range t.place.Children {
		if at, waits := t.pending[c.Daemon]; waits {
			t.pending[c.Daemon] = pendingHead{sent: at.sent, again: true}
			continue
		}
		t.pending[c.Daemon] = pendingHead{sent: now}
		if ok && t.bulk() {
			t.send(c.Daemon, last, 0)
		} else {
			t.send(c.Daemon, t.digest(), 0)
		}
	}
	for _, p := range t.place.Parents {
		t.send(p.Daemon, t.digest(), 0)
	}
}

func (t *Task) digest() relay.Digest {
	d := t.replica.Digest()
	d.ServiceAge, d.ServiceKnown = t.age.Since(t.clock.Now())
	d.ListingVersion = t.list.Version()
	return d
}

func (t *Task) bulk() bool { return t.budget.Left(t.clock.Now()) }

// count counts a control message against the budget.
func (t *Task) count(direction meter.Direction, m relay.Message) {
	now := t.clock.Now()
	n := codec.Size(codec.Control{Message: m}, now)
	t.budget.Use(n, now)
	t.config.Bytes(direction, n)
}

// send sends a message to a peer and receives its answer as a message of its own.
func (t *Task) send(peer netip.AddrPort, m relay.Message, hops int) {
	if peer == t.config.Daemon || hops >= hopsLimit || t.config.Links == nil {
		return
	}
	if _, ok := m.(relay.Pull); ok && !t.mayPull(peer) {
		return
	}
	reply := mail.NewBox[link.Answer](1)
	if !t.config.Links.TryPut(links.Message{Peer: peer, Message: link.Exchange{Message: codec.Control{Message: m}, Reply: reply}}) {
		return
	}
	t.count(meter.Sent, m)
	sent := t.clock.Now()
	go func() {
		timeout := time.NewTimer(answerTimeout)
		defer timeout.Stop()
		select {
		case a := <-reply.C():
			t.config.Inbox.TryPut(answered{peer: peer, hops: hops, sent: sent, answer: a})
		case <-timeout.C:
		case <-t.Stopping():
		}
	}()
}

func (t *Task) mayPull(peer netip.AddrPort) bool {
	now := t.clock.Now()
	maps.DeleteFunc(t.pulls, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) >= pullTimeout })
	if _, ok := t.pulls[peer]; ok || len(t.pulls) >= pullsLimit || !t.bulk() {
		return false
	}
	t.pulls[peer] = now
	return true
}

// fromPeer answers a request of a peer.
func (t *Task) fromPeer(m relay.Message) relay.Message {
	t.count(meter.Received, m)
	answer := t.handle(m)
	if answer == nil {
		answer = t.digest()
	}
	t.count(meter.Sent, answer)
	return answer
}

// answered takes the answer of a peer to an own request and continues the conversation.
func (t *Task) answered(a answered) {
	defer t.tellAgain(a)
	c, ok := a.answer.Message.(codec.Control)
	if a.answer.Err != nil || !ok {
		return
	}
	delete(t.pulls, a.peer)
	t.count(meter.Received, c.Message)
	if d, ok := c.Message.(relay.Digest); ok {
		t.confirmBy(d, a.sent)
	}
	if next := t.handle(c.Message); next != nil {
		t.send(a.peer, next, a.hops+1)
	}
	if d, ok := c.Message.(relay.Digest); ok {
		switch own := t.list.Version(); {
		case d.ListingVersion > own && t.bulk():
			t.send(a.peer, relay.PullListing{After: own}, a.hops+1)
		case d.ListingVersion < own && t.bulk():
			t.send(a.peer, t.list.Since(d.ListingVersion), a.hops+1)
		}
	}
}

// tellAgain tells a child that has answered of the heads since.
func (t *Task) tellAgain(a answered) {
	at, ok := t.pending[a.peer]
	if !ok || a.sent.Before(at.sent) {
		return
	}
	delete(t.pending, a.peer)
	if at.again && a.answer.Err == nil {
		t.pending[a.peer] = pendingHead{sent: t.clock.Now()}
		t.send(a.peer, t.digest(), 0)
	}
}

// handle takes a message of a peer and returns what to send back, or nil.
func (t *Task) handle(m relay.Message) relay.Message {
	switch m := m.(type) {
	case relay.PullListing:
		if t.bulk() && t.list.Version() > m.After {
			return t.list.Since(m.After)
		}
		return nil
	case relay.Listing:
		t.takeList(m)
		return nil
	case relay.Digest:
		t.age.Hear(m, t.clock.Now())
		t.hear(m)
	case relay.Offer, relay.Notes, relay.Snapshot, relay.Pull, relay.Ack:
	}
	var answer relay.Message
	t.change(func() (results []relay.Result) {
		answer, results = t.replica.Receive(m, t.bulk())
		return results
	})
	return answer
}

// hear uses a digest to know who lags.
func (t *Task) hear(d relay.Digest) {
	if d.VM == "" || d.VM == t.config.VM {
		return
	}
	if len(t.heads) >= headsLimit {
		clear(t.heads)
	}
	t.heads[d.VM] = d.Head.Serial
}

// confirmBy counts the answer of a peer to a request sent at a time. A digest that a peer sent on
// its own does not count: it may have waited in a socket while the process was paused.
func (t *Task) confirmBy(d relay.Digest, sent time.Time) {
	if d.VM == "" || d.VM == t.config.VM {
		return
	}
	t.confirm.Answered(d.VM, d.Head, t.replica.Head(), sent)
	for _, c := range t.compares {
		c.Answered(d.VM, d.Head, t.replica.Head(), sent)
	}
}

// lagging returns the daemons of the release whose last digest told a lower serial.
func (t *Task) lagging() []ident.VM {
	present := map[ident.VM]bool{}
	for _, target := range t.replica.Release().Targets {
		present[target.VM] = true
	}
	var out []ident.VM
	for vm, serial := range t.heads {
		if !present[vm] {
			delete(t.heads, vm)
		} else if serial < t.replica.Head().Serial {
			out = append(out, vm)
		}
	}
	slices.Sort(out)
	return out
}

// compare begins to compare the head with two peers.
func (t *Task) compare(m Confirm) {
	t.compares = append(t.compares, comparison{relay.NewComparison(t.clock.Now(), compareTimeout), m.Reply})
	t.hurry()
}

// checkConfirmed tells the end of the comparisons that are done.
func (t *Task) checkConfirmed() {
	if t.confirmed && len(t.compares) == 0 {
		return
	}
	now, peers := t.clock.Now(), t.countPeers()
	if !t.confirmed && t.confirm.Done(peers, now) {
		t.confirmed = true
		t.config.Confirmed(true)
	}
	t.compares = slices.DeleteFunc(t.compares, func(c comparison) bool {
		if !c.Done(peers, now) {
			return false
		}
		c.reply.TryPut(c.Agreed(peers))
		return true
	})
}

// countPeers returns the number of peers that exist. Without a release it is not known, so two are expected.
func (t *Task) countPeers() int {
	if t.replica.Head().IsZero() {
		return bootstrapPeers
	}
	peers := map[ident.VM]bool{}
	for _, target := range t.replica.Release().Targets {
		if target.VM != t.config.VM {
			peers[target.VM] = true
		}
	}
	return len(peers)
}
