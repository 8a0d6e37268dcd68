package codec

import (
	"time"

	"google.golang.org/protobuf/proto"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/relay"
	"jacinthcross/internal/wire/peerpb"
)

func encode(m Message, now time.Time) *peerpb.Envelope {
	switch m := m.(type) {
	case Hello:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Hello{Hello: &peerpb.Hello{
			Protocol: uint32(m.Protocol), VM: string(m.VM), DataCentre: string(m.DataCentre),
			Incarnation: m.Incarnation[:], Head: encodeHead(m.Head), Draining: m.Draining, Daemon: encodeAddress(m.Daemon),
			Bulk: m.Bulk, RequestsBodies: m.RequestsBodies,
		}}}
	case BodyRequest:
		return &peerpb.Envelope{Body: &peerpb.Envelope_BodyRequest{BodyRequest: &peerpb.BodyRequest{Number: m.Number}}}
	case RequestBody:
		return &peerpb.Envelope{Body: &peerpb.Envelope_RequestBody{RequestBody: &peerpb.RequestBody{Number: m.Number, Body: m.Body}}}
	case Call:
		return &peerpb.Envelope{Body: &peerpb.Envelope_CallRequest{CallRequest: encodeCall(m, now)}}
	case Reply:
		return &peerpb.Envelope{Body: &peerpb.Envelope_CallReply{CallReply: encodeReply(m)}}
	case LoadRequest:
		return &peerpb.Envelope{Body: &peerpb.Envelope_LoadRequest{LoadRequest: &peerpb.LoadRequest{Target: string(m.Target)}}}
	case LoadReply:
		return &peerpb.Envelope{Body: &peerpb.Envelope_LoadReply{LoadReply: &peerpb.LoadReply{Load: encodeLoad(m.Load)}}}
	case TargetReport:
		return &peerpb.Envelope{Body: &peerpb.Envelope_TargetReport{TargetReport: &peerpb.TargetReport{
			Target: string(m.Target), Load: encodeLoad(m.Load),
		}}}
	case Control:
		return encodeControl(m.Message)
	case CrashReports:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Blame{Blame: encodeCrashReports(m)}}
	case Drain:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Drain{Drain: &peerpb.Drain{VM: string(m.VM)}}}
	case ChangesRequest:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Ask{Ask: &peerpb.Ask{After: uint64(m.After), Era: uint64(m.Era), WaitNanoseconds: int64(m.Wait)}}}
	case ChangesReply:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Published{Published: encodeChangesReply(m, now)}}
	case Done:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Done{Done: &peerpb.Done{}}}
	}
	return &peerpb.Envelope{}
}

func encodeCall(m Call, now time.Time) *peerpb.CallRequest {
	r := m.Request
	p := &peerpb.CallRequest{
		RequestID: r.ID, Route: string(r.Route), Origin: string(r.Origin), Returned: r.RetriedByCaller, Final: r.CallerCannotRetry, UsualNanoseconds: int64(r.UsualLatency), Elsewhere: r.MinOtherSlowness,
		Service: string(r.Service), Target: string(m.Target), Method: r.Method, URI: r.URI,
		Header: encodeFields(r.Header), Body: r.Body, Caller: r.Caller.AsSlice(),
		RemainingNanoseconds: int64(r.Deadline.Sub(now)), Rank: string(r.Rank),
		Depth: uint32(r.Depth), Allowance: uint32(r.RetryAllowance), Key: r.Key, Idempotent: r.Idempotent,
		Number: m.Number, BodyBytes: uint64(m.BodySize), SentNanoseconds: int64(m.Sent),
	}
	if m.Digest != (ident.Digest{}) {
		p.Digest = m.Digest[:]
	}
	if !r.SoftDeadline.IsZero() {
		p.ToAimNanoseconds = proto.Int64(int64(r.SoftDeadline.Sub(now)))
	}
	if !r.HoldUntil.IsZero() {
		p.HoldNanoseconds = proto.Int64(int64(r.HoldUntil.Sub(now)))
	}
	return p
}

func encodeReply(m Reply) *peerpb.CallReply {
	r := m.Result
	p := &peerpb.CallReply{Number: m.Number, Load: encodeLoad(r.Load), RetriesUsed: uint32(r.RetriesUsed), Sent: r.Sent}
	switch o := r.Outcome.(type) {
	case call.Answered:
		p.Outcome = &peerpb.CallReply_Answered{Answered: &peerpb.Answered{
			Status: uint32(o.Status), Header: encodeFields(o.Header), Body: o.Body, Remembered: o.Replayed,
		}}
	case call.Refused:
		p.Outcome = &peerpb.CallReply_Refused{Refused: &peerpb.Refused{
			Kind: string(o.Kind), RetryAfterNanoseconds: int64(o.RetryAfter), Detail: o.Detail,
		}}
	case call.Unknown:
		p.Outcome = &peerpb.CallReply_Unknown{Unknown: &peerpb.Unknown{Kind: string(o.Kind), Detail: o.Detail}}
	}
	return p
}

