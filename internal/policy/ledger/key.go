// Package ledger decides whether a keyed call may run, so that at most one call with each key runs.
package ledger

import (
	"crypto/rand"
	"encoding/base64"
	"encoding/binary"
	"hash/crc32"
	"strings"

	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
)

// A Key is an idempotency key. It names the one daemon process through which the call may run.
type Key struct {
	Target      ident.Target
	Incarnation ident.Incarnation
	Epoch       ident.Epoch
	Nonce       [12]byte
}

const (
	keyPrefix          = "jc1-"
	keyFixedBytes      = 16 + 4 + 12 // incarnation, epoch and nonce
	checksumBytes      = 4
	maxTargetNameBytes = 128
)

// NewKey returns a new key that belongs to the daemon with the given incarnation.
func NewKey(target ident.Target, incarnation ident.Incarnation, epoch ident.Epoch) Key {
	k := Key{Target: target, Incarnation: incarnation, Epoch: epoch}
	// rand.Read never fails on Linux: it ends the process when no entropy is available.
	_, _ = rand.Read(k.Nonce[:])
	return k
}

// String returns the encoding of the key that callers send.
func (k Key) String() string {
	b := make([]byte, 0, keyFixedBytes+len(k.Target)+checksumBytes)
	b = append(b, k.Incarnation[:]...)
	b = binary.BigEndian.AppendUint32(b, uint32(k.Epoch))
	b = append(b, k.Nonce[:]...)
	b = append(b, k.Target...)
	b = binary.BigEndian.AppendUint32(b, crc32.ChecksumIEEE(b))
	return keyPrefix + base64.RawURLEncoding.EncodeToString(b)
}

// ParseKey decodes a key that a daemon issued.
func ParseKey(text string) (Key, error) {
	var k Key
	body, ok := strings.CutPrefix(text, keyPrefix)
	// The decoder ignores line breaks, which would give one key several encodings.
	if !ok || strings.ContainsAny(body, "\r\n") {
		return k, errs.New(errs.KeyInvalid, "the key was not issued by a daemon")
	}
	b, err := base64.RawURLEncoding.Strict().DecodeString(body)
	if err != nil || len(b) <= keyFixedBytes+checksumBytes || len(b) > keyFixedBytes+checksumBytes+maxTargetNameBytes {
		return k, errs.New(errs.KeyInvalid, "the key is malformed")
	}
	payload, sum := b[:len(b)-checksumBytes], b[len(b)-checksumBytes:]
	if crc32.ChecksumIEEE(payload) != binary.BigEndian.Uint32(sum) {
		return k, errs.New(errs.KeyInvalid, "the checksum of the key does not match")
	}
	copy(k.Incarnation[:], payload)
	k.Epoch = ident.Epoch(binary.BigEndian.Uint32(payload[16:]))
	copy(k.Nonce[:], payload[20:])
	k.Target = ident.Target(payload[keyFixedBytes:])
	return k, nil
}
