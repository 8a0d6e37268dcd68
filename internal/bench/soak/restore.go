package soak

import (
	"time"

	"jacinthcross/platform/fake"
)

// A storeCopy is a copy of the store with the time at which it was made.
type storeCopy struct {
	at time.Time
	fake.StoreCopy
}

// restoreStore restores the store from the newest copy of the given age, or from the oldest copy. At the end of the step, the
// targets that run and the operators write again, and the platform removes the entries of the targets that have ended.
func (s *soak) restoreStore(age time.Duration, begin bool) {
	if !begin {
		s.site.WriteAgain()
		for _, t := range s.retiredTargets {
			t.Unregister()
		}
		return
	}
	older := s.copies[0]
	for _, c := range s.copies {
		if time.Since(c.at) >= age {
			older = c
		}
	}
	s.site.Store.Restore(older.StoreCopy)
}
