package front

import (
	"runtime"
	"time"

	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/limit"
	"jacinthcross/internal/policy/evict"
)

const (
	// headShare is the memory for request headers in bytes that each connection has apart from the limit for all. Most
	// connections never need more.
	headShare = 4 << 10
	// requestCost and fieldCost estimate the memory of a request and of one header field beyond its bytes: its entry in a
	// map, its list of values, and its copy in the message to the target's daemon.
	requestCost = 512
	fieldCost   = 192
	// smallBody is the size in bytes up to which bodies may take the last eighth of the memory (restShare). Larger ones
	// leave it to them, so that a few callers with large bodies do not keep all others from being served.
	smallBody = 64 << 10
	restShare = 8
	// makeRoomInterval is the shortest time between two searches for connections to give up.
	makeRoomInterval = 20 * time.Millisecond
	// spareConnections is the part of the maximum by which connections may exceed it while others are being closed.
	spareConnections = 16
)

const (
	// largeAllocation is the size in bytes from which an allocation counts for collectBefore, and maxUncollected the sum of
	// them from which garbage is collected.
	largeAllocation = 8 << 20
	maxUncollected  = 32 << 20
)

// collectBefore collects garbage before a large allocation if former ones may not have been collected. A body of 64 MiB
// and the garbage of another one together exceed the memory of a small VM before the runtime starts a collection.
func (t *Task) collectBefore(size int) {
	if size >= largeAllocation && t.largeBytes.Add(int64(size)) > maxUncollected {
		t.largeBytes.Store(int64(size))
		runtime.GC()
	}
}

func headCost(bytes, fields int) int { return requestCost + bytes + fieldCost*fields }

// overShare returns the part of the memory for headers that counts against the limit for all connections.
func overShare(heads int64) int { return max(0, int(heads)-headShare) }

// holdHead counts n more bytes for the header of the current request, or refuses the request.
func (rr *requestReader) holdHead(n int) bool {
	c := rr.connection
	heads := c.heads.Add(int64(n))
	extra := overShare(heads) - overShare(heads-int64(n))
	if extra > 0 && !rr.task.memory.TryAcquire(extra) {
		heads = c.heads.Add(-int64(n))
		// The task may have released other headers of the connection since.
		rr.task.memory.Release(overShare(heads+int64(n)) - overShare(heads) - extra)
		rr.refuseForMemory(extra)
		return false
	}
	c.incompleteHead.Add(int64(n))
	if closed, _ := rr.socket.IsClosed(); closed {
		c.releaseReserved()
	}
	return true
}

// releaseHeads releases n bytes that were counted for headers.
func (c *connection) releaseHeads(n int) {
	heads := c.heads.Add(-int64(n))
	c.task.memory.Release(overShare(heads+int64(n)) - overShare(heads))
}

// releaseReserved releases the memory reserved by an incomplete request.
func (c *connection) releaseReserved() {
	c.task.memory.Release(int(c.reservedBytes.Swap(0)))
	c.releaseHeads(int(c.incompleteHead.Swap(0)))
}

// releaseRequest releases the memory of a complete request.
func (c *connection) releaseRequest(r *request) {
	c.task.memory.Release(r.reservedBytes)
	c.releaseHeads(r.headBytes)
}

// reserve reserves memory for the body of the current request, or refuses the request.
func (rr *requestReader) reserve(n int) bool {
	if n > 0 && !rr.tryReserve(n, n) {
		rr.refuseForMemory(n)
		return false
	}
	return true
}

// reserveChunk reserves memory for n more bytes of a chunked body.
func (rr *requestReader) reserveChunk(n int) error {
	if rr.tryReserve(n, cap(rr.body.body)+n) {
		return nil
	}
	rr.requestRoom(n)
	return errs.New(errs.Busy, memoryDetail)
}

const memoryDetail = "the memory limit for bodies is reached"

// tryReserve reserves n bytes of a body that takes total bytes with them.
func (rr *requestReader) tryReserve(n, total int) bool {
	rest := 0
	if total > smallBody {
		rest = rr.task.quota.Limit() / restShare
	}
	if !rr.task.memory.TryAcquireLeaving(n, rest, total-n) {
		return false
	}
	rr.connection.reservedBytes.Add(int64(n))
	if closed, _ := rr.socket.IsClosed(); closed {
		rr.connection.releaseReserved()
	}
	return true
}

func (rr *requestReader) refuseForMemory(n int) {
	rr.requestRoom(n)
	rr.refuse(errs.Busy, memoryDetail)
}

// requestRoom asks the task to give up connections that hold memory. The current request does not wait for it.
func (rr *requestReader) requestRoom(n int) {
	rr.task.limitReporter.Refused(limit.BodyMemory)
	rr.task.inbox.TryPut(roomNeeded{evict.Need{Bytes: n}})
}

// recordReceived records bytes that were received on the connection.
func (c *connection) recordReceived(n int) {
	now := time.Now().UnixNano()
	if c.receiving.CompareAndSwap(false, true) {
		c.receivingSince.Store(now)
		c.received.Store(0)
	}
	c.received.Add(int64(n))
	c.progressAt.Store(now)
}

// holder describes a connection for the choice of connections to give up.
func (c *connection) holder() evict.Holder {
	held := int(c.reservedBytes.Load()) + overShare(c.heads.Load())
	progress := time.Unix(0, c.progressAt.Load())
	unsent := c.unsentBytes.Load() > 0
	for _, e := range c.exchanges {
		if e.outcome == nil {
			return evict.Running{}
		}
		unsent = true
		held += e.heldBytes + e.request.reservedBytes
	}
	for _, r := range c.queue {
		held += r.reservedBytes
	}
	switch {
	case unsent || c.closing:
		return evict.Sending{ProgressAt: progress, Held: held + c.responseBytes}
	case c.receiving.Load() || len(c.queue) > 0 || c.pendingRefusal != nil:
		return evict.Receiving{Since: time.Unix(0, c.receivingSince.Load()), ProgressAt: progress, Received: int(c.received.Load()), Held: held}
	}
	return evict.Waiting{Since: progress, Used: c.used}
}

// makeRoom closes connections until what is needed is free, or no others may be closed. Their memory is released when
// they are closed.
func (t *Task) makeRoom(need evict.Need) {
	now := time.Now()
	if now.Sub(t.roomMadeAt) < makeRoomInterval {
		return
	}
	t.roomMadeAt = now
	connections := make([]*connection, 0, len(t.connections))
	holders := make([]evict.Holder, 0, len(t.connections))
	for c := range t.connections {
		connections, holders = append(connections, c), append(holders, c.holder())
	}
	victims := evict.Choose(holders, need, t.minBytesPerSecond, now)
	for _, v := range victims {
		_ = connections[v.Index].socket.Close()
	}
	name := limit.BodyMemory
	if need.Connections > 0 {
		name = limit.Connections
	}
	t.limitReporter.Closed(name, len(victims))
}
