package note

import (
	"maps"
	"net/netip"
	"slices"

	"jacinthcross/internal/base/form"
	"jacinthcross/internal/base/ident"
)

// Apply applies note n to release r. It returns the resulting release, or all errors of the note.
func Apply(r *Release, n *Note) (*Release, form.DocumentErrors) {
	a := &applier{
		release:        r.clone(),
		note:           n,
		serviceEntries: map[ident.Service]*form.Table{},
		targetEntries:  map[ident.Target]*form.Table{},
	}
	a.checkOrder(r)
	for _, e := range n.WithdrawTarget {
		a.withdrawTarget(e)
	}
	for _, e := range n.WithdrawService {
		a.withdrawService(e)
	}
	for _, e := range n.AddService {
		a.putService(e, false)
	}
	for _, e := range n.ChangeService {
		a.putService(e, true)
	}
	for _, e := range n.AddTarget {
		a.putTarget(e, false)
	}
	for _, e := range n.ChangeTarget {
		a.putTarget(e, true)
	}
	a.checkConsistency()
	a.release.Head = ident.Head{Serial: n.Serial, Digest: n.digest}
	a.pruneWithdrawals()
	if len(a.errs) == 0 {
		if size := a.release.SnapshotSize(); size > MaxSnapshotSize {
			a.errs = append(a.errs, n.source.NewMistake("Serial", "the snapshot of the release would have %d bytes, want at most %d: withdraw targets or services first", size, MaxSnapshotSize))
		}
	}
	if len(a.errs) > 0 {
		return nil, form.Sorted(a.errs)
	}
	return a.release, nil
}

type applier struct {
	release *Release
	note    *Note
	errs    form.DocumentErrors
	// serviceEntries and targetEntries hold the entries of the note by name.
	serviceEntries map[ident.Service]*form.Table
	targetEntries  map[ident.Target]*form.Table
}

func (a *applier) addError(e *form.Table, key, format string, arguments ...any) {
	a.errs = append(a.errs, e.NewMistake(key, format, arguments...))
}

func (a *applier) checkOrder(r *Release) {
	n := a.note
	if n.Serial != 0 && n.Serial != r.Head.Serial+1 {
		a.addError(n.source, "Serial", "is %d, want %d, one more than the serial of the release in force", n.Serial, r.Head.Serial+1)
	}
	want := ""
	if !r.Head.IsZero() {
		want = r.Head.Digest.String()
	}
	if n.Previous != want {
		a.addError(n.source, "Previous", "is %q, want %q (the SHA-256 of the previous note, or empty in the first note)", n.Previous, want)
	}
}

// recordServiceEntry records the entry of a service and rejects a second one in the same note.
func (a *applier) recordServiceEntry(name ident.Service, e *form.Table) {
	if name == "" {
		return
	}
	if other, ok := a.serviceEntries[name]; ok {
		a.addError(e, "Name", "service %q has another entry on line %d of this note", name, other.NewMistake("", "").Line)
		return
	}
	a.serviceEntries[name] = e
}

// recordTargetEntry records the entry of a target and rejects a second one in the same note. If one note could withdraw
// a target and add it again, the name could move to another daemon, which has no record of earlier calls and cannot
// answer resent ones.
func (a *applier) recordTargetEntry(name ident.Target, e *form.Table) {
	if name == "" {
		return
	}
	if other, ok := a.targetEntries[name]; ok {
		a.addError(e, "Name", "target %q has another entry on line %d of this note", name, other.NewMistake("", "").Line)
		return
	}
	a.targetEntries[name] = e
}

func (a *applier) withdrawTarget(e NameEntry) {
	a.recordTargetEntry(ident.Target(e.Name), e.source)
	t, ok := a.release.Targets[ident.Target(e.Name)]
	if !ok {
		if e.Name != "" {
			a.addError(e.source, "Name", "target %q is not in the release", e.Name)
		}
		return
	}
	delete(a.release.Targets, t.Name)
	a.release.Withdrawn[t.Name] = Withdrawal{Target: t, Serial: a.note.Serial}
}

func (a *applier) withdrawService(e NameEntry) {
	a.recordServiceEntry(ident.Service(e.Name), e.source)
	if _, ok := a.release.Services[ident.Service(e.Name)]; !ok {
		if e.Name != "" {
			a.addError(e.source, "Name", "service %q is not in the release", e.Name)
		}
		return
	}
	delete(a.release.Services, ident.Service(e.Name))
}

// putService puts a service into the release. change is true for a Change entry and false for an Add entry.
func (a *applier) putService(e ServiceEntry, change bool) {
	if e.Name == "" {
		return
	}
	_, duplicate := a.serviceEntries[e.Name]
	a.recordServiceEntry(e.Name, e.source)
	if _, ok := a.release.Services[e.Name]; ok != change && !duplicate {
		a.addError(e.source, "Name", "%s", presenceMessage("service", string(e.Name), ok))
	}
	a.release.Services[e.Name] = e.Service
}

