// Package crash detects requests that crash targets and quarantines them.
package crash

import (
	"time"

	"jacinthcross/internal/base/ident"
)

// A Blame is the evidence that one request, identified by its digest, crashes targets.
type Blame struct {
	Digest ident.Digest
	// Weight is the sum of the request's shares in Crashes crashes.
	Weight  float64
	Crashes int
	// Expires is the remaining lifetime of the evidence.
	ExpiresIn time.Duration
}
