package codec

import (
	"math"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/relay"
	"jacinthcross/internal/fleet/roster"
	"jacinthcross/internal/policy/crash"
	"jacinthcross/internal/wire/peerpb"
)

func decode(e *peerpb.Envelope, now time.Time) (Message, error) {
	switch b := e.Body.(type) {
	case *peerpb.Envelope_Hello:
		return decodeHello(b.Hello)
	case *peerpb.Envelope_CallRequest:
		return decodeCall(b.CallRequest, now)
	case *peerpb.Envelope_BodyRequest:
		return BodyRequest{Number: b.BodyRequest.GetNumber()}, nil
	case *peerpb.Envelope_RequestBody:
		return RequestBody{Number: b.RequestBody.GetNumber(), Body: b.RequestBody.GetBody()}, nil
	case *peerpb.Envelope_CallReply:
		return decodeReply(b.CallReply)
	case *peerpb.Envelope_LoadRequest:
		return LoadRequest{Target: ident.Target(b.LoadRequest.GetTarget())}, nil
	case *peerpb.Envelope_LoadReply:
		l, err := decodeLoad(b.LoadReply.GetLoad())
		return LoadReply{Load: l}, err
	case *peerpb.Envelope_TargetReport:
		l, err := decodeLoad(b.TargetReport.GetLoad())
		return TargetReport{Target: ident.Target(b.TargetReport.GetTarget()), Load: l}, err
	case *peerpb.Envelope_Blame:
		return decodeCrashReports(b.Blame)
	case *peerpb.Envelope_Drain:
		return Drain{VM: ident.VM(b.Drain.GetVM())}, nil
	case *peerpb.Envelope_Ask:
		return ChangesRequest{
			After: roster.Revision(b.Ask.GetAfter()), Era: roster.Era(b.Ask.GetEra()), Wait: time.Duration(b.Ask.GetWaitNanoseconds()),
		}, nil
	case *peerpb.Envelope_Published:
		return decodeChangesReply(b.Published, now)
	case *peerpb.Envelope_Done:
		return Done{}, nil
	case nil:
		return nil, errors.NotValidf("message without a body")
	}
	m, err := decodeControl(e)
	return Control{Message: m}, err
}

func decodeHello(p *peerpb.Hello) (Message, error) {
	i, err := decodeIncarnation(p.GetIncarnation())
	if err != nil {
		return nil, err
	}
	h, err := decodeHead(p.GetHead())
	if err != nil {
		return nil, err
	}
	m := Hello{
		Protocol: int(p.GetProtocol()), VM: ident.VM(p.GetVM()), DataCentre: ident.DataCentre(p.GetDataCentre()),
		Incarnation: i, Head: h, Draining: p.GetDraining(), Bulk: p.GetBulk(), RequestsBodies: p.GetRequestsBodies(),
	}
	if b := p.GetDaemon(); len(b) > 0 {
		if err := m.Daemon.UnmarshalBinary(b); err != nil {
			return nil, errors.NewNotValid(err, "peer address in Hello")
		}
	}
	return m, nil
}

func decodeCall(p *peerpb.CallRequest, now time.Time) (Message, error) {
	rank, err := ident.ParseRank(p.GetRank())
	if err != nil {
		return nil, errors.Trace(err)
	}
	// An invalid caller address is treated as unknown, since it only selects a retry budget.
	caller, _ := netip.AddrFromSlice(p.GetCaller())
	if p.GetBodyBytes() > math.MaxInt32 {
		return nil, errors.NotValidf("body of %d bytes", p.GetBodyBytes())
	}
	m := Call{Target: ident.Target(p.GetTarget()), Number: p.GetNumber(), BodySize: int(p.GetBodyBytes()), Sent: time.Duration(p.GetSentNanoseconds()), Request: call.Request{
		ID: p.GetRequestID(), Route: ident.Route(p.GetRoute()), Origin: ident.Service(p.GetOrigin()), RetriedByCaller: p.GetReturned(), CallerCannotRetry: p.GetFinal(), UsualLatency: time.Duration(p.GetUsualNanoseconds()), MinOtherSlowness: p.GetElsewhere(),
		Service: ident.Service(p.GetService()), Method: p.GetMethod(), URI: p.GetURI(),
		Header: decodeFields(p.GetHeader()), Body: p.GetBody(), Caller: caller,
		Deadline: now.Add(time.Duration(p.GetRemainingNanoseconds())), Rank: rank,
		Depth: int(p.GetDepth()), RetryAllowance: int(p.GetAllowance()), Key: p.GetKey(), Idempotent: p.GetIdempotent(),
	}}
	if b := p.GetDigest(); len(b) > 0 {
		if m.Digest, err = decodeDigest(b); err != nil {
			return nil, err
		}
	}
	if p.ToAimNanoseconds != nil {
		m.Request.SoftDeadline = now.Add(time.Duration(p.GetToAimNanoseconds()))
	}
	if p.HoldNanoseconds != nil {
		m.Request.HoldUntil = now.Add(time.Duration(p.GetHoldNanoseconds()))
	}
	return m, nil
}

