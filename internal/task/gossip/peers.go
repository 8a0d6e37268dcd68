package gossip

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
	"jacinthcross/internal/task/dialer"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/wire/codec"
)

const (
	// maxTurns limits the messages that one daemon sends in a conversation with a peer. It leaves a margin: in the longest
	// conversation that ends by itself, the daemons take turns and send three messages each: a digest, a pull, notes with
	// a gap, a pull, a snapshot and its acknowledgement.
	maxTurns = 6
	// maxPulls limits the concurrent pulls, so that a new daemon does not fetch the same snapshot from many peers.
	maxPulls = 2
	// answerTimeout limits the wait for the end of an exchange in case the link, which has timeouts of its own, does not
	// report it.
	answerTimeout = 3 * time.Second
	// unansweredTimeout is the time after which a pull or a sent head counts as unanswered, so that another peer may be
	// asked.
	unansweredTimeout = time.Second
	// maxPeerSerials limits the number of peers whose last serial is kept for the status.
	maxPeerSerials = 4096
	// confirmFanout is the number of peers to which a daemon sends a digest in each round while its head is not
	// confirmed, or has to be confirmed again.
	confirmFanout = 3
)

// tick exchanges digests with two peers. The first peer is one of the parents, in turn, or a random local node if there
// is no parent: this exchange delivers notes that were lost in the distribution trees of the data centre (see
// relay.Position). The second peer is a random node of RemoteNodes, which are nodes of other data centres, or local ones
// if there is only one data centre: this exchange delivers notes to daemons that no tree reaches. Without RemoteNodes
// the second peer is any random peer.
func (t *Task) tick() {
	t.ticks++
	if t.unannounced {
		t.announce()
	}
	switch {
	case len(t.position.Parents) > 0:
		t.send(t.position.Parents[t.ticks%len(t.position.Parents)].Daemon, t.digest(), 0)
	case len(t.position.LocalNodes) > 0:
		t.send(t.position.LocalNodes[rand.IntN(len(t.position.LocalNodes))].Daemon, t.digest(), 0)
	}
	if len(t.position.RemoteNodes) > 0 {
		t.send(t.position.RemoteNodes[rand.IntN(len(t.position.RemoteNodes))].Daemon, t.digest(), 0)
		return
	}
	for _, p := range t.randomPeers(1) {
		t.send(p, t.digest(), 0)
	}
}

// requestDigests exchanges digests with several random peers, to confirm the head.
func (t *Task) requestDigests() {
	for _, p := range t.randomPeers(confirmFanout) {
		t.send(p, t.digest(), 0)
	}
}

