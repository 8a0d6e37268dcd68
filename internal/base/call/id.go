package call

import "sync/atomic"

// An ID identifies a call or an attempt within the process. The daemon where a call enters gives an ID to the call and
// to each of its attempts. IDs are not sent to peers: a daemon that receives a call from a peer gives it an ID of its
// own. Request.ID, in contrast, is unique across daemons.
type ID uint64

var lastID atomic.Uint64

// NextID returns an ID that has not been used in this process.
func NextID() ID { return ID(lastID.Add(1)) }
