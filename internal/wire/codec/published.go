package codec

import (
	"net/netip"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/fleet/roster"
	"jacinthcross/internal/wire/peerpb"
)

func encodeChangesReply(m ChangesReply, now time.Time) *peerpb.Published {
	p := &peerpb.Published{Revision: uint64(m.Revision), Era: uint64(m.Era), Whole: m.Complete, AgeNanoseconds: int64(m.Age), Lost: m.StoreUnreachable, WaitedNanoseconds: int64(m.Waited)}
	for _, c := range m.Changes.Changes {
		switch c := c.(type) {
		case roster.ConfigUpdated, roster.ConfigDelta:
			e := m.Config
			if e == nil {
				e = NewEncodedConfig(c)
			}
			p.ConfigRevision = uint64(c.ChangeRevision())
			p.Config, p.DeflatedConfig = e.encoding()
		case roster.TargetRegistered:
			p.Entries = append(p.Entries, &peerpb.Entry{
				Name: string(c.Target.Name), Revision: uint64(c.Revision), Sequence: c.Sequence,
				State: &peerpb.Entry_Target{Target: encodeTarget(c.Target, now)},
			})
		case roster.TargetLapsed:
			p.Entries = append(p.Entries, &peerpb.Entry{
				Name: string(c.Target.Name), Revision: uint64(c.Revision), LapsesNanoseconds: proto.Int64(int64(c.DropAt.Sub(now))),
				State: &peerpb.Entry_Target{Target: encodeTarget(c.Target, now)},
			})
		case roster.TargetRemoved:
			p.Entries = append(p.Entries, &peerpb.Entry{
				Name: string(c.Name), Revision: uint64(c.Revision), State: &peerpb.Entry_Removed{Removed: true},
			})
		case roster.TargetUnusable:
			p.Entries = append(p.Entries, &peerpb.Entry{
				Name: string(c.Name), Revision: uint64(c.Revision), State: &peerpb.Entry_Unusable{Unusable: true},
			})
		case roster.DataCentreEvacuated:
			p.Evacuations = append(p.Evacuations, &peerpb.Evacuation{DataCentre: string(c.DataCentre), Revision: uint64(c.Revision)})
		case roster.DataCentreRestored:
			p.Evacuations = append(p.Evacuations, &peerpb.Evacuation{DataCentre: string(c.DataCentre), Revision: uint64(c.Revision), Removed: true})
		case roster.ConfigInvalid, roster.ConfigPartInvalid:
			// Peers need only what can be used.
		}
	}
	return p
}

func encodeConfig(c roster.Config) *peerpb.Config {
	p := &peerpb.Config{
		Version: c.Version, MaxHeader: int64(c.Limits.MaxHeader), MaxBody: int64(c.Limits.MaxBody),
		HeaderTimeoutNanoseconds: int64(c.Limits.HeaderTimeout), IdleTimeoutNanoseconds: int64(c.Limits.IdleTimeout),
	}
	for _, r := range c.Routes {
		route := &peerpb.Route{
			Name: string(r.Name), Host: r.Host, Prefix: r.Prefix, Idempotent: r.Idempotent,
			TimeoutNanoseconds: int64(r.Timeout), AimNanoseconds: int64(r.Aim), Attempts: int64(r.Attempts), Rank: string(r.Rank),
		}
		for _, s := range r.Split {
			route.Split = append(route.Split, &peerpb.Share{Service: string(s.Service), Weight: int64(s.Weight)})
		}
		p.Routes = append(p.Routes, route)
	}
	for _, s := range c.Services {
		p.Services = append(p.Services, &peerpb.Service{
			Name: string(s.Name), HealthPath: s.HealthPath, MaxConnections: int64(s.MaxConnections),
			ColdStartNanoseconds: int64(s.ColdStart), ColdRate: s.ColdRate,
		})
	}
	return p
}

func encodeTarget(t note.Target, now time.Time) *peerpb.Target {
	p := &peerpb.Target{
		Service: string(t.Service), VM: string(t.VM), DataCentre: string(t.DataCentre), Region: string(t.Region),
		Daemon: encodeAddress(t.Daemon), Address: encodeAddress(t.Address), Slots: uint32(t.Slots), Draining: t.Draining,
	}
	if !t.WarmAt.IsZero() {
		// At least 1, since 0 means that the target is warm.
		p.WarmNanoseconds = max(1, int64(t.WarmAt.Sub(now)))
	}
	if !t.StartedAt.IsZero() {
		p.StartedMilliseconds = t.StartedAt.UnixMilli()
	}
	return p
}

// encodeAddress ignores the error of MarshalBinary, which is always nil.
func encodeAddress(a netip.AddrPort) []byte {
	b, _ := a.MarshalBinary()
	return b
}

func decodeChangesReply(p *peerpb.Published, now time.Time) (Message, error) {
	m := ChangesReply{
		Changes: roster.Changes{Revision: roster.Revision(p.GetRevision()), Era: roster.Era(p.GetEra())}, Complete: p.GetWhole(),
		Age: time.Duration(p.GetAgeNanoseconds()), Waited: time.Duration(p.GetWaitedNanoseconds()), StoreUnreachable: p.GetLost(),
	}
	config, err := inflateConfig(p)
	if err != nil {
		return nil, err
	}
	if config != nil {
		c, err := decodeConfig(config)
		if err != nil {
			return nil, err
		}
		m.Changes.Changes = append(m.Changes.Changes, configChange(p.GetConfigRevision(), config, c))
	}
	for _, e := range p.GetEntries() {
		c, err := decodeEntry(e, now)
		if err != nil {
			return nil, errors.Annotatef(err, "entry of target %q", e.GetName())
		}
		m.Changes.Changes = append(m.Changes.Changes, c)
	}
	for _, e := range p.GetEvacuations() {
		m.Changes.Changes = append(m.Changes.Changes, decodeEvacuation(e))
	}
	return m, nil
}