// randomPeers returns up to n random peers of the release, or of the VM list and the seeds while there is no release.
func (t *Task) randomPeers(n int) []netip.AddrPort {
	pool := map[netip.AddrPort]bool{}
	for _, nodes := range [][]relay.Node{t.position.LocalNodes, t.position.RemoteNodes} {
		for _, p := range nodes {
			pool[p.Daemon] = true
		}
	}
	if len(pool) == 0 {
		for _, v := range t.vmList.VMs() {
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

// propagateHead sends a new head to the neighbours in the trees: children get the note, and parents, which usually have
// it, a digest. A child that has not yet answered an earlier head is sent a digest when it answers, and then pulls
// all later notes together. If notes were sent concurrently, a later note could arrive before an earlier one, and the
// child would answer it with a pull of all notes.
func (t *Task) propagateHead() {
	last, ok := t.replica.LastNote()
	now := t.clock.Now()
	maps.DeleteFunc(t.pendingHeads, func(_ netip.AddrPort, head pendingHead) bool { return now.Sub(head.sent) >= unansweredTimeout })
	for _, c := range t.position.Children {
		if head, pending := t.pendingHeads[c.Daemon]; pending {
			t.pendingHeads[c.Daemon] = pendingHead{sent: head.sent, changed: true}
			continue
		}
		t.pendingHeads[c.Daemon] = pendingHead{sent: now}
		if ok && t.hasBudget() {
			t.send(c.Daemon, last, 0)
		} else {
			t.send(c.Daemon, t.digest(), 0)
		}
	}
	for _, p := range t.position.Parents {
		t.send(p.Daemon, t.digest(), 0)
	}
}

func (t *Task) digest() relay.Digest {
	d := t.replica.Digest()
	d.ServiceReadAge, d.ServiceReadAgeKnown = t.serviceReadAge.Elapsed(t.clock.Now())
	d.ListingVersion = t.vmList.Version()
	return d
}

// hasBudget reports whether the budget of control bytes allows notes, snapshots and VM lists.
func (t *Task) hasBudget() bool { return t.budget.Available(t.clock.Now()) }

// countBytes charges a control message to the budget and reports its size.
func (t *Task) countBytes(direction meter.Direction, m relay.Message) {
	now := t.clock.Now()
	n := codec.EncodedSize(codec.Control{Message: m}, now)
	t.budget.Spend(n, now)
	t.config.CountBytes(direction, n)
}

// send sends a message to a peer. The answer arrives in the inbox as an exchangeDone.
func (t *Task) send(peer netip.AddrPort, m relay.Message, turn int) {
	if peer == t.config.Daemon || turn >= maxTurns || t.config.Dialer == nil {
		return
	}
	if _, ok := m.(relay.Pull); ok && !t.mayPull(peer) {
		return
	}
	reply := mail.NewBox[link.Answer](1)
	if !t.config.Dialer.TryPut(dialer.Message{Peer: peer, Message: link.Exchange{Message: codec.Control{Message: m}, Reply: reply}}) {
		return
	}
	t.countBytes(meter.Sent, m)
	sent := t.clock.Now()
	go func() {
		timeout := time.NewTimer(answerTimeout)
		defer timeout.Stop()
		select {
		case a := <-reply.C():
			t.config.Inbox.TryPut(exchangeDone{peer: peer, turn: turn, sent: sent, answer: a})
		case <-timeout.C:
		case <-t.Stopping():
		}
	}()
}

// mayPull reports whether a pull may be sent to a peer, and records it.
func (t *Task) mayPull(peer netip.AddrPort) bool {
	now := t.clock.Now()
	maps.DeleteFunc(t.pulls, func(_ netip.AddrPort, at time.Time) bool { return now.Sub(at) >= unansweredTimeout })
	if _, ok := t.pulls[peer]; ok || len(t.pulls) >= maxPulls || !t.hasBudget() {
		return false
	}
	t.pulls[peer] = now
	return true
}

// answerPeer returns the answer to a request of a peer.
func (t *Task) answerPeer(m relay.Message) relay.Message {
	t.countBytes(meter.Received, m)
	answer := t.applyMessage(m)
	if answer == nil {
		answer = t.digest()
	}
	t.countBytes(meter.Sent, answer)
	return answer
}

// finishExchange handles the answer of a peer to a request of this daemon and continues the conversation.
func (t *Task) finishExchange(a exchangeDone) {
	defer t.sendPendingDigest(a)
	c, ok := a.answer.Message.(codec.Control)
	if a.answer.Err != nil || !ok {
		return
	}
	delete(t.pulls, a.peer)
	t.countBytes(meter.Received, c.Message)
	if d, ok := c.Message.(relay.Digest); ok {
		t.addConfirmation(d, a.sent)
	}
	if next := t.applyMessage(c.Message); next != nil {
		t.send(a.peer, next, a.turn+1)
	}
	if d, ok := c.Message.(relay.Digest); ok {
		switch own := t.vmList.Version(); {
		case d.ListingVersion > own && t.hasBudget():
			t.send(a.peer, relay.PullListing{After: own}, a.turn+1)
		case d.ListingVersion < own && t.hasBudget():
			t.send(a.peer, t.vmList.ChangesSince(d.ListingVersion), a.turn+1)
		}
	}
}

// sendPendingDigest sends a digest to a child that has answered, if the head has changed since the child was sent one.
func (t *Task) sendPendingDigest(a exchangeDone) {
	head, ok := t.pendingHeads[a.peer]
	if !ok || a.sent.Before(head.sent) {
		return
	}
	delete(t.pendingHeads, a.peer)
	if head.changed && a.answer.Err == nil {
		t.pendingHeads[a.peer] = pendingHead{sent: t.clock.Now()}
		t.send(a.peer, t.digest(), 0)
	}
}

// applyMessage applies a message of a peer and returns the message to send back, or nil.
func (t *Task) applyMessage(m relay.Message) relay.Message {
	switch m := m.(type) {
	case relay.PullListing:
		if t.hasBudget() && t.vmList.Version() > m.After {
			return t.vmList.ChangesSince(m.After)
		}
		return nil
	case relay.Listing:
		t.applyVMList(m)
		return nil
	case relay.Digest:
		t.serviceReadAge.Merge(m, t.clock.Now())
		t.recordPeerSerial(m)
	case relay.Offer, relay.Notes, relay.Snapshot, relay.Pull, relay.Ack:
	}
	var answer relay.Message
	t.applyChange(func() (results []relay.Result) {
		answer, results = t.replica.Receive(m, t.hasBudget())
		return results
	})
	return answer
}

// recordPeerSerial records the serial of a peer's digest, from which lagging finds the peers that are behind.
func (t *Task) recordPeerSerial(d relay.Digest) {
	if d.VM == "" || d.VM == t.config.VM {
		return
	}
	if len(t.peerSerials) >= maxPeerSerials {
		clear(t.peerSerials)
	}
	t.peerSerials[d.VM] = d.Head.Serial
}

// addConfirmation counts the answer of a peer to a request that was sent at the given time. A digest that a peer sent
// without a request does not count: it may have waited in a socket while the process was paused.
func (t *Task) addConfirmation(d relay.Digest, sent time.Time) {
	if d.VM == "" || d.VM == t.config.VM {
		return
	}
	t.confirmation.AddAnswer(d.VM, d.Head, t.replica.Head(), sent)
	for _, c := range t.pendingConfirms {
		c.AddAnswer(d.VM, d.Head, t.replica.Head(), sent)
	}
}

// lagging returns the daemons of the release whose last digest had a lower serial than the release in force. It drops
// the serials of daemons that are not in the release.
func (t *Task) lagging() []ident.VM {
	present := map[ident.VM]bool{}
	for _, target := range t.replica.Release().Targets {
		present[target.VM] = true
	}
	var out []ident.VM
	for vm, serial := range t.peerSerials {
		if !present[vm] {
			delete(t.peerSerials, vm)
		} else if serial < t.replica.Head().Serial {
			out = append(out, vm)
		}
	}
	slices.Sort(out)
	return out
}

// startConfirmation starts to confirm the head with the peers.
func (t *Task) startConfirmation(m ConfirmRequest) {
	t.pendingConfirms = append(t.pendingConfirms, pendingConfirm{relay.NewConfirmationWithTimeout(t.clock.Now(), confirmRequestTimeout), m.Reply})
	t.requestDigests()
}

// checkConfirmations announces the first confirmation of the head, and answers the confirm requests that are done.
func (t *Task) checkConfirmations() {
	if t.confirmed && len(t.pendingConfirms) == 0 {
		return
	}
	now, peers := t.clock.Now(), t.countPeers()
	if !t.confirmed && t.confirmation.Done(peers, now) {
		t.confirmed = true
		t.config.AnnounceConfirmed(true)
	}
	t.pendingConfirms = slices.DeleteFunc(t.pendingConfirms, func(c pendingConfirm) bool {
		if !c.Done(peers, now) {
			return false
		}
		c.reply.TryPut(c.Confirmed(peers))
		return true
	})
}

// countPeers returns the number of peers. Without a release the number is unknown, and the result is high enough that a
// confirmation needs the answers of two peers.
func (t *Task) countPeers() int {
	if t.replica.Head().IsZero() {
		return confirmFanout
	}
	peers := map[ident.VM]bool{}
	for _, target := range t.replica.Release().Targets {
		if target.VM != t.config.VM {
			peers[target.VM] = true
		}
	}
	return len(peers)
}
