package quota

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestQuota guards against leaked bytes, and against a limit that applies to each task instead of all together.
func TestQuota(t *testing.T) {
	tests := []struct {
		name string
		use  func(a, b *Share) bool
		want bool
		used int
	}{
		{"within the limit", func(a, b *Share) bool { return a.TryTake(6) && b.TryTake(4) }, true, 10},
		{"above the limit together", func(a, b *Share) bool { return a.TryTake(6) && b.TryTake(5) }, false, 6},
		{"response above the limit", func(a, b *Share) bool {
			a.Take(12)
			return b.TryTake(1)
		}, false, 12},
		{"returned", func(a, b *Share) bool {
			a.Take(12)
			a.Give(12)
			return b.TryTake(10)
		}, true, 10},
		{"closed with bytes taken", func(a, b *Share) bool {
			a.Take(8)
			a.Close()
			a.Give(8)
			return b.TryTake(10)
		}, true, 10},
		{"taken after close", func(a, _ *Share) bool {
			a.Close()
			return a.TryTake(1)
		}, false, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			q := New(10)
			qt.Assert(t, test.use(q.Open(), q.Open()), qt.Equals, test.want)
			qt.Assert(t, q.Used(), qt.Equals, test.used)
		})
	}
}
