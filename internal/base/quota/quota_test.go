package quota

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestQuota guards against leaked bytes, and against a limit that applies to each task instead of all together.
func TestQuota(t *testing.T) {
	tests := []struct {
		name string
		use  func(a, b *Account) bool
		want bool
		used int
	}{
		{"within the limit", func(a, b *Account) bool { return a.TryAcquire(6) && b.TryAcquire(4) }, true, 10},
		{"above the limit together", func(a, b *Account) bool { return a.TryAcquire(6) && b.TryAcquire(5) }, false, 6},
		{"response above the limit", func(a, b *Account) bool {
			a.AcquireOverLimit(12)
			return b.TryAcquire(1)
		}, false, 12},
		{"returned", func(a, b *Account) bool {
			a.AcquireOverLimit(12)
			a.Release(12)
			return b.TryAcquire(10)
		}, true, 10},
		{"closed with bytes taken", func(a, b *Account) bool {
			a.AcquireOverLimit(8)
			a.Close()
			a.Release(8)
			return b.TryAcquire(10)
		}, true, 10},
		{"taken after close", func(a, _ *Account) bool {
			a.Close()
			return a.TryAcquire(1)
		}, false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := New(10)
			qt.Assert(t, test.use(q.NewAccount(), q.NewAccount()), qt.Equals, test.want)
			qt.Assert(t, q.Used(), qt.Equals, test.used)
		})
	}
}