func encodeFields(fields []call.Field) []*peerpb.Field {
	out := make([]*peerpb.Field, len(fields))
	for i, f := range fields {
		out[i] = &peerpb.Field{Name: f.Name, Value: f.Value}
	}
	return out
}

func encodeHead(h ident.Head) *peerpb.Head {
	return &peerpb.Head{Serial: uint64(h.Serial), Digest: h.Digest[:], Era: uint64(h.Era)}
}

func encodeLoad(l call.Load) *peerpb.Load {
	return &peerpb.Load{
		InFlight: uint32(l.InFlight), Queued: uint32(l.Queued), Limit: uint32(l.Limit),
		QueueDelayNanoseconds: int64(l.QueueDelay), LatencyNanoseconds: int64(l.Latency),
		Incarnation: l.Incarnation[:], Epoch: uint32(l.Epoch), Head: encodeHead(l.Head), Draining: l.Draining,
		Down: l.Down, Slowness: l.Slowness, SlowForNanoseconds: int64(l.ExpectedSlowDuration), UntilWarmNanoseconds: int64(l.UntilWarm),
	}
}

func encodeCrashReports(m CrashReports) *peerpb.Blame {
	p := &peerpb.Blame{VM: string(m.From), Service: string(m.Service)}
	for _, e := range m.Entries {
		p.Entries = append(p.Entries, &peerpb.BlameEntry{
			Digest: e.Digest[:], Weight: e.Weight, Crashes: uint32(e.Crashes), RemainingNanoseconds: int64(e.ExpiresIn),
		})
	}
	for _, y := range m.Tallies {
		p.Tallies = append(p.Tallies, &peerpb.CrashTally{
			Service: string(y.Service), Digest: y.Digest[:], Origin: y.Origin[:],
			Crashes: uint32(y.Crashes), Confirmed: uint32(y.Confirmed), Cleared: uint32(y.Cleared), AgeNanoseconds: int64(y.Age),
		})
	}
	return p
}

func encodeControl(m relay.Message) *peerpb.Envelope {
	switch m := m.(type) {
	case relay.Digest:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Digest{Digest: &peerpb.Digest{
			Head: encodeHead(m.Head), ServiceKnown: m.ServiceReadAgeKnown,
			ServiceAgeNanoseconds: int64(m.ServiceReadAge), ListingVersion: m.ListingVersion,
			VM: string(m.VM), DataCentre: string(m.DataCentre), Accepted: m.Accepted,
		}}}
	case relay.Offer:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Offer{Offer: encodeOffer(m)}}
	case relay.Pull:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Pull{Pull: &peerpb.Pull{After: encodeHead(m.After)}}}
	case relay.Notes:
		p := &peerpb.Notes{}
		for _, o := range m.Notes {
			p.Notes = append(p.Notes, encodeOffer(o))
		}
		return &peerpb.Envelope{Body: &peerpb.Envelope_Notes{Notes: p}}
	case relay.Snapshot:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Snapshot{Snapshot: &peerpb.Snapshot{
			Head: encodeHead(m.Head), Text: m.Text, Version: m.Version, Accepted: m.Accepted,
		}}}
	case relay.Ack:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Ack{Ack: &peerpb.Ack{
			Head: encodeHead(m.Head), VM: string(m.VM), DataCentre: string(m.DataCentre),
		}}}
	case relay.PullListing:
		return &peerpb.Envelope{Body: &peerpb.Envelope_PullListing{PullListing: &peerpb.PullListing{After: m.After}}}
	case relay.Listing:
		return &peerpb.Envelope{Body: &peerpb.Envelope_Listing{Listing: encodeListing(m)}}
	}
	return &peerpb.Envelope{}
}

func encodeOffer(o relay.Offer) *peerpb.Offer {
	return &peerpb.Offer{Serial: uint64(o.Serial), Text: o.Text, Version: o.Version, Accepted: o.Accepted}
}

func encodeListing(m relay.Listing) *peerpb.Listing {
	p := &peerpb.Listing{Version: m.Version, Since: m.Since}
	for _, v := range m.VMs {
		p.VMs = append(p.VMs, &peerpb.ListedVM{
			VM: string(v.VM), DataCentre: string(v.DataCentre), State: string(v.State), Daemon: v.Daemon.String(),
		})
	}
	for _, v := range m.Removed {
		p.Removed = append(p.Removed, string(v))
	}
	return p
}
