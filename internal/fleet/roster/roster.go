// Package roster maintains the state that the platform publishes: the config of the operators and the entries
// of the targets.
package roster

import (
	"maps"
	"net/netip"
	"time"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
)

// LapseGrace is how long a lapsed entry stays in use after the store can be read again. An entry lapses if it is
// removed from the store while this daemon cannot read the store. According to the platform, lapsed entries of running
// targets return within about two seconds.
const LapseGrace = 2200 * time.Millisecond

// maxRemovals limits the recorded removals. They keep an older report from restoring a removed target.
const maxRemovals = 4096

// A Roster holds the newest known config and entries of the targets. It never returns to an older state: the config and
// each entry keep the change with the highest revision. All revisions are of one era (see startEra).
type Roster struct {
	era      Era
	revision Revision
	// historyStart is the revision after which all individual changes are known.
	historyStart Revision
	config       Config
	// configRevision is 0 if the config was published in an older era.
	configRevision Revision
	// configRevisions are the revisions of the most recent configs. The config of the last revision is in force.
	configRevisions []Revision
	// routeRevisions holds the revision of the last change of each route, and removedRoutes the revision at which
	// a route was removed.
	routeRevisions map[ident.Route]Revision
	removedRoutes  map[ident.Route]Revision
	// routedServices holds the services to which the routes of the config lead.
	routedServices map[ident.Service]bool
	// lastRelease is the last release that was built. The next release reuses its route index, as long as the config
	// stays the same.
	lastRelease *note.Release
	entries     map[ident.Target]*entry
	removals    map[ident.Target]removal
	evacuations evacuations
}

// A removal is the removal of the entry of a target.
type removal struct {
	revision Revision
	// ended holds the processes of the target, as in an entry.
	ended []process
}

// New returns an empty Roster.
func New() *Roster {
	return &Roster{
		entries: map[ident.Target]*entry{}, removals: map[ident.Target]removal{},
		routeRevisions: map[ident.Route]Revision{}, removedRoutes: map[ident.Route]Revision{}, evacuations: newEvacuations(),
	}
}

// Revision returns the revision up to which the roster is complete.
func (r *Roster) Revision() Revision { return r.revision }

// Version returns the version of the config, or 0 if none is known.
func (r *Roster) Version() uint64 { return r.config.Version }

// ApplySnapshot applies a snapshot of the full published state and reports whether anything changed. A snapshot older
// than the known state is ignored. interrupted is true if entries may have lapsed since the store was last read: missing
// entries are then dropped only after LapseGrace. The same holds for a snapshot of a newer era, in which entries are
// missing that were written after the copy from which the store was restored.
func (r *Roster) ApplySnapshot(s Snapshot, interrupted bool, now time.Time) bool {
	if s.Era < r.era || s.Era == r.era && s.Revision < r.revision {
		return false
	}
	newEra := s.Era > r.era
	if newEra {
		r.startEra(s.Era, now)
	}
	r.historyStart = s.Revision
	present := map[ident.Target]bool{}
	for _, c := range s.Changes {
		switch c := c.(type) {
		case TargetRegistered:
			present[c.Target.Name] = true
		case TargetLapsed:
			present[c.Target.Name] = true
		case TargetUnusable:
			present[c.Name] = true
		case ConfigUpdated, ConfigDelta, ConfigInvalid, ConfigPartInvalid, TargetRemoved, DataCentreEvacuated, DataCentreRestored:
		}
	}
	changed := r.Apply(Changes(s), interrupted, now) || newEra
	changed = r.evacuations.endSnapshot(s, now) || changed
	for name, e := range r.entries {
		switch {
		case present[name] || e.revision > s.Revision:
		case newEra && e.inUse():
			e.lapse(s.Revision, now)
		case s.Era > 0 && e.dropAt.After(now):
			// The entry lapsed at the start of the era. DropLapsed ends it.
		default:
			changed = r.remove(TargetRemoved{Name: name, Revision: s.Revision}, interrupted, now) || changed
		}
	}
	return changed
}

// NeedsSnapshot reports whether the changes are of a newer era, or based on a config other than the one in force. They
// cannot be applied then, and the full state has to be read.
func (r *Roster) NeedsSnapshot(c Changes) bool {
	if c.Era != r.era {
		return c.Era > r.era
	}
	for _, ch := range c.Changes {
		if ch, ok := ch.(ConfigDelta); ok && ch.Revision > r.configRevision && ch.Base != r.configRevision {
			return true
		}
	}
	return false
}

