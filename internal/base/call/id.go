package call

import "sync/atomic"

// An ID is the number of a call or of an attempt, unique within the process. Request.ID, in contrast, is unique
// across daemons.
type ID uint64

var lastID atomic.Uint64

// NextID returns an ID that has not been used in this process.
func NextID() ID { return ID(lastID.Add(1)) }
