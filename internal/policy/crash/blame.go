// Package crash recognises requests that crash targets.
package crash

import (
	"time"

	"jacinthcross/internal/base/ident"
)

// A Blame is the evidence against one request, by its digest.
type Blame struct {
	Digest  ident.Digest
	Weight  float64
	Crashes int
	Expires time.Duration
}
