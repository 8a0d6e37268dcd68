// Package alarm keeps many deadlines behind one timer of a task loop.
package alarm

import (
	"container/heap"
	"time"
)

// A Queue is a set of deadlines, ordered by time. A task owns it; it is not safe for concurrent use.
type Queue[K comparable] struct {
	entries entries[K]
	index   map[K]*entry[K]
	timer   *time.Timer
	// armed is when the timer fires, or zero when it does not.
	armed time.Time
}

type entry[K comparable] struct {
	key      K
	at       time.Time
	position int
}

// NewQueue returns an empty Queue.
func NewQueue[K comparable]() *Queue[K] {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return &Queue[K]{index: map[K]*entry[K]{}, timer: t}
}

// Set sets or moves the deadline of key.
func (q *Queue[K]) Set(key K, at time.Time) {
	if e, ok := q.index[key]; ok {
		e.at = at
		heap.Fix(&q.entries, e.position)
	} else {
		e := &entry[K]{key: key, at: at}
		q.index[key] = e
		heap.Push(&q.entries, e)
	}
	q.arm()
}

// Clear removes the deadline of key.
func (q *Queue[K]) Clear(key K) {
	e, ok := q.index[key]
	if !ok {
		return
	}
	heap.Remove(&q.entries, e.position)
	delete(q.index, key)
}

// Due removes and returns the keys whose deadline is not after now, earliest first.
func (q *Queue[K]) Due(now time.Time) []K {
	var keys []K
	for len(q.entries) > 0 && !q.entries[0].at.After(now) {
		e := heap.Pop(&q.entries).(*entry[K])
		delete(q.index, e.key)
		keys = append(keys, e.key)
	}
	q.armed = time.Time{}
	q.arm()
	return keys
}

// C returns the channel that receives when the earliest deadline is reached. It may also receive
// earlier, and Due must be called each time.
func (q *Queue[K]) C() <-chan time.Time { return q.timer.C }

// Len returns the number of deadlines.
func (q *Queue[K]) Len() int { return len(q.entries) }

// Stop releases the timer.
func (q *Queue[K]) Stop() { q.timer.Stop() }

// arm moves the timer only to an earlier time. A call sets and clears several deadlines, and each
// change of the timer can cost a system call to wake the runtime's poller. A timer that fires for
// a deadline that was cleared or moved costs one empty Due.
func (q *Queue[K]) arm() {
	if len(q.entries) == 0 {
		return
	}
	if at := q.entries[0].at; q.armed.IsZero() || at.Before(q.armed) {
		q.armed = at
		q.timer.Reset(time.Until(at))
	}
}

type entries[K comparable] []*entry[K]

func (e entries[K]) Len() int           { return len(e) }
func (e entries[K]) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e entries[K]) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].position, e[j].position = i, j
}

// Push implements heap.Interface.
func (e *entries[K]) Push(x any) {
	n := x.(*entry[K])
	n.position = len(*e)
	*e = append(*e, n)
}

// Pop implements heap.Interface.
func (e *entries[K]) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*e = old[:len(old)-1]
	return last
}
