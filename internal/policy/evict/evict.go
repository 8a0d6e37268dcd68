// Package evict chooses the connections of callers that a daemon gives up when memory or descriptors run short.
package evict

import (
	"cmp"
	"slices"
	"time"
)

// Grace is the time for which a connection that is receiving or sending is not given up, and after which one without
// progress counts as stalled. It is far above a round trip with a lost packet.
const Grace = time.Second

// idleGrace is the time for which a connection without a request is not given up. A caller that has just connected sends its
// request within a round trip, and would otherwise be the first to be given up while others are in their Grace.
const idleGrace = 200 * time.Millisecond

// A Reason is why a connection is given up. The order of the constants is the order in which connections are given up.
type Reason string

// The reasons.
const (
	// Silent connections have never had a request.
	Silent Reason = "Silent"
	// Idle connections have no request.
	Idle Reason = "Idle"
	// Stalled connections have made no progress for Grace.
	Stalled Reason = "Stalled"
	// Slow connections send slower than the minimum rate.
	Slow Reason = "Slow"
	// Largest connections are sending a request and hold more than twice as much memory as the average connection that
	// sends or receives.
	Largest Reason = "Largest"
)

var order = []Reason{Silent, Idle, Stalled, Slow, Largest}

// A Holder is a connection of a caller: Waiting, Receiving, Sending or Running.
type Holder interface{ holder() }

// Waiting has no request. Used is true if it had one before.
type Waiting struct {
	Since time.Time
	Used  bool
}

// Receiving has received part of a request, and may have requests that have not started.
type Receiving struct {
	// Since is when the request began, and ProgressAt when bytes were last received.
	Since, ProgressAt time.Time
	// Received is the number of bytes received since then, and Held the memory that is reserved.
	Received, Held int
}

// Sending has a response that its caller has not read in whole, and no call in flight.
type Sending struct {
	// ProgressAt is when bytes were last sent.
	ProgressAt time.Time
	Held       int
}

// Running has a call in flight. It is never given up, since the call may have run.
type Running struct{}

func (Waiting) holder()   {}
func (Receiving) holder() {}
func (Sending) holder()   {}
func (Running) holder()   {}

// A Need is what is short: bytes of memory, connections, or both.
type Need struct{ Bytes, Connections int }

// A Victim is a connection to be closed.
type Victim struct {
	// Index is the position of its Holder.
	Index  int
	Reason Reason
}

type candidate struct {
	Victim
	held int
	// at orders the candidates of a reason if connections are short: the earliest is given up first.
	at time.Time
}

// Choose returns the connections to close, until the need is met or no others may be closed. minRate is the rate in bytes
// per second below which a connection is slow.
func Choose(holders []Holder, need Need, minRate int, now time.Time) []Victim {
	average := averageHeld(holders)
	var candidates []candidate
	for i, h := range holders {
		if c, ok := judge(h, average, minRate, now); ok && (need.Connections > 0 || c.held > 0) {
			c.Index = i
			candidates = append(candidates, c)
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		byReason := slices.Index(order, a.Reason) - slices.Index(order, b.Reason)
		if need.Bytes > 0 {
			return cmp.Or(byReason, cmp.Compare(b.held, a.held), a.at.Compare(b.at))
		}
		return cmp.Or(byReason, a.at.Compare(b.at))
	})
	var victims []Victim
	for _, c := range candidates {
		if need.Bytes <= 0 && need.Connections <= 0 {
			break
		}
		need.Bytes -= c.held
		need.Connections--
		victims = append(victims, c.Victim)
	}
	return victims
}

// averageHeld returns the average memory of the connections that receive or send.
func averageHeld(holders []Holder) int {
	total, n := 0, 0
	for _, h := range holders {
		switch h := h.(type) {
		case Receiving:
			total, n = total+h.Held, n+1
		case Sending:
			total, n = total+h.Held, n+1
		case Waiting, Running:
		}
	}
	return total / max(1, n)
}

// judge returns whether a connection may be given up, and why.
func judge(h Holder, average, minRate int, now time.Time) (candidate, bool) {
	switch h := h.(type) {
	case Waiting:
		c := candidate{Victim: Victim{Reason: Silent}, at: h.Since}
		if h.Used {
			c.Reason = Idle
		}
		return c, now.Sub(h.Since) >= idleGrace
	case Receiving:
		c, age := candidate{held: h.Held, at: h.ProgressAt}, now.Sub(h.Since)
		switch {
		case age < Grace:
			return c, false
		case now.Sub(h.ProgressAt) >= Grace:
			c.Reason = Stalled
		case float64(h.Received) < float64(minRate)*age.Seconds():
			c.Reason = Slow
		case h.Held > 2*average:
			c.Reason = Largest
		default:
			return c, false
		}
		return c, true
	case Sending:
		c := candidate{Victim: Victim{Reason: Stalled}, held: h.Held, at: h.ProgressAt}
		return c, now.Sub(h.ProgressAt) >= Grace
	case Running:
	}
	return candidate{}, false
}