// Apply applies changes and reports whether any had an effect. Changes of another era, or based on a config other than the
// one in force, are ignored. interrupted has the same meaning as for ApplySnapshot.
func (r *Roster) Apply(c Changes, interrupted bool, now time.Time) bool {
	if c.Era != r.era || r.NeedsSnapshot(c) {
		return false
	}
	changed := false
	for _, ch := range c.Changes {
		switch ch := ch.(type) {
		case ConfigUpdated:
			changed = r.setConfig(ch) || changed
		case ConfigDelta:
			changed = r.setConfig(r.applyDelta(ch)) || changed
		case TargetRegistered:
			changed = r.register(ch, now) || changed
		case TargetRemoved:
			changed = r.remove(ch, interrupted, now) || changed
		case TargetUnusable:
			changed = r.markUnusable(ch) || changed
		case TargetLapsed:
			changed = r.markLapsed(ch) || changed
		case DataCentreEvacuated:
			changed = r.evacuations.evacuate(ch) || changed
		case DataCentreRestored:
			changed = r.evacuations.restore(ch) || changed
		case ConfigInvalid, ConfigPartInvalid:
		}
	}
	r.historyStart = max(r.historyStart, r.evacuations.prune())
	r.revision = max(r.revision, c.Revision)
	return changed
}

// maxConfigRevisions limits the recorded config revisions. The revisions are needed to compute config changes for
// peers, and peers request a change within seconds.
const maxConfigRevisions = 64

// ConfigRevision returns the revision of the config in force.
func (r *Roster) ConfigRevision() Revision { return r.configRevision }

// setConfig replaces the config if the new one supersedes it.
func (r *Roster) setConfig(c ConfigUpdated) bool {
	if !r.supersedesConfig(c) {
		return false
	}
	if c.Revision == 0 {
		r.forgetConfigRevisions()
	}
	for name, route := range c.Routes {
		if old, ok := r.config.Routes[name]; !ok || !old.Equal(route) {
			r.routeRevisions[name] = c.Revision
			delete(r.removedRoutes, name)
		}
	}
	for name := range r.config.Routes {
		if _, ok := c.Routes[name]; !ok {
			delete(r.routeRevisions, name)
			r.removedRoutes[name] = c.Revision
		}
	}
	r.config, r.configRevision, r.lastRelease = c.Config, c.Revision, nil
	r.routedServices = map[ident.Service]bool{}
	for _, route := range c.Routes {
		for _, share := range route.Split {
			r.routedServices[share.Service] = true
		}
	}
	if c.Revision > 0 {
		r.configRevisions = append(r.configRevisions, c.Revision)
	}
	if len(r.configRevisions) > maxConfigRevisions {
		r.configRevisions = r.configRevisions[1:]
	}
	return true
}

// applyDelta returns the config that results from applying a delta to the one in force.
func (r *Roster) applyDelta(c ConfigDelta) ConfigUpdated {
	routes := maps.Clone(r.config.Routes)
	if routes == nil {
		routes = map[ident.Route]note.Route{}
	}
	maps.Copy(routes, c.Routes)
	for _, name := range c.RemovedRoutes {
		delete(routes, name)
	}
	c.Routes = routes
	return ConfigUpdated{Config: c.Config, Revision: c.Revision}
}

// register applies a report of a target and reports whether the release changes.
func (r *Roster) register(c TargetRegistered, now time.Time) bool {
	name := c.Target.Name
	e, ok := r.entries[name]
	if !ok {
		removed := r.removals[name]
		if c.Revision <= removed.revision {
			return false
		}
		e := newEntry(c, removed.ended, now)
		if e == nil {
			return false
		}
		delete(r.removals, name)
		r.entries[name] = e
		return e.inUse()
	}
	// A report of the same revision has an effect only on a lapsed entry, which it restores.
	if c.Revision < e.revision || c.Revision == e.revision && e.dropAt.IsZero() {
		return false
	}
	if e.registered && c.Target.Service != e.Target.Service {
		switch {
		case !r.isNamed(c.Target.Service):
			return r.markUnusable(TargetUnusable{Name: name, Revision: c.Revision})
		case !r.isNamed(e.Target.Service):
			// The report in use is that of another writer and says nothing about the processes of the target.
			e.revision = c.Revision
			e.use(c)
			return true
		}
	}
	return e.report(c, now)
}

