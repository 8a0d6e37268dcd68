package call

import "sync/atomic"

// An ID is the number of a call, at the daemon where it entered, or of one of its attempts. It is unique within the
// process; Request.ID, in contrast, is unique across daemons. The target's daemon knows the attempt only, so there
// the ID of the call is the ID of the attempt.
type ID uint64

var lastID atomic.Uint64

// NextID returns an ID that has not been used in this process.
func NextID() ID { return ID(lastID.Add(1)) }
