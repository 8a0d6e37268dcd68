package relay

import (
	"maps"
	"slices"
	"strings"

	"jacinthcross/internal/base/ident"
)

// A List is the VM list as a daemon knows it. Its version never becomes lower.
type List struct {
	version uint64
	// held are the versions that this daemon held, oldest first. Changes are known from these only:
	// what came and went between two versions that were read was never seen here.
	held    []uint64
	entries map[ident.VM]listed
	removed map[ident.VM]uint64
}

// heldVersions bounds the versions from which peers that lag get changes instead of the whole list.
const heldVersions = 64

type listed struct {
	ListedVM
	changed uint64
}

// NewList returns an empty List.
func NewList() *List {
	return &List{entries: map[ident.VM]listed{}, removed: map[ident.VM]uint64{}}
}

// Version returns the version of the list, or 0 when none is known.
func (l *List) Version() uint64 { return l.version }

// VMs returns the entries, ordered by name.
func (l *List) VMs() []ListedVM {
	out := make([]ListedVM, 0, len(l.entries))
	for _, e := range l.entries {
		out = append(out, e.ListedVM)
	}
	slices.SortFunc(out, func(a, b ListedVM) int { return strings.Compare(string(a.VM), string(b.VM)) })
	return out
}

// Take takes the changes that a peer or the platform tells. It reports whether the list has another version now.
func (l *List) Take(m Listing) bool {
	if m.Version <= l.version || m.Since != 0 && m.Since != l.version {
		return false
	}
	if m.Since == 0 {
		present := map[ident.VM]bool{}
		for _, v := range m.VMs {
			present[v.VM] = true
		}
		for _, vm := range slices.Collect(maps.Keys(l.entries)) {
			if !present[vm] {
				l.remove(vm, m.Version)
			}
		}
	}
	for _, v := range m.VMs {
		if old, ok := l.entries[v.VM]; !ok || old.ListedVM != v {
			l.entries[v.VM] = listed{ListedVM: v, changed: m.Version}
			delete(l.removed, v.VM)
		}
	}
	for _, vm := range m.Removed {
		l.remove(vm, m.Version)
	}
	l.version = m.Version
	l.held = append(l.held, m.Version)
	l.forget()
	return true
}

func (l *List) remove(vm ident.VM, version uint64) {
	delete(l.entries, vm)
	l.removed[vm] = version
}

// forget drops the oldest versions and the removals before them.
func (l *List) forget() {
	if len(l.held) <= heldVersions {
		return
	}
	l.held = slices.Clone(l.held[len(l.held)-heldVersions:])
	maps.DeleteFunc(l.removed, func(_ ident.VM, version uint64) bool { return version <= l.held[0] })
}

// Since returns the changes after a version, or the whole list when they are not known.
func (l *List) Since(version uint64) Listing {
	m := Listing{Version: l.version}
	if slices.Contains(l.held, version) {
		m.Since = version
	}
	for _, v := range l.VMs() {
		if m.Since == 0 || l.entries[v.VM].changed > version {
			m.VMs = append(m.VMs, v)
		}
	}
	if m.Since > 0 {
		for _, vm := range slices.Sorted(maps.Keys(l.removed)) {
			if l.removed[vm] > version {
				m.Removed = append(m.Removed, vm)
			}
		}
	}
	return m
}
