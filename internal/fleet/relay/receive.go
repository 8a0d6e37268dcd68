package relay

import "jacinthcross/internal/base/ident"

// Digest returns the digest of the release in force. The task that sends it fills in the service age and
// the VM list version.
func (r *Replica) Digest() Digest {
	return Digest{VM: r.vm, DataCentre: r.dataCentre, Head: r.release.Head, Accepted: r.accepted}
}

// Lacks reports whether this daemon lacks the head of a peer: its serial is higher, or it differs at the same serial.
func (r *Replica) Lacks(head ident.Head) bool {
	own := r.release.Head
	return head.Serial > own.Serial || head.Serial == own.Serial && head != own
}

// Receive handles a release message, which is either a request from a peer or a response to an earlier
// request. It returns the reply to send, or nil, and the result for each note or snapshot in the message.
// The bulk flag reports whether the budget allows sending or requesting notes and snapshots.
func (r *Replica) Receive(m Message, bulk bool) (Message, []Result) {
	switch m := m.(type) {
	case Digest:
		return r.receiveDigest(m, bulk), nil
	case Ack:
		r.AddHolder(m.VM, m.DataCentre, m.Head)
	case Pull:
		if bulk {
			return r.AnswerPull(m.After), nil
		}
	case Offer:
		return r.acknowledge(m.Serial, bulk, r.ApplyNote(m))
	case Notes:
		var results []Result
		last := ident.Serial(0)
		for _, o := range m.Notes {
			results = append(results, r.ApplyNote(o))
			last = max(last, o.Serial)
		}
		return r.acknowledge(last, bulk, results...)
	case Snapshot:
		return r.acknowledge(m.Head.Serial, bulk, r.ApplySnapshot(m))
	case PullListing, Listing:
	}
	return nil, nil
}

func (r *Replica) receiveDigest(d Digest, bulk bool) Message {
	r.AddHolder(d.VM, d.DataCentre, d.Head)
	if d.Head == r.release.Head && !d.Head.IsZero() {
		r.accepted = r.accepted || d.Accepted
	}
	if bulk && r.Lacks(d.Head) {
		return Pull{After: r.release.Head}
	}
	return nil
}

// acknowledge returns the reply to notes or a snapshot: an Ack of the head,
// or a Pull if earlier notes are missing.
func (r *Replica) acknowledge(serial ident.Serial, bulk bool, results ...Result) (Message, []Result) {
	for _, result := range results {
		if result.Verdict == Behind && bulk && serial >= r.release.Head.Serial {
			return Pull{After: r.release.Head}, results
		}
	}
	if r.release.Head.Serial == serial && len(results) > 0 && results[len(results)-1].Verdict != Conflict {
		return Ack{Head: r.release.Head, VM: r.vm, DataCentre: r.dataCentre}, results
	}
	return nil, results
}
