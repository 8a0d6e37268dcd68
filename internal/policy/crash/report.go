// Package crash detects requests that crash targets and quarantines them.
package crash

import (
	"time"

	"jacinthcross/internal/base/ident"
)

// A Report states the evidence that a request, identified by its digest, crashes targets.
type Report struct {
	Digest ident.Digest
	// Weight is the sum of the request's shares in the crashes that Crashes counts. Each crash has weight 1, which
	// is divided among the calls that were in flight.
	Weight  float64
	Crashes int
	// ExpiresIn is the remaining lifetime of the evidence.
	ExpiresIn time.Duration
}
