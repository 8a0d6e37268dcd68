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

// ParseRank parses a Rank.
func ParseRank(text string) (Rank, error) {
	for _, r := range Ranks() {
		if string(r) == text {
			return r, nil
		}
	}
	return "", errors.NotValidf("rank %q (want Urgent, Normal or Deferred)", text)
}

// Order returns 0 for the most urgent rank and larger numbers for less urgent ones. An unknown rank counts as Normal.
func (r Rank) Order() int {
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
