package roster

import (
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
)

// A Revision numbers the changes of the platform's store. It only rises.
type Revision uint64

// A Change is one change of what the platform publishes: Configured, Reconfigured, Misconfigured,
// Registered, Removed, Lapsed or Unusable.
type Change interface {
	change()
	// At returns the revision of the change.
	At() Revision
}

// A Configured is a new config of the operators.
type Configured struct {
	Config
	Revision Revision
}

// A Registered is what a target tells of itself.
type Registered struct {
	Target note.Target
	// Sequence rises with each report of one run of the target.
	Sequence uint64
	Revision Revision
}

// A Removed says that the entry of a target has gone.
type Removed struct {
	Name     ident.Target
	Revision Revision
}

// An Unusable is an entry that names no target to use.
type Unusable struct {
	Name     ident.Target
	Reason   string
	Revision Revision
}

// A Reconfigured is a new config as what has changed in it since another one. It comes from peers only, and is of use
// only to those that hold that one: what was changed and changed back in between is not part of it.
type Reconfigured struct {
	// Config has the routes that were added or have changed, and all services.
	Config
	// Dropped are the routes that are gone.
	Dropped []ident.Route
	// Base is the revision of the config since which this has changed.
	Base     Revision
	Revision Revision
}

func (Reconfigured) change() {}

// At implements Change.
func (c Reconfigured) At() Revision { return c.Revision }

// A Misconfigured is a config that cannot be used. The one before it holds.
type Misconfigured struct {
	Reason   string
	Revision Revision
}

func (Misconfigured) change() {}

// At implements Change.
func (c Misconfigured) At() Revision { return c.Revision }

func (Configured) change() {}
func (Registered) change() {}
func (Removed) change()    {}
func (Unusable) change()   {}

// At implements Change.
func (c Configured) At() Revision { return c.Revision }

// At implements Change.
func (c Registered) At() Revision { return c.Revision }

// At implements Change.
func (c Removed) At() Revision { return c.Revision }

// At implements Change.
func (c Unusable) At() Revision { return c.Revision }

// A Config is what operators publish of a release.
type Config struct {
	Version  uint64
	Routes   map[ident.Route]note.Route
	Services map[ident.Service]note.Service
	Limits   note.Limits
}

// Changes are the changes after a revision, and the revision up to which they are complete.
type Changes struct {
	Changes  []Change
	Revision Revision
}

// A Snapshot is all that is published at a revision, or at a later one for some of its parts.
type Snapshot Changes
