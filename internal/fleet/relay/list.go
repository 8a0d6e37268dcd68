package relay

import (
	"maps"
	"slices"
	"strings"

	"jacinthcross/internal/base/ident"
)

// A VMList is a daemon's copy of the VM list. Its version never decreases.
type VMList struct {
	version uint64
	// knownVersions are the versions that this daemon has held, oldest first. Changes can be computed only since one of
	// these versions. A peer with another version may hold an entry that was added and removed between two known
	// versions, and this daemon has no record of that removal.
	knownVersions []uint64
	entries       map[ident.VM]listEntry
	// removed holds the version in which each VM was removed.
	removed map[ident.VM]uint64
}

// maxKnownVersions limits the versions from which peers that are behind can get changes instead of the full list.
const maxKnownVersions = 64

type listEntry struct {
	ListedVM
	// changedIn is the version in which the entry last changed.
	changedIn uint64
}

// NewVMList returns an empty VMList.
func NewVMList() *VMList {
	return &VMList{entries: map[ident.VM]listEntry{}, removed: map[ident.VM]uint64{}}
}

// Version returns the version of the list, or 0 if none is known.
func (l *VMList) Version() uint64 { return l.version }

// VMs returns the entries, sorted by VM.
func (l *VMList) VMs() []ListedVM {
	out := make([]ListedVM, 0, len(l.entries))
	for _, e := range l.entries {
		out = append(out, e.ListedVM)
	}
	slices.SortFunc(out, func(a, b ListedVM) int { return strings.Compare(string(a.VM), string(b.VM)) })
	return out
}

// Apply applies a listing from a peer or from the platform and reports whether the version of the list changed.
// It ignores older listings and changes relative to a version other than the current one.
func (l *VMList) Apply(m Listing) bool {
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
			l.entries[v.VM] = listEntry{ListedVM: v, changedIn: m.Version}
			delete(l.removed, v.VM)
		}
	}
	for _, vm := range m.Removed {
		l.remove(vm, m.Version)
	}
	l.version = m.Version
	l.knownVersions = append(l.knownVersions, m.Version)
	l.prune()
	return true
}

func (l *VMList) remove(vm ident.VM, version uint64) {
	delete(l.entries, vm)
	l.removed[vm] = version
}

// prune drops the oldest known versions, and the removals that are not later than the oldest version kept.
func (l *VMList) prune() {
	if len(l.knownVersions) <= maxKnownVersions {
		return
	}
	l.knownVersions = slices.Clone(l.knownVersions[len(l.knownVersions)-maxKnownVersions:])
	maps.DeleteFunc(l.removed, func(_ ident.VM, version uint64) bool { return version <= l.knownVersions[0] })
}

// ChangesSince returns the changes after a version, or the full list if the version is not among the known ones.
func (l *VMList) ChangesSince(version uint64) Listing {
	m := Listing{Version: l.version}
	if slices.Contains(l.knownVersions, version) {
		m.Since = version
	}
	for _, v := range l.VMs() {
		if m.Since == 0 || l.entries[v.VM].changedIn > version {
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
