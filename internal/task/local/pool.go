package local

import (
	"slices"
	"time"

	"jacinthcross/internal/base/event"
)

const (
	// reuseLimit is how long a connection may have been idle when it takes a non-idempotent call.
	// A target may close an idle connection at the moment of reuse, and then it is not known
	// whether the call ran. Servers keep idle connections for 5 s or more.
	reuseLimit = time.Second
	// idleLimit closes idle connections before the common server timeout of 5 s.
	idleLimit = 4 * time.Second
)

// take returns an idle connection for the call, the most recently used first, or a new one.
func (t *Task) take(idempotent bool, now time.Time) *conn {
	if n := len(t.idle); n > 0 {
		c := t.idle[n-1]
		if idempotent || now.Sub(c.idleSince) <= reuseLimit {
			t.idle = t.idle[:n-1]
			return c
		}
	}
	return t.newConn()
}

func (t *Task) newConn() *conn {
	return newConn(&t.open, t.target.Address, t.dialect, t.inbox, t.maxBody)
}

// keep puts a connection back, or closes it when it belongs to an earlier address, to a
// withdrawn target, or when there are already as many as the target has slots.
func (t *Task) keep(c *conn, now time.Time) {
	if !t.present || t.down || c.target != t.target.Address || len(t.idle) >= t.target.Slots {
		t.drop(c)
		return
	}
	c.idleSince = now
	t.idle = append(t.idle, c)
}

// drop closes a connection from this side. That is no evidence of a crash.
func (t *Task) drop(c *conn) {
	c.close()
	t.suspicion.forget(c)
}

// closeIdle closes the connections that have been idle since before the time.
func (t *Task) closeIdle(before time.Time) {
	t.idle = slices.DeleteFunc(t.idle, func(c *conn) bool {
		old := c.idleSince.Before(before)
		if old {
			t.drop(c)
		}
		return old
	})
}

// stopTimeout bounds the wait for the goroutines of the connections.
const stopTimeout = 2 * time.Second

// closeAll closes every connection. Calls that they carry are not answered any more.
func (t *Task) closeAll() {
	for _, c := range t.idle {
		c.close()
	}
	for _, r := range t.runs {
		if r.conn != nil {
			r.conn.close()
		}
	}
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		t.open.Wait()
	}()
	select {
	case <-stopped:
	case <-time.After(stopTimeout):
		event.TargetConnectionsNotClosed.Log("error", "the target connections were not closed in time", "target", t.target.Name)
	}
}
