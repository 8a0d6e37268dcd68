package note

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// A DiffKind is the kind of a change to an entry of a release.
type DiffKind string

// The values of DiffKind.
const (
	Added     DiffKind = "Added"
	Changed   DiffKind = "Changed"
	Withdrawn DiffKind = "Withdrawn"
)

// A Difference is a change between two releases. EntryKind is "service" or "target". Detail lists the changed fields.
type Difference struct {
	Kind      DiffKind
	EntryKind string
	Name      string
	Detail    string
}

// Diff returns the changes from one release to another: first the services, then the targets, each sorted by name.
func Diff(before, after *Release) []Difference {
	return append(diff("service", before.Services, after.Services), diff("target", before.Targets, after.Targets)...)
}

func diff[K ~string, V any](entryKind string, before, after map[K]V) []Difference {
	names := maps.Clone(before)
	maps.Copy(names, after)
	var out []Difference
	for _, name := range slices.Sorted(maps.Keys(names)) {
		oldEntry, inBefore := before[name]
		newEntry, inAfter := after[name]
		d := Difference{EntryKind: entryKind, Name: string(name)}
		switch {
		case !inBefore:
			d.Kind = Added
		case !inAfter:
			d.Kind = Withdrawn
		default:
			d.Kind, d.Detail = Changed, changedFields(oldEntry, newEntry)
			if d.Detail == "" {
				continue
			}
		}
		out = append(out, d)
	}
	return out
}

// changedFields lists the fields that differ, with their old and new values.
func changedFields(before, after any) string {
	b, a := reflect.ValueOf(before), reflect.ValueOf(after)
	var out []string
	for i := range b.NumField() {
		oldValue, newValue := fmt.Sprint(b.Field(i).Interface()), fmt.Sprint(a.Field(i).Interface())
		if oldValue != newValue {
			out = append(out, fmt.Sprintf("%s %s -> %s", b.Type().Field(i).Name, oldValue, newValue))
		}
	}
	return strings.Join(out, ", ")
}
