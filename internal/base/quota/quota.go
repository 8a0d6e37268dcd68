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

// Limit returns the limit of the Quota in bytes.
func (q *Quota) Limit() int { return q.limit }

// NewAccount returns an Account for one task. It reserves no bytes.
func (q *Quota) NewAccount() *Account { return &Account{quota: q} }

// An Account tracks the bytes of a Quota that one task has taken. It is safe for concurrent use.
type Account struct {
	quota  *Quota
	used   int
	closed bool
}

// TryAcquire takes n bytes for a request. It returns false if fewer than n bytes are left or the Account is closed.
func (a *Account) TryAcquire(n int) bool {
	a.quota.mu.Lock()
	defer a.quota.mu.Unlock()
	if a.closed || a.quota.used+n > a.quota.limit {
		return false
	}
	a.adjust(n)
	return true
}

// TryAcquireLeaving takes n bytes if at least rest bytes are left afterwards. own is what the same body has taken before. If
// others use less than rest, it may take all of the limit, so that the rest that is kept for others makes no body
// impossible.
func (a *Account) TryAcquireLeaving(n, rest, own int) bool {
	a.quota.mu.Lock()
	defer a.quota.mu.Unlock()
	if a.quota.used-own < rest {
		rest = 0
	}
	if a.closed || a.quota.used+n > a.quota.limit-rest {
		return false
	}
	a.adjust(n)
	return true
}

// AcquireOverLimit takes n bytes for a response, even above the limit, since a call that has run must be answered.
func (a *Account) AcquireOverLimit(n int) {
	a.quota.mu.Lock()
	defer a.quota.mu.Unlock()
	a.adjust(n)
}

// Release returns n bytes.
func (a *Account) Release(n int) {
	a.quota.mu.Lock()
	defer a.quota.mu.Unlock()
	a.adjust(-n)
}

// Close returns all bytes that the Account still holds, so that a failed task does not leak any. After Close,
// TryAcquire returns false and the other methods have no effect.
func (a *Account) Close() {
	a.quota.mu.Lock()
	defer a.quota.mu.Unlock()
	a.adjust(-a.used)
	a.closed = true
}

// adjust changes the bytes in use by n. The caller holds the lock of the Quota.
func (a *Account) adjust(n int) {
	if a.closed {
		return
	}
	a.used += n
	a.quota.used += n
}
