// Package quota limits the memory used by the bodies of calls in flight.
package quota

import "sync"

// defaultLimit is half of a daemon's memory budget, in bytes.
const defaultLimit = 32 << 20

// A Quota is a byte budget that tasks share. It is safe for concurrent use.
type Quota struct {
	mu    sync.Mutex
	limit int
	used  int
}

// New returns a Quota of limit bytes. A limit of 0 means the default of 32 MiB.
func New(limit int) *Quota {
	if limit == 0 {
		limit = defaultLimit
	}
	return &Quota{limit: limit}
}

// Used returns the number of bytes in use.
func (q *Quota) Used() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.used
}

// NewAccount returns a new Share for one task. It reserves no bytes.
func (q *Quota) NewAccount() *Account { return &Account{quota: q} }

// A Account tracks the bytes of a Quota that one task has taken. It is safe for concurrent use.
type Account struct {
	quota  *Quota
	used   int
	closed bool
}

// TryAcquire takes n bytes for a request. It returns false if fewer than n bytes are left or the Share is closed.
func (s *Account) TryAcquire(n int) bool {
	s.quota.mu.Lock()
	defer s.quota.mu.Unlock()
	if s.closed || s.quota.used+n > s.quota.limit {
		return false
	}
	s.adjust(n)
	return true
}

// AcquireOverLimit takes n bytes for a response, even above the limit, since a call that has run must be answered.
func (s *Account) AcquireOverLimit(n int) {
	s.quota.mu.Lock()
	defer s.quota.mu.Unlock()
	s.adjust(n)
}

// Release returns n bytes.
func (s *Account) Release(n int) {
	s.quota.mu.Lock()
	defer s.quota.mu.Unlock()
	s.adjust(-n)
}

// Close returns all bytes that the Share still holds, so that a failed task does not leak any. After Close, TryAcquire
// returns false and the other methods have no effect.
func (s *Account) Close() {
	s.quota.mu.Lock()
	defer s.quota.mu.Unlock()
	s.adjust(-s.used)
	s.closed = true
}

// adjust changes the bytes in use by n. The caller holds the lock of the Quota.
func (s *Account) adjust(n int) {
	if s.closed {
		return
	}
	s.used += n
	s.quota.used += n
}
