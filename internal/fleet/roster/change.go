package roster

import (
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
)

// A Revision numbers a change in the platform's store. Later changes never have a lower number.
type Revision uint64

// An Era numbers the restores of the platform's store. Each time the store returns from an older copy, its era rises by
// one, and revisions that were given out in the era before are given out again.
type Era = ident.Era

// A Change is one change of the state that the platform publishes: ConfigUpdated, ConfigDelta, ConfigInvalid,
// ConfigPartInvalid, TargetRegistered, TargetRemoved, TargetLapsed, TargetUnusable, DataCentreEvacuated or DataCentreRestored.
type Change interface {
	change()
	// ChangeRevision returns the revision of the change.
	ChangeRevision() Revision
}

// A ConfigUpdated is a new config published by the operators.
type ConfigUpdated struct {
	Config
	Revision Revision
}

// A TargetRegistered is a report that a target published about itself.
type TargetRegistered struct {
	Target note.Target
	// Sequence increases with each report from the same process of the target.
	Sequence uint64
	Revision Revision
}

// A TargetRemoved reports that the entry of a target was removed.
type TargetRemoved struct {
	Name     ident.Target
	Revision Revision
}

// A TargetUnusable reports that the entry of a target does not describe a usable target.
type TargetUnusable struct {
	Name     ident.Target
	Reason   string
	Revision Revision
}

// A ConfigDelta is a new config, expressed as the changes since a base config. It is received from peers only and
// can be applied only to the base config: it does not contain changes that were made and reverted in between.
type ConfigDelta struct {
	// Config holds the added and the changed routes, and all services.
	Config
	// RemovedRoutes are the names of the removed routes.
	RemovedRoutes []ident.Route
	// Base is the revision of the base config.
	Base     Revision
	Revision Revision
}

func (ConfigDelta) change() {}

// ChangeRevision implements Change.
func (c ConfigDelta) ChangeRevision() Revision { return c.Revision }

// A ConfigInvalid reports a config that cannot be used. The previous config stays in force.
type ConfigInvalid struct {
	Reason   string
	Revision Revision
}

func (ConfigInvalid) change() {}

// ChangeRevision implements Change.
func (c ConfigInvalid) ChangeRevision() Revision { return c.Revision }

// A DataCentreEvacuated reports that the operators want the targets of a data centre to get no new calls.
type DataCentreEvacuated struct {
	DataCentre ident.DataCentre
	Revision   Revision
}

// A DataCentreRestored reports that the targets of a data centre get calls again.
type DataCentreRestored struct {
	DataCentre ident.DataCentre
	Revision   Revision
}

func (DataCentreEvacuated) change() {}
func (DataCentreRestored) change()  {}

// ChangeRevision implements Change.
func (c DataCentreEvacuated) ChangeRevision() Revision { return c.Revision }

// ChangeRevision implements Change.
func (c DataCentreRestored) ChangeRevision() Revision { return c.Revision }

// A ConfigPartInvalid reports a part of a config that cannot be read, such as a route of an unknown type. The rest of the
// config is used.
type ConfigPartInvalid struct {
	// Part names the part, such as a route.
	Part   string
	Reason string
	// Dropped is true if the part is left out. Otherwise its unreadable fields count as missing.
	Dropped  bool
	Revision Revision
}

func (ConfigPartInvalid) change() {}

// ChangeRevision implements Change.
func (c ConfigPartInvalid) ChangeRevision() Revision { return c.Revision }

func (ConfigUpdated) change()    {}
func (TargetRegistered) change() {}
func (TargetRemoved) change()    {}
func (TargetUnusable) change()   {}

// ChangeRevision implements Change.
func (c ConfigUpdated) ChangeRevision() Revision { return c.Revision }

// ChangeRevision implements Change.
func (c TargetRegistered) ChangeRevision() Revision { return c.Revision }

// ChangeRevision implements Change.
func (c TargetRemoved) ChangeRevision() Revision { return c.Revision }

// ChangeRevision implements Change.
func (c TargetUnusable) ChangeRevision() Revision { return c.Revision }

// A Config is the part of a release that operators publish.
type Config struct {
	Version  uint64
	Routes   map[ident.Route]note.Route
	Services map[ident.Service]note.Service
	Limits   note.Limits
}

// Changes holds the changes after a revision, and the revision up to which they are complete. All revisions are of the
// same era.
type Changes struct {
	Changes  []Change
	Revision Revision
	Era      Era
}

// A Snapshot is the full published state at a revision, as one change for each entry and one for the config. It is read
// in several pages, so some entries may be newer than Revision.
type Snapshot Changes