// isNamed reports whether the config names a service. Without a config, each service may be named later.
func (r *Roster) isNamed(s ident.Service) bool {
	if r.config.Version == 0 {
		return true
	}
	_, ok := r.config.Services[s]
	return ok || r.routedServices[s]
}

// UnnamedServices returns the number of entries that are not used because the config does not name their service.
func (r *Roster) UnnamedServices() int {
	n := 0
	for _, e := range r.entries {
		if e.inUse() && !r.isNamed(e.Target.Service) {
			n++
		}
	}
	return n
}

// PendingReports returns the number of entries whose newest report may have been applied late.
func (r *Roster) PendingReports() int {
	n := 0
	for _, e := range r.entries {
		if e.pending != nil {
			n++
		}
	}
	return n
}

func (r *Roster) markUnusable(c TargetUnusable) bool {
	e, ok := r.entries[c.Name]
	if !ok || c.Revision <= e.revision || e.unusable {
		return false
	}
	e.revision, e.unusable, e.pending = c.Revision, true, nil
	if !e.registered {
		delete(r.entries, c.Name)
		r.recordRemoval(c.Name, removal{c.Revision, e.ended})
	}
	return true
}

// remove removes an entry and reports whether the entry has been removed. After an interruption, it only marks the
// entry as lapsed, unless the target is draining or unusable.
func (r *Roster) remove(c TargetRemoved, interrupted bool, now time.Time) bool {
	e, ok := r.entries[c.Name]
	if !ok {
		r.recordRemoval(c.Name, removal{revision: c.Revision})
		return false
	}
	if c.Revision < e.revision {
		return false
	}
	if interrupted && e.inUse() && !e.target().Draining {
		e.lapse(c.Revision, now)
		return false
	}
	delete(r.entries, c.Name)
	if e.registered && r.isNamed(e.Target.Service) {
		e.recordEnd(e.TargetRegistered, now)
	}
	r.recordRemoval(c.Name, removal{c.Revision, e.ended})
	return true
}

func (r *Roster) recordRemoval(name ident.Target, m removal) {
	old, known := r.removals[name]
	if !known && len(r.removals) >= maxRemovals {
		// An arbitrary removal is dropped. Peers that have not seen that removal get the full state instead of the
		// changes.
		for other, o := range r.removals {
			delete(r.removals, other)
			r.historyStart = max(r.historyStart, o.revision)
			break
		}
	}
	m.revision = max(m.revision, old.revision)
	if len(m.ended) == 0 {
		m.ended = old.ended
	}
	r.removals[name] = m
}

// SettlePending decides on the reports that may have been written late, once that is known, and reports whether the
// release changes.
func (r *Roster) SettlePending(now time.Time) bool {
	changed := false
	for _, e := range r.entries {
		changed = e.settle(now) || changed
	}
	return changed
}

// Release builds the release in force. It has no target of a service that no config names, since such an entry comes
// from another writer. Of several entries with the same address it uses only the newest, since the platform reuses the
// address of a target that has ended.
func (r *Roster) Release() *note.Release {
	release := note.NewRelease()
	release.Head = ident.Head{Serial: ident.Serial(r.revision), Era: r.era}
	release.Version, release.Limits = r.config.Version, r.config.Limits
	release.Evacuated = r.evacuations.inForce()
	if r.config.Routes != nil {
		release.Routes, release.Services = r.config.Routes, r.config.Services
	}
	if r.lastRelease != nil {
		release.ReuseRouteIndex(r.lastRelease)
	}
	r.lastRelease = release
	byAddress := map[netip.AddrPort]*entry{}
	for _, e := range r.entries {
		if !e.inUse() || !r.isNamed(e.Target.Service) {
			continue
		}
		if other, ok := byAddress[e.Target.Address]; !ok || e.newerThan(other) {
			byAddress[e.Target.Address] = e
		}
	}
	for _, e := range byAddress {
		t := e.target()
		t.HealthPath = release.Services[t.Service].HealthPath
		release.Targets[t.Name] = t
	}
	return release
}
