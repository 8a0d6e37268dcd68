package relay

import "jacinthcross/internal/base/ident"

// Digest returns the digest of the release in force. The task that sends it fills in the read age of the configuration
// service and the version of the VM list.
func (r *Replica) Digest() Digest {
	return Digest{VM: r.vm, DataCentre: r.dataCentre, Head: r.release.Head, Accepted: r.accepted}
}

// Lacks reports whether this daemon lacks the head of a peer: the peer's serial is higher, or its head differs at the
// same serial.
func (r *Replica) Lacks(head ident.Head) bool {
	own := r.release.Head
	return head.Serial > own.Serial || head.Serial == own.Serial && head != own
}

// Receive handles a message about releases, which is either a request from a peer or a response to an earlier request.
// It ignores messages about the VM list. It returns the reply to send, or nil, and the result for each note or snapshot
// in the message. withinBudget reports whether the budget allows sending or requesting notes and snapshots.
func (r *Replica) Receive(m Message, withinBudget bool) (Message, []Result) {
	switch m := m.(type) {
	case Digest:
		return r.receiveDigest(m, withinBudget), nil
	case Ack:
		r.AddHolder(m.VM, m.DataCentre, m.Head)
	case Pull:
		if withinBudget {
			return r.AnswerPull(m.After), nil
		}
	case Offer:
		return r.acknowledge(m.Serial, withinBudget, r.ApplyNote(m))
	case Notes:
		var results []Result
		last := ident.Serial(0)
		for _, o := range m.Notes {
			results = append(results, r.ApplyNote(o))
			last = max(last, o.Serial)
		}
		return r.acknowledge(last, withinBudget, results...)
	case Snapshot:
		return r.acknowledge(m.Head.Serial, withinBudget, r.ApplySnapshot(m))
	case PullListing, Listing:
		// The gossip task handles messages about the VM list.
	}
	return nil, nil
}

func (r *Replica) receiveDigest(d Digest, withinBudget bool) Message {
	r.AddHolder(d.VM, d.DataCentre, d.Head)
	if d.Head == r.release.Head && !d.Head.IsZero() {
		r.accepted = r.accepted || d.Accepted
	}
	if withinBudget && r.Lacks(d.Head) {
		return Pull{After: r.release.Head}
	}
	return nil
}

// acknowledge returns the reply to notes or a snapshot: an Ack of the head, or a Pull if earlier notes are missing.
// lastSerial is the highest serial in the message.
func (r *Replica) acknowledge(lastSerial ident.Serial, withinBudget bool, results ...Result) (Message, []Result) {
	for _, result := range results {
		if result.Verdict == Behind && withinBudget && lastSerial >= r.release.Head.Serial {
			return Pull{After: r.release.Head}, results
		}
	}
	if r.release.Head.Serial == lastSerial && len(results) > 0 && results[len(results)-1].Verdict != Conflict {
		return Ack{Head: r.release.Head, VM: r.vm, DataCentre: r.dataCentre}, results
	}
	return nil, results
}
