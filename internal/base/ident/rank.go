package ident

import "github.com/juju/errors"

// A Rank is the priority class of a call under load.
type Rank string

// The ranks, most urgent first.
const (
	Urgent   Rank = "Urgent"
	Normal   Rank = "Normal"
	Deferred Rank = "Deferred"
)

// Ranks lists all ranks, most urgent first.
func Ranks() []Rank { return []Rank{Urgent, Normal, Deferred} }

// ParseRank returns the rank with the given name.
func ParseRank(text string) (Rank, error) {
	for _, r := range Ranks() {
		if string(r) == text {
			return r, nil
		}
	}
	return "", errors.NotValidf("rank %q (want Urgent, Normal or Deferred)", text)
}

// Position returns the position of the rank in Ranks. An unknown rank counts as Normal.
func (r Rank) Position() int {
	switch r {
	case Urgent:
		return 0
	case Normal:
		return 1
	case Deferred:
		return 2
	}
	return 1
}
