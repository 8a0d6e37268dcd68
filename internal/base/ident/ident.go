// Package ident defines the names and identifiers that all parts of the daemon share.
package ident

import (
	"crypto/rand"
	"encoding/hex"

	"github.com/juju/errors"
)

// A VM is the name of a virtual machine.
type VM string

// A DataCentre is the name of a data centre.
type DataCentre string

// A Region is the name of a group of data centres.
type Region string

// A Service is the name of a group of targets that answer the same calls.
type Service string

// A Route is the name of a rule that assigns the calls for a host and path to services.
type Route string

// A Target is the name of a server process of a service.
type Target string

// An Incarnation identifies one run of a daemon process.
type Incarnation [16]byte

// NewIncarnation returns a random Incarnation.
func NewIncarnation() Incarnation {
	var i Incarnation
	// rand.Read never fails on Linux: it ends the process when no entropy is available.
	_, _ = rand.Read(i[:])
	return i
}

// String returns the Incarnation in hexadecimal.
func (i Incarnation) String() string { return hex.EncodeToString(i[:]) }

// IsZero reports whether the Incarnation is unset.
func (i Incarnation) IsZero() bool { return i == Incarnation{} }

// An Epoch numbers the periods of equal length in which idempotency keys are issued, counted from the start of an
// incarnation.
type Epoch uint32

// A Serial is the serial number of a release note.
type Serial uint64

// A Digest is the SHA-256 of a release note or of a request.
type Digest [32]byte

// String returns the Digest in hexadecimal.
func (d Digest) String() string { return hex.EncodeToString(d[:]) }

// shortDigestBytes is the length in bytes of a shortened Digest. With the at most some thousand requests that a log
// names, two of them rarely have the same one.
const shortDigestBytes = 6

// Short returns the first bytes of the Digest in hexadecimal, for logs.
func (d Digest) Short() string { return hex.EncodeToString(d[:shortDigestBytes]) }

// ParseDigest parses a Digest in hexadecimal.
func ParseDigest(text string) (Digest, error) {
	var d Digest
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != len(d) {
		return d, errors.NotValidf("digest %q (want %d hexadecimal digits)", text, 2*len(d))
	}
	copy(d[:], b)
	return d, nil
}

// An Era numbers the restores of the platform's store from an older copy. Serials are ordered within an era only.
type Era uint64

// A Head identifies the newest release that a daemon holds, the head of the sequence of releases. With a store, Serial
// is the revision of the store, Era its era, and Digest is zero. Without a store, Era is zero.
type Head struct {
	Serial Serial
	Digest Digest
	Era    Era
}

// IsAfter reports whether h identifies a later release than other.
func (h Head) IsAfter(other Head) bool {
	return h.Era > other.Era || h.Era == other.Era && h.Serial > other.Serial
}

// IsZero reports whether the Head identifies no release.
func (h Head) IsZero() bool { return h == Head{} }
