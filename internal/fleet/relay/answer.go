package relay

import "jacinthcross/internal/base/ident"

// Digest returns what the daemon tells of its release. The caller adds the service age and the list version.
func (r *Replica) Digest() Digest {
	return Digest{VM: r.vm, DataCentre: r.dataCentre, Head: r.release.Head, Accepted: r.accepted}
}

// Ahead reports whether a peer's head is one that this daemon lacks: higher, or another of the same serial.
func (r *Replica) Ahead(head ident.Head) bool {
	own := r.release.Head
	return head.Serial > own.Serial || head.Serial == own.Serial && head != own
}

// Receive takes a message on releases, whether it is a request of a peer or the answer to an
// own request. It returns what to send to the peer, or nil, and the verdicts on what the message
// carried. Bulk tells whether the budget allows to send or ask for notes and snapshots.
func (r *Replica) Receive(m Message, bulk bool) (Message, []Result) {
	switch m := m.(type) {
	case Digest:
		return r.receiveDigest(m, bulk), nil
	case Ack:
		r.Held(m.VM, m.DataCentre, m.Head)
	case Pull:
		if bulk {
			return r.Next(m.After), nil
		}
	case Offer:
		return r.received(m.Serial, bulk, r.Offer(m))
	case Notes:
		var results []Result
		last := ident.Serial(0)
		for _, o := range m.Notes {
			results = append(results, r.Offer(o))
			last = max(last, o.Serial)
		}
		return r.received(last, bulk, results...)
	case Snapshot:
		return r.received(m.Head.Serial, bulk, r.Take(m))
	case PullListing, Listing:
	}
	return nil, nil
}

func (r *Replica) receiveDigest(d Digest, bulk bool) Message {
	r.Held(d.VM, d.DataCentre, d.Head)
	if d.Head == r.release.Head && !d.Head.IsZero() {
		r.accepted = r.accepted || d.Accepted
	}
	if bulk && r.Ahead(d.Head) {
		return Pull{After: r.release.Head}
	}
	return nil
}

// received returns the answer to notes or a snapshot: an acknowledgement of the
// head, or a pull when notes before them are missing.
func (r *Replica) received(serial ident.Serial, bulk bool, results ...Result) (Message, []Result) {
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