func decodeEvacuation(p *peerpb.Evacuation) roster.Change {
	dataCentre, revision := ident.DataCentre(p.GetDataCentre()), roster.Revision(p.GetRevision())
	if p.GetRemoved() {
		return roster.DataCentreRestored{DataCentre: dataCentre, Revision: revision}
	}
	return roster.DataCentreEvacuated{DataCentre: dataCentre, Revision: revision}
}

func configChange(revision uint64, p *peerpb.Config, c roster.Config) roster.Change {
	if !p.GetChanges() {
		return roster.ConfigUpdated{Config: c, Revision: roster.Revision(revision)}
	}
	change := roster.ConfigDelta{Config: c, Base: roster.Revision(p.GetBaseRevision()), Revision: roster.Revision(revision)}
	for _, name := range p.GetDropped() {
		change.RemovedRoutes = append(change.RemovedRoutes, ident.Route(name))
	}
	return change
}

func decodeConfig(p *peerpb.Config) (roster.Config, error) {
	c := roster.Config{
		Version: p.GetVersion(), Routes: map[ident.Route]note.Route{}, Services: map[ident.Service]note.Service{},
		Limits: note.Limits{
			MaxHeader: int(p.GetMaxHeader()), MaxBody: int(p.GetMaxBody()),
			HeaderTimeout: time.Duration(p.GetHeaderTimeoutNanoseconds()), IdleTimeout: time.Duration(p.GetIdleTimeoutNanoseconds()),
		},
	}
	for _, r := range p.GetRoutes() {
		rank, err := ident.ParseRank(r.GetRank())
		if err != nil {
			return c, errors.Annotatef(err, "route %q", r.GetName())
		}
		route := note.Route{
			Name: ident.Route(r.GetName()), Host: r.GetHost(), Prefix: r.GetPrefix(), Idempotent: r.GetIdempotent(),
			Timeout: time.Duration(r.GetTimeoutNanoseconds()), Aim: time.Duration(r.GetAimNanoseconds()),
			Attempts: int(r.GetAttempts()), Rank: rank,
		}
		for _, s := range r.GetSplit() {
			route.Split = append(route.Split, note.Share{Service: ident.Service(s.GetService()), Weight: int(s.GetWeight())})
		}
		if len(route.Split) == 0 {
			return c, errors.NotValidf("route %q without a service", r.GetName())
		}
		c.Routes[route.Name] = route
	}
	for _, s := range p.GetServices() {
		name := ident.Service(s.GetName())
		c.Services[name] = note.Service{
			Name: name, HealthPath: s.GetHealthPath(), MaxConnections: int(s.GetMaxConnections()),
			ColdStart: time.Duration(s.GetColdStartNanoseconds()), ColdRate: s.GetColdRate(),
		}
	}
	return c, nil
}

func decodeEntry(e *peerpb.Entry, now time.Time) (roster.Change, error) {
	name, revision := ident.Target(e.GetName()), roster.Revision(e.GetRevision())
	switch s := e.State.(type) {
	case *peerpb.Entry_Removed:
		return roster.TargetRemoved{Name: name, Revision: revision}, nil
	case *peerpb.Entry_Unusable:
		return roster.TargetUnusable{Name: name, Revision: revision}, nil
	case *peerpb.Entry_Target:
		t, err := decodeTarget(name, s.Target, now)
		if err != nil {
			return nil, err
		}
		if e.LapsesNanoseconds != nil {
			return roster.TargetLapsed{Target: t, DropAt: now.Add(time.Duration(e.GetLapsesNanoseconds())), Revision: revision}, nil
		}
		return roster.TargetRegistered{Target: t, Sequence: e.GetSequence(), Revision: revision}, nil
	}
	return nil, errors.NotValidf("entry without a state")
}

func decodeTarget(name ident.Target, p *peerpb.Target, now time.Time) (note.Target, error) {
	t := note.Target{
		Name: name, Service: ident.Service(p.GetService()), VM: ident.VM(p.GetVM()), DataCentre: ident.DataCentre(p.GetDataCentre()),
		Region: ident.Region(p.GetRegion()), Slots: int(p.GetSlots()), Draining: p.GetDraining(),
	}
	if err := t.Daemon.UnmarshalBinary(p.GetDaemon()); err != nil {
		return t, errors.Trace(err)
	}
	if err := t.Address.UnmarshalBinary(p.GetAddress()); err != nil {
		return t, errors.Trace(err)
	}
	if p.GetWarmNanoseconds() > 0 {
		t.WarmAt = now.Add(time.Duration(p.GetWarmNanoseconds()))
	}
	if p.GetStartedMilliseconds() != 0 {
		t.StartedAt = time.UnixMilli(p.GetStartedMilliseconds())
	}
	return t, nil
}
