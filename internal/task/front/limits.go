package front

import (
	"time"

	"jacinthcross/internal/fleet/note"
)

// limits holds the maximum sizes of requests in bytes and the timeouts of connections. It is immutable.
type limits struct {
	maxHeader int
	maxBody   int
	// headerTimeout and requestTimeout start with the first byte of a request. The header must end within
	// headerTimeout, the body within requestTimeout, which also limits the wait for the first byte on a new connection.
	headerTimeout  time.Duration
	requestTimeout time.Duration
	idleTimeout    time.Duration
}

// restrictedBy returns the limits, lowered to the limits of a release. A release cannot raise the limits of the
// settings, which protect the VM.
func (l limits) restrictedBy(release note.Limits) limits {
	lower(&l.maxHeader, release.MaxHeader)
	lower(&l.maxBody, release.MaxBody)
	lower(&l.headerTimeout, release.HeaderTimeout)
	lower(&l.idleTimeout, release.IdleTimeout)
	return l
}

// lower lowers a limit to a maximum, if one is set.
func lower[N int | time.Duration](limit *N, maximum N) {
	if maximum > 0 && maximum < *limit {
		*limit = maximum
	}
}

// A requestPart is the part of a request that a connection waits for.
type requestPart string

const (
	partNone requestPart = ""
	// partFirst is the first byte on a new connection.
	partFirst  requestPart = "First"
	partHeader requestPart = "Header"
	partBody   requestPart = "Body"
)

// updateReadDeadline sets the read deadline for the header of a request that has begun, and then for its body.
// Between requests it clears the deadline, since the task closes idle connections.
func (rr *requestReader) updateReadDeadline() {
	awaited := partNone
	switch {
	case rr.current != nil:
		awaited = partBody
	case len(rr.headerBlock) > 0:
		awaited = partHeader
	}
	if awaited == partNone {
		rr.connection.receiving.Store(false)
	}
	if awaited == rr.awaitedPart && awaited != partNone {
		return
	}
	if rr.awaitedPart == partNone || rr.awaitedPart == partFirst {
		rr.startedAt = time.Now()
	}
	rr.awaitedPart = awaited
	var until time.Time
	switch l := rr.task.limits.Load(); awaited {
	case partHeader:
		until = rr.startedAt.Add(l.headerTimeout)
	case partBody:
		until = rr.startedAt.Add(l.requestTimeout)
	case partNone, partFirst:
	}
	// An error means that the connection is closed.
	_ = rr.socket.SetReadDeadline(until)
}
