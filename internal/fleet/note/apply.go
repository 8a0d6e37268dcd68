package note

import (
	"maps"
	"net/netip"
	"slices"

	"jacinthcross/internal/base/form"
	"jacinthcross/internal/base/ident"
)

// Apply returns the release that follows r by note n, or all mistakes of the note.
func Apply(r *Release, n *Note) (*Release, form.Errors) {
	a := &applier{
		release:  r.clone(),
		note:     n,
		services: map[ident.Service]*form.Table{},
		targets:  map[ident.Target]*form.Table{},
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
	a.checkWhole()
	a.release.Head = ident.Head{Serial: n.Serial, Digest: n.digest}
	a.forgetWithdrawals()
	if len(a.mistakes) == 0 {
		if size := a.release.SnapshotSize(); size > MaxSnapshotSize {
			a.mistakes = append(a.mistakes, n.source.At("Serial", "the release would have %d bytes, want at most %d: withdraw targets or services first", size, MaxSnapshotSize))
		}
	}
	if len(a.mistakes) > 0 {
		return nil, form.Sorted(a.mistakes)
	}
	return a.release, nil
}

type applier struct {
	release  *Release
	note     *Note
	mistakes form.Errors
	// services and targets have the entries of the note by name.
	services map[ident.Service]*form.Table
	targets  map[ident.Target]*form.Table
}

func (a *applier) mistake(e *form.Table, key, format string, arguments ...any) {
	a.mistakes = append(a.mistakes, e.At(key, format, arguments...))
}

func (a *applier) checkOrder(r *Release) {
	n := a.note
	if n.Serial != 0 && n.Serial != r.Head.Serial+1 {
		a.mistake(n.source, "Serial", "is %d, want %d, the one after the release in force", n.Serial, r.Head.Serial+1)
	}
	want := ""
	if !r.Head.IsZero() {
		want = r.Head.Digest.String()
	}
	if n.Previous != want {
		a.mistake(n.source, "Previous", "is %q, want %q, the SHA-256 of the note before", n.Previous, want)
	}
}

// enterService remembers the entry of a service and refuses a second one in the same note.
func (a *applier) enterService(name ident.Service, e *form.Table) {
	if name == "" {
		return
	}
	if other, ok := a.services[name]; ok {
		a.mistake(e, "Name", "service %q has another entry on line %d of this note", name, other.At("", "").Line)
		return
	}
	a.services[name] = e
}

// enterTarget remembers the entry of a target and refuses a second one in the same note. A target that is
// withdrawn and added in one note would keep its name on another daemon, which cannot answer resends of its calls.
func (a *applier) enterTarget(name ident.Target, e *form.Table) {
	if name == "" {
		return
	}
	if other, ok := a.targets[name]; ok {
		a.mistake(e, "Name", "target %q has another entry on line %d of this note", name, other.At("", "").Line)
		return
	}
	a.targets[name] = e
}

func (a *applier) withdrawTarget(e NameEntry) {
	a.enterTarget(ident.Target(e.Name), e.source)
	t, ok := a.release.Targets[ident.Target(e.Name)]
	if !ok {
		if e.Name != "" {
			a.mistake(e.source, "Name", "target %q is not in the release", e.Name)
		}
		return
	}
	delete(a.release.Targets, t.Name)
	a.release.Withdrawn[t.Name] = Withdrawal{Target: t, Serial: a.note.Serial}
}

func (a *applier) withdrawService(e NameEntry) {
	a.enterService(ident.Service(e.Name), e.source)
	if _, ok := a.release.Services[ident.Service(e.Name)]; !ok {
		if e.Name != "" {
			a.mistake(e.source, "Name", "service %q is not in the release", e.Name)
		}
		return
	}
	delete(a.release.Services, ident.Service(e.Name))
}

func (a *applier) putService(e ServiceEntry, change bool) {
	if e.Name == "" {
		return
	}
	_, twice := a.services[e.Name]
	a.enterService(e.Name, e.source)
	if _, ok := a.release.Services[e.Name]; ok != change && !twice {
		a.mistake(e.source, "Name", "%s", presence("service", string(e.Name), ok))
	}
	a.release.Services[e.Name] = e.Service
}

func (a *applier) putTarget(e TargetEntry, change bool) {
	if e.Name == "" {
		return
	}
	_, twice := a.targets[e.Name]
	a.enterTarget(e.Name, e.source)
	before, ok := a.release.Targets[e.Name]
	if ok != change && !twice {
		a.mistake(e.source, "Name", "%s", presence("target", string(e.Name), ok))
	}
	if change && ok && before.VM != e.VM {
		a.mistake(e.source, "VM", "target %q would move from VM %q to %q: withdraw it and add a target with another name", e.Name, before.VM, e.VM)
	}
	a.release.Targets[e.Name] = e.Target
	delete(a.release.Withdrawn, e.Name)
}

func presence(kind, name string, present bool) string {
	if present {
		return kind + " " + name + " is already in the release: use a Change entry"
	}
	return kind + " " + name + " is not in the release: use an Add entry"
}

// checkWhole checks what no single entry shows: references and uniqueness. It goes
// through the release in the order of names, so that each daemon reports the same.
func (a *applier) checkWhole() {
	onVM := make(map[ident.VM]ident.Target, len(a.release.Targets))
	at := make(map[netip.AddrPort]ident.Target, 2*len(a.release.Targets))
	region := map[ident.DataCentre]ident.Target{}
	for _, name := range slices.Sorted(maps.Keys(a.release.Targets)) {
		t := a.release.Targets[name]
		if _, ok := a.release.Services[t.Service]; !ok && t.Service != "" {
			a.missingService(t)
		}
		if other, ok := onVM[t.VM]; ok && t.VM != "" {
			a.targetMistake(name, other, "VM", "VM %q has two targets, %q and %q", t.VM, other, name)
		}
		onVM[t.VM] = name
		if other, ok := at[t.Daemon]; ok && t.Daemon.IsValid() {
			a.targetMistake(name, other, "Daemon", "address %s is used by two targets, %q and %q", t.Daemon, other, name)
		}
		at[t.Daemon] = name
		if other, ok := at[t.Address]; ok && t.Address.IsValid() {
			a.targetMistake(name, other, "Address", "address %s is used twice, by the targets %q and %q", t.Address, other, name)
		}
		at[t.Address] = name
		if other, ok := region[t.DataCentre]; ok && a.release.Targets[other].Region != t.Region && t.DataCentre != "" {
			a.targetMistake(name, other, "Region", "data centre %q has two regions, that of target %q and that of %q", t.DataCentre, other, name)
		} else if !ok {
			region[t.DataCentre] = name
		}
	}
	a.checkHosts()
}

func (a *applier) checkHosts() {
	ofHost := map[string]ident.Service{}
	for _, name := range slices.Sorted(maps.Keys(a.release.Services)) {
		for _, h := range a.release.Services[name].Hosts {
			other, ok := ofHost[h]
			if !ok {
				ofHost[h] = name
				continue
			}
			e := a.services[name]
			if e == nil {
				e = a.services[other]
			}
			a.mistakeAt(e, "Hosts", "host %q belongs to two services, %q and %q", h, other, name)
		}
	}
}

// missingService reports a target whose service is not in the release, at the
// entry of the target or at the entry that withdrew the service.
func (a *applier) missingService(t Target) {
	if e, ok := a.targets[t.Name]; ok {
		a.mistake(e, "Service", "service %q is not in the release", t.Service)
		return
	}
	a.mistakeAt(a.services[t.Service], "Name", "service %q still has the target %q: withdraw it too", t.Service, t.Name)
}

// targetMistake reports a conflict of two targets at the entry that brought it.
func (a *applier) targetMistake(name, other ident.Target, key, format string, arguments ...any) {
	e := a.targets[name]
	if e == nil {
		e = a.targets[other]
	}
	a.mistakeAt(e, key, format, arguments...)
}

func (a *applier) mistakeAt(e *form.Table, key, format string, arguments ...any) {
	if e == nil {
		e = a.note.source
	}
	a.mistake(e, key, format, arguments...)
}

func (a *applier) forgetWithdrawals() {
	for name, w := range a.release.Withdrawn {
		if w.Serial+withdrawalsKept < a.note.Serial {
			delete(a.release.Withdrawn, name)
		}
	}
}