// putTarget puts a target into the release. change is true for a Change entry and false for an Add entry.
func (a *applier) putTarget(e TargetEntry, change bool) {
	if e.Name == "" {
		return
	}
	_, duplicate := a.targetEntries[e.Name]
	a.recordTargetEntry(e.Name, e.source)
	before, ok := a.release.Targets[e.Name]
	if ok != change && !duplicate {
		a.addError(e.source, "Name", "%s", presenceMessage("target", string(e.Name), ok))
	}
	if change && ok && before.VM != e.VM {
		a.addError(e.source, "VM", "target %q would move from VM %q to %q: withdraw it and add a target with another name", e.Name, before.VM, e.VM)
	}
	a.release.Targets[e.Name] = e.Target
	delete(a.release.Withdrawn, e.Name)
}

func presenceMessage(kind, name string, present bool) string {
	if present {
		return kind + " \"" + name + "\" is already in the release: use a Change entry"
	}
	return kind + " \"" + name + "\" is not in the release: use an Add entry"
}

// checkConsistency checks references and uniqueness across entries. It processes the release in the
// order of names, so that all daemons report the same errors.
func (a *applier) checkConsistency() {
	targetByVM := make(map[ident.VM]ident.Target, len(a.release.Targets))
	targetByAddress := make(map[netip.AddrPort]ident.Target, 2*len(a.release.Targets))
	targetByDataCentre := map[ident.DataCentre]ident.Target{}
	for _, name := range slices.Sorted(maps.Keys(a.release.Targets)) {
		t := a.release.Targets[name]
		if _, ok := a.release.Services[t.Service]; !ok && t.Service != "" {
			a.addMissingServiceError(t)
		}
		if other, ok := targetByVM[t.VM]; ok && t.VM != "" {
			a.addTargetError(name, other, "VM", "VM %q has two targets, %q and %q", t.VM, other, name)
		}
		targetByVM[t.VM] = name
		if other, ok := targetByAddress[t.Daemon]; ok && t.Daemon.IsValid() {
			a.addTargetError(name, other, "Daemon", "address %s is used by two targets, %q and %q", t.Daemon, other, name)
		}
		targetByAddress[t.Daemon] = name
		if other, ok := targetByAddress[t.Address]; ok && t.Address.IsValid() {
			a.addTargetError(name, other, "Address", "address %s is used more than once, by target %q and target %q", t.Address, other, name)
		}
		targetByAddress[t.Address] = name
		if other, ok := targetByDataCentre[t.DataCentre]; ok && a.release.Targets[other].Region != t.Region && t.DataCentre != "" {
			a.addTargetError(name, other, "Region", "data centre %q has two regions: the targets %q and %q name different ones", t.DataCentre, other, name)
		} else if !ok {
			targetByDataCentre[t.DataCentre] = name
		}
	}
	a.checkHosts()
}

func (a *applier) checkHosts() {
	serviceByHost := map[string]ident.Service{}
	for _, name := range slices.Sorted(maps.Keys(a.release.Services)) {
		for _, h := range a.release.Services[name].Hosts {
			other, ok := serviceByHost[h]
			if !ok {
				serviceByHost[h] = name
				continue
			}
			e := a.serviceEntries[name]
			if e == nil {
				e = a.serviceEntries[other]
			}
			a.addEntryError(e, "Hosts", "host %q belongs to two services, %q and %q", h, other, name)
		}
	}
}

// addMissingServiceError reports a target whose service is not in the release, at the
// entry of the target or else at the entry that withdraws the service.
func (a *applier) addMissingServiceError(t Target) {
	if e, ok := a.targetEntries[t.Name]; ok {
		a.addError(e, "Service", "service %q is not in the release", t.Service)
		return
	}
	a.addEntryError(a.serviceEntries[t.Service], "Name", "service %q is not in the resulting release, but target %q belongs to it: withdraw the target too", t.Service, t.Name)
}

// addTargetError reports a conflict between two targets at the entry that caused it.
func (a *applier) addTargetError(name, other ident.Target, key, format string, arguments ...any) {
	e := a.targetEntries[name]
	if e == nil {
		e = a.targetEntries[other]
	}
	a.addEntryError(e, key, format, arguments...)
}

// addEntryError reports an error at an entry, or at the note itself if the entry is nil.
func (a *applier) addEntryError(e *form.Table, key, format string, arguments ...any) {
	if e == nil {
		e = a.note.source
	}
	a.addError(e, key, format, arguments...)
}

func (a *applier) pruneWithdrawals() {
	for name, w := range a.release.Withdrawn {
		if w.Serial+withdrawalRetention < a.note.Serial {
			delete(a.release.Withdrawn, name)
		}
	}
}
