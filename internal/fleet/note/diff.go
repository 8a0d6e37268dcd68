package note

import (
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strings"
)

// A DiffKind tells how an entry of a release changed.
type DiffKind string

// The kinds of changes.
const (
	Added     DiffKind = "Added"
	Changed   DiffKind = "Changed"
	Withdrawn DiffKind = "Withdrawn"
)

// A Difference is one change between two releases. Detail names the fields that changed.
type Difference struct {
	Kind   DiffKind
	What   string
	Name   string
	Detail string
}

// Diff returns the changes from one release to another: services first, then targets, by name.
func Diff(before, after *Release) []Difference {
	return append(diff("service", before.Services, after.Services), diff("target", before.Targets, after.Targets)...)
}

func diff[K ~string, V any](what string, before, after map[K]V) []Difference {
	names := maps.Clone(before)
	maps.Copy(names, after)
	var out []Difference
	for _, name := range slices.Sorted(maps.Keys(names)) {
		old, was := before[name]
		now, is := after[name]
		d := Difference{What: what, Name: string(name)}
		switch {
		case !was:
			d.Kind = Added
		case !is:
			d.Kind = Withdrawn
		default:
			d.Kind, d.Detail = Changed, fields(old, now)
			if d.Detail == "" {
				continue
			}
		}
		out = append(out, d)
	}
	return out
}

// fields lists the fields that differ with their old and new values.
func fields(before, after any) string {
	b, a := reflect.ValueOf(before), reflect.ValueOf(after)
	var out []string
	for i := range b.NumField() {
		old, now := fmt.Sprint(b.Field(i).Interface()), fmt.Sprint(a.Field(i).Interface())
		if old != now {
			out = append(out, fmt.Sprintf("%s %s -> %s", b.Type().Field(i).Name, old, now))
		}
	}
	return strings.Join(out, ", ")
}
