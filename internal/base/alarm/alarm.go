// Package alarm provides a queue of deadlines that uses a single timer per task.
package alarm

import (
	"container/heap"
	"time"
)

// A Queue is a priority queue of deadlines by key. It belongs to one task and is not safe for concurrent use.
type Queue[K comparable] struct {
	entries entryHeap[K]
	index   map[K]*entry[K]
	timer   *time.Timer
	// timerAt is when the timer fires, or zero if it is not set.
	timerAt time.Time
}

type entry[K comparable] struct {
	key       K
	deadline  time.Time
	heapIndex int
}

// NewQueue returns an empty Queue.
func NewQueue[K comparable]() *Queue[K] {
	t := time.NewTimer(time.Hour)
	t.Stop()
	return &Queue[K]{index: map[K]*entry[K]{}, timer: t}
}

// Set sets the deadline of key, replacing an earlier one.
func (q *Queue[K]) Set(key K, at time.Time) {
	if e, ok := q.index[key]; ok {
		e.deadline = at
		heap.Fix(&q.entries, e.heapIndex)
	} else {
		e := &entry[K]{key: key, deadline: at}
		q.index[key] = e
		heap.Push(&q.entries, e)
	}
	q.arm()
}

// Remove removes the deadline of key.
func (q *Queue[K]) Remove(key K) {
	e, ok := q.index[key]
	if !ok {
		return
	}
	heap.Remove(&q.entries, e.heapIndex)
	delete(q.index, key)
}

// PopDue removes and returns the keys whose deadline is not after now, earliest first.
func (q *Queue[K]) PopDue(now time.Time) []K {
	var keys []K
	for len(q.entries) > 0 && !q.entries[0].deadline.After(now) {
		e := heap.Pop(&q.entries).(*entry[K])
		delete(q.index, e.key)
		keys = append(keys, e.key)
	}
	q.timerAt = time.Time{}
	q.arm()
	return keys
}

// C returns a channel that receives when the earliest deadline is reached. It may also receive before that; PopDue
// must be called each time.
func (q *Queue[K]) C() <-chan time.Time { return q.timer.C }

// Len returns the number of deadlines.
func (q *Queue[K]) Len() int { return len(q.entries) }

// Stop stops the timer.
func (q *Queue[K]) Stop() { q.timer.Stop() }

// arm sets the timer to the earliest deadline, unless the timer fires before that anyway. It never postpones the
// timer: each request through the daemon sets and removes several deadlines, and each change of the timer can cost a
// system call to wake the runtime's poller. A timer that fires for a deadline that was removed or moved costs only one
// PopDue that returns no keys.
func (q *Queue[K]) arm() {
	if len(q.entries) == 0 {
		return
	}
	if at := q.entries[0].deadline; q.timerAt.IsZero() || at.Before(q.timerAt) {
		q.timerAt = at
		q.timer.Reset(time.Until(at))
	}
}

// An entryHeap is a heap of entries, ordered by deadline.
type entryHeap[K comparable] []*entry[K]

func (e entryHeap[K]) Len() int           { return len(e) }
func (e entryHeap[K]) Less(i, j int) bool { return e[i].deadline.Before(e[j].deadline) }
func (e entryHeap[K]) Swap(i, j int) {
	e[i], e[j] = e[j], e[i]
	e[i].heapIndex, e[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (e *entryHeap[K]) Push(x any) {
	n := x.(*entry[K])
	n.heapIndex = len(*e)
	*e = append(*e, n)
}

// Pop implements heap.Interface.
func (e *entryHeap[K]) Pop() any {
	old := *e
	last := old[len(old)-1]
	old[len(old)-1] = nil
	*e = old[:len(old)-1]
	return last
}
