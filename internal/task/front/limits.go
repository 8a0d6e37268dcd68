package front

import (
	"time"

	"jacinthcross/internal/fleet/note"
)

// A limits bounds what a caller may send, in bytes, and how long it may take or stay idle. It is never changed after
// it was built.
type limits struct {
	header int
	body   int
	// sendHeader and send are the times from the first byte of a request to the last one of its header and of its body.
	sendHeader time.Duration
	send       time.Duration
	idle       time.Duration
}

// within returns the limits of the settings and of a release together: the settings protect the VM, and no release
// lifts them.
func (l limits) within(of note.Limits) limits {
	lower(&l.header, of.MaxHeader)
	lower(&l.body, of.MaxBody)
	lower(&l.sendHeader, of.HeaderTimeout)
	lower(&l.idle, of.IdleTimeout)
	return l
}

// lower lowers a limit to another one, if that is set.
func lower[N int | time.Duration](limit *N, to N) {
	if to > 0 && to < *limit {
		*limit = to
	}
}

// A part is what a connection waits for in a request that has begun.
type part string

const (
	partNone part = ""
	// partFirst is the first byte of a new connection.
	partFirst  part = "First"
	partHeader part = "Header"
	partBody   part = "Body"
)

// limitTime bounds the time until the header of a request that has begun is complete, and then until the request is.
func (i *intake) limitTime() {
	awaited := partNone
	switch {
	case i.current != nil:
		awaited = partBody
	case len(i.block) > 0:
		awaited = partHeader
	}
	if awaited == i.awaited {
		return
	}
	if i.awaited == partNone || i.awaited == partFirst {
		i.began = time.Now()
	}
	i.awaited = awaited
	var until time.Time
	switch l := i.task.limits.Load(); awaited {
	case partHeader:
		until = i.began.Add(l.sendHeader)
	case partBody:
		until = i.began.Add(l.send)
	case partNone, partFirst:
	}
	// An error means that the connection has ended.
	_ = i.conn.SetReadDeadline(until)
}
