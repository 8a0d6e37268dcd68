package alarm_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/alarm"
)

// TestQueueTimer guards against losing a deadline when others are set, moved or removed after the timer was armed.
func TestQueueTimer(t *testing.T) {
	const short, long = 10 * time.Millisecond, time.Hour
	tests := []struct {
		name   string
		change func(q *alarm.Queue[string], now time.Time)
		want   []string
	}{
		{"one", func(q *alarm.Queue[string], now time.Time) {
			q.Set("a", now.Add(short))
		}, []string{"a"}},
		{"an earlier one after a later one", func(q *alarm.Queue[string], now time.Time) {
			q.Set("b", now.Add(long))
			q.Set("a", now.Add(short))
		}, []string{"a"}},
		{"the earliest is removed", func(q *alarm.Queue[string], now time.Time) {
			q.Set("a", now.Add(short))
			q.Set("b", now.Add(3*short))
			q.Remove("a")
		}, []string{"b"}},
		{"moved to an earlier time", func(q *alarm.Queue[string], now time.Time) {
			q.Set("a", now.Add(long))
			q.Set("a", now.Add(short))
		}, []string{"a"}},
		{"moved to a later time", func(q *alarm.Queue[string], now time.Time) {
			q.Set("a", now.Add(short))
			q.Set("a", now.Add(3*short))
		}, []string{"a"}},
		{"set again after all were removed", func(q *alarm.Queue[string], now time.Time) {
			q.Set("a", now.Add(long))
			q.Remove("a")
			q.Set("b", now.Add(short))
		}, []string{"b"}},
		{"a later one after the timer fired for a removed one", func(q *alarm.Queue[string], now time.Time) {
			q.Set("a", now.Add(short))
			q.Remove("a")
			time.Sleep(2 * short)
			q.Set("b", now.Add(4*short))
		}, []string{"b"}},
		{"in the past", func(q *alarm.Queue[string], now time.Time) {
			q.Set("b", now)
			q.Set("a", now.Add(-long))
		}, []string{"a", "b"}},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			q := alarm.NewQueue[string]()
			defer q.Stop()
			c.change(q, time.Now())
			var got []string
			for timeout := time.After(10 * time.Second); len(got) < len(c.want); {
				select {
				case <-q.C():
					now := time.Now()
					got = append(got, q.PopDue(now)...)
				case <-timeout:
					t.Fatalf("got %q before the timeout, want %q", got, c.want)
				}
			}
			qt.Assert(t, got, qt.DeepEquals, c.want)
		})
	}
}

// TestQueuePopDue guards against returning deadlines that were moved or removed, and against missing those at or
// before now.
func TestQueuePopDue(t *testing.T) {
	start := time.Now()
	tests := []struct {
		name  string
		after time.Duration
		want  []string
		left  int
	}{
		{"none yet", time.Second, nil, 3},
		{"at the time", 2 * time.Second, []string{"b"}, 2},
		{"earliest first", time.Minute, []string{"b", "c", "a"}, 0},
	}
	for _, c := range tests {
		t.Run(c.name, func(t *testing.T) {
			q := alarm.NewQueue[string]()
			defer q.Stop()
			q.Set("a", start.Add(time.Second))
			q.Set("b", start.Add(2*time.Second))
			q.Set("c", start.Add(3*time.Second))
			q.Set("d", start.Add(time.Millisecond))
			q.Set("a", start.Add(4*time.Second))
			q.Remove("d")
			qt.Assert(t, q.PopDue(start.Add(c.after)), qt.DeepEquals, c.want)
			qt.Assert(t, q.Len(), qt.Equals, c.left)
		})
	}
}
