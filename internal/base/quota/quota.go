// Package quota bounds the memory that the bodies of calls in flight use.
package quota

import "sync"

// defaultLimit is half of the memory budget of a daemon in bytes.
const defaultLimit = 32 << 20

// A Quota is a number of bytes that tasks share. It is safe for concurrent use.
type Quota struct {
	mu    sync.Mutex
	limit int
	used  int
}

// New returns a Quota of limit bytes. Zero stands for the default of 32 MiB.
func New(limit int) *Quota {
	if limit == 0 {
		limit = defaultLimit
	}
	return &Quota{limit: limit}
}

// Used returns the number of bytes that are taken.
func (q *Quota) Used() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.used
}

// Open returns a Share from which one task takes.
func (q *Quota) Open() *Share { return &Share{quota: q} }

// A Share is what one task has taken of a Quota. It is safe for concurrent use.
type Share struct {
	quota  *Quota
	used   int
	closed bool
}

// TryTake takes n bytes for a request, or reports false when fewer are left.
func (s *Share) TryTake(n int) bool {
	s.quota.mu.Lock()
	defer s.quota.mu.Unlock()
	if s.closed || s.quota.used+n > s.quota.limit {
		return false
	}
	s.add(n)
	return true
}

// Take takes n bytes for a response, also above the limit: a call that has run must be answered.
func (s *Share) Take(n int) {
	s.quota.mu.Lock()
	defer s.quota.mu.Unlock()
	s.add(n)
}

// Give returns n bytes.
func (s *Share) Give(n int) {
	s.quota.mu.Lock()
	defer s.quota.mu.Unlock()
	s.add(-n)
}

// Close returns what is left, so that a task that failed keeps nothing. Later calls have no effect.
func (s *Share) Close() {
	s.quota.mu.Lock()
	defer s.quota.mu.Unlock()
	s.add(-s.used)
	s.closed = true
}

func (s *Share) add(n int) {
	if s.closed {
		return
	}
	s.used += n
	s.quota.used += n
}