func decodeReply(p *peerpb.CallReply) (Message, error) {
	l, err := decodeLoad(p.GetLoad())
	if err != nil {
		return nil, err
	}
	r := call.Result{Load: l, RetriesUsed: int(p.GetRetriesUsed()), Sent: p.GetSent()}
	switch o := p.Outcome.(type) {
	case *peerpb.CallReply_Answered:
		r.Outcome = call.Answered{
			Status: int(o.Answered.GetStatus()), Header: decodeFields(o.Answered.GetHeader()),
			Body: o.Answered.GetBody(), Replayed: o.Answered.GetRemembered(),
		}
	case *peerpb.CallReply_Refused:
		r.Outcome = call.Refused{
			Kind:       errs.Kind(o.Refused.GetKind()),
			RetryAfter: time.Duration(o.Refused.GetRetryAfterNanoseconds()), Detail: o.Refused.GetDetail(),
		}
	case *peerpb.CallReply_Unknown:
		r.Outcome = call.Unknown{Kind: errs.Kind(o.Unknown.GetKind()), Detail: o.Unknown.GetDetail()}
	default:
		return nil, errors.NotValidf("call reply without an outcome")
	}
	r.Outcome = call.Checked(r.Outcome)
	return Reply{Result: r, Number: p.GetNumber()}, nil
}

func decodeFields(fields []*peerpb.Field) []call.Field {
	out := make([]call.Field, len(fields))
	for i, f := range fields {
		out[i] = call.Field{Name: f.GetName(), Value: f.GetValue()}
	}
	return out
}

func decodeIncarnation(b []byte) (ident.Incarnation, error) {
	var i ident.Incarnation
	if len(b) != len(i) {
		return i, errors.NotValidf("incarnation of %d bytes", len(b))
	}
	copy(i[:], b)
	return i, nil
}

func decodeDigest(b []byte) (ident.Digest, error) {
	var d ident.Digest
	if len(b) != len(d) {
		return d, errors.NotValidf("digest of %d bytes", len(b))
	}
	copy(d[:], b)
	return d, nil
}

func decodeHead(p *peerpb.Head) (ident.Head, error) {
	d, err := decodeDigest(p.GetDigest())
	return ident.Head{Serial: ident.Serial(p.GetSerial()), Digest: d, Era: ident.Era(p.GetEra())}, err
}

func decodeLoad(p *peerpb.Load) (call.Load, error) {
	i, err := decodeIncarnation(p.GetIncarnation())
	if err != nil {
		return call.Load{}, err
	}
	h, err := decodeHead(p.GetHead())
	return call.Load{
		InFlight: int(p.GetInFlight()), Queued: int(p.GetQueued()), Limit: int(p.GetLimit()),
		QueueDelay: time.Duration(p.GetQueueDelayNanoseconds()), Latency: time.Duration(p.GetLatencyNanoseconds()),
		Incarnation: i, Epoch: ident.Epoch(p.GetEpoch()), Head: h, Draining: p.GetDraining(),
		Down: p.GetDown(), Slowness: p.GetSlowness(), ExpectedSlowDuration: time.Duration(p.GetSlowForNanoseconds()), UntilWarm: time.Duration(p.GetUntilWarmNanoseconds()),
	}, err
}

