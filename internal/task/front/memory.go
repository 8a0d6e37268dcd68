package front

import "sync/atomic"

// A memory counts the bytes that request bodies hold. The pollers take from it while they
// read, and the task gives back when a call has ended.
type memory struct {
	limit int64
	used  atomic.Int64
}

func (m *memory) take(n int) bool {
	if m.used.Add(int64(n)) > m.limit {
		m.used.Add(-int64(n))
		return false
	}
	return true
}

func (m *memory) give(n int) { m.used.Add(-int64(n)) }
