// Package limit reports the limits on clients that have been reached.
package limit

import (
	"sync"
	"time"

	"jacinthcross/internal/base/event"
)

// A Name is the name of a limit, mostly that of its setting.
type Name string

// The limits.
const (
	BodyMemory  Name = "MaxBodyMemory"
	Connections Name = "MaxConnections"
	// Operators and Peers are the limits of the connections at Listen.Admin and Listen.Ready and at Listen.Peers.
	Operators Name = "OperatorConnections"
	Peers     Name = "PeerConnections"
)

// logInterval is the shortest time between two log lines of one limit.
const logInterval = time.Second

// A Reporter counts how often limits are reached and logs it at a bounded rate. It is safe for concurrent use.
type Reporter struct {
	count  func(Name, int)
	mu     sync.Mutex
	limits map[Name]*reached
}

// reached is what was not logged yet.
type reached struct {
	closed, refused int
	loggedAt        time.Time
}

// NewReporter returns a Reporter that passes each occurrence to count.
func NewReporter(count func(Name, int)) *Reporter {
	return &Reporter{count: count, limits: map[Name]*reached{}}
}

// Closed records that connections were closed because of a limit.
func (r *Reporter) Closed(name Name, n int) { r.record(name, n, 0) }

// Refused records that a request or a connection was refused because of a limit.
func (r *Reporter) Refused(name Name) { r.record(name, 0, 1) }

func (r *Reporter) record(name Name, closed, refused int) {
	if closed+refused == 0 {
		return
	}
	r.count(name, closed+refused)
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.limits[name]
	if l == nil {
		l = &reached{}
		r.limits[name] = l
	}
	l.closed, l.refused = l.closed+closed, l.refused+refused
	if now := time.Now(); now.Sub(l.loggedAt) >= logInterval {
		event.LimitReached.Log("limit", name, "closed", l.closed, "refused", l.refused)
		*l = reached{loggedAt: now}
	}
}