func decodeCrashReports(p *peerpb.Blame) (Message, error) {
	m := CrashReports{From: ident.VM(p.GetVM()), Service: ident.Service(p.GetService())}
	for _, e := range p.GetEntries() {
		d, err := decodeDigest(e.GetDigest())
		if err != nil {
			return nil, err
		}
		m.Entries = append(m.Entries, crash.Report{
			Digest: d, Weight: e.GetWeight(), Crashes: int(e.GetCrashes()), ExpiresIn: time.Duration(e.GetRemainingNanoseconds()),
		})
	}
	for _, y := range p.GetTallies() {
		d, err := decodeDigest(y.GetDigest())
		if err != nil {
			return nil, err
		}
		origin, err := decodeIncarnation(y.GetOrigin())
		if err != nil {
			return nil, err
		}
		m.Tallies = append(m.Tallies, crash.Tally{
			Service: ident.Service(y.GetService()), Digest: d, Origin: origin,
			Crashes: int(y.GetCrashes()), Confirmed: int(y.GetConfirmed()), Cleared: int(y.GetCleared()), Age: time.Duration(y.GetAgeNanoseconds()),
		})
	}
	return m, nil
}

func decodeControl(e *peerpb.Envelope) (relay.Message, error) {
	switch b := e.Body.(type) {
	case *peerpb.Envelope_Digest:
		h, err := decodeHead(b.Digest.GetHead())
		return relay.Digest{
			Head: h, ServiceReadAgeKnown: b.Digest.GetServiceKnown(),
			ServiceReadAge: time.Duration(b.Digest.GetServiceAgeNanoseconds()), ListingVersion: b.Digest.GetListingVersion(),
			VM: ident.VM(b.Digest.GetVM()), DataCentre: ident.DataCentre(b.Digest.GetDataCentre()), Accepted: b.Digest.GetAccepted(),
		}, err
	case *peerpb.Envelope_Offer:
		return decodeOffer(b.Offer), nil
	case *peerpb.Envelope_Pull:
		h, err := decodeHead(b.Pull.GetAfter())
		return relay.Pull{After: h}, err
	case *peerpb.Envelope_Notes:
		var m relay.Notes
		for _, o := range b.Notes.GetNotes() {
			m.Notes = append(m.Notes, decodeOffer(o))
		}
		return m, nil
	case *peerpb.Envelope_Snapshot:
		h, err := decodeHead(b.Snapshot.GetHead())
		return relay.Snapshot{Head: h, Text: b.Snapshot.GetText(), Version: b.Snapshot.GetVersion(), Accepted: b.Snapshot.GetAccepted()}, err
	case *peerpb.Envelope_Ack:
		h, err := decodeHead(b.Ack.GetHead())
		return relay.Ack{Head: h, VM: ident.VM(b.Ack.GetVM()), DataCentre: ident.DataCentre(b.Ack.GetDataCentre())}, err
	case *peerpb.Envelope_PullListing:
		return relay.PullListing{After: b.PullListing.GetAfter()}, nil
	case *peerpb.Envelope_Listing:
		return decodeListing(b.Listing)
	}
	return nil, errors.NotValidf("message of an unknown kind")
}

func decodeOffer(p *peerpb.Offer) relay.Offer {
	return relay.Offer{Serial: ident.Serial(p.GetSerial()), Text: p.GetText(), Version: p.GetVersion(), Accepted: p.GetAccepted()}
}

func decodeListing(p *peerpb.Listing) (relay.Message, error) {
	m := relay.Listing{Version: p.GetVersion(), Since: p.GetSince()}
	for _, v := range p.GetVMs() {
		a, err := netip.ParseAddrPort(v.GetDaemon())
		if err != nil {
			return nil, errors.Annotatef(err, "VM list: daemon address of VM %q", v.GetVM())
		}
		m.VMs = append(m.VMs, relay.ListedVM{
			VM: ident.VM(v.GetVM()), DataCentre: ident.DataCentre(v.GetDataCentre()),
			State: relay.ListedState(v.GetState()), Daemon: a,
		})
	}
	for _, v := range p.GetRemoved() {
		m.Removed = append(m.Removed, ident.VM(v))
	}
	return m, nil
}
