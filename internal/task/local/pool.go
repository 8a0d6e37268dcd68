package local

import (
	"slices"
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/event"
)

const (
	// maxReuseIdle is the maximum idle time of a connection that is reused for a non-idempotent call. If the target
	// closes an idle connection just as it is reused, it is unknown whether the call has run. Servers commonly
	// keep idle connections open for 5 s or longer.
	maxReuseIdle = time.Second
	// idleTimeout closes idle connections before servers do, whose timeout is commonly 5 s.
	idleTimeout = 4 * time.Second
	// maxRefusedIDs limits the refusals that a connection carries before it is replaced.
	maxRefusedIDs = 64
)

// takeConn returns the most recently used idle connection that may carry the call, or else a new one.
func (t *Task) takeConn(q *call.Request, now time.Time) *conn {
	for i, c := range slices.Backward(t.idle) {
		if !q.Idempotent && now.Sub(c.idleSince) > maxReuseIdle {
			break
		}
		if !slices.Contains(c.refusedIDs, q.ID) {
			t.idle = slices.Delete(t.idle, i, i+1)
			return c
		}
	}
	return t.newConn()
}

func (t *Task) newConn() *conn {
	return newConn(&t.connGoroutines, t.target.Address, t.dialect, t.inbox, t.bodies)
}

// putConn returns a connection to the pool. It closes the connection if its address is out of date, if the target is
// down or withdrawn, if it has carried too many refusals, or if there are already as many idle connections as slots.
func (t *Task) putConn(c *conn, now time.Time) {
	if !t.hasTarget || t.down || c.target != t.target.Address || len(t.idle) >= t.target.Slots || len(c.refusedIDs) > maxRefusedIDs {
		t.closeConn(c)
		return
	}
	c.idleSince = now
	t.idle = append(t.idle, c)
}

// closeConn closes a connection. This must not count as evidence of a crash.
func (t *Task) closeConn(c *conn) {
	c.close()
	t.suspectedCrash.remove(c)
}

// closeIdle closes the connections that have been idle since before the given time.
func (t *Task) closeIdle(before time.Time) {
	t.idle = slices.DeleteFunc(t.idle, func(c *conn) bool {
		old := c.idleSince.Before(before)
		if old {
			t.closeConn(c)
		}
		return old
	})
}

// stopTimeout limits the wait for the connections' goroutines when the task stops.
const stopTimeout = 2 * time.Second

// closeConns closes all connections. Calls in flight get no result.
func (t *Task) closeConns() {
	for _, c := range t.idle {
		c.close()
	}
	for _, r := range t.calls {
		if r.conn != nil {
			r.conn.close()
		}
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		t.connGoroutines.Wait()
	}()
	select {
	case <-stopped:
	case <-time.After(stopTimeout):
		event.TargetConnectionsNotClosed.Log("error", "the connections to the target were not closed within 2 s", "target", t.target.Name)
	}
}
