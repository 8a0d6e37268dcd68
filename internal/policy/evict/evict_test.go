package evict_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/policy/evict"
)

var now = time.Unix(1_700_000_000, 0)

func ago(d time.Duration) time.Time { return now.Add(-d) }

// Guards against giving up a connection whose call may have run, one that makes progress before one that does not, or more
// of them than needed.
func TestChoose(t *testing.T) {
	const kb, mb, s = 1 << 10, 1 << 20, time.Second
	idle, silent := evict.Waiting{Since: ago(s), Used: true}, evict.Waiting{Since: ago(s / 2)}
	stalled := evict.Receiving{Since: ago(3 * s), ProgressAt: ago(2 * s), Received: mb, Held: mb}
	slow := evict.Receiving{Since: ago(3 * s), ProgressAt: ago(0), Received: kb, Held: mb}
	fast := evict.Receiving{Since: ago(3 * s), ProgressAt: ago(0), Received: mb, Held: mb}
	fresh := evict.Receiving{Since: ago(s / 2), ProgressAt: ago(s / 2), Held: 9 * mb}
	large := evict.Receiving{Since: ago(3 * s), ProgressAt: ago(0), Received: 9 * mb, Held: 9 * mb}
	unread := evict.Sending{ProgressAt: ago(2 * s), Held: 2 * mb}
	reading := evict.Sending{ProgressAt: ago(s / 2), Held: 2 * mb}
	tests := []struct {
		name    string
		holders []evict.Holder
		need    evict.Need
		want    []evict.Victim
	}{
		{"nothing is short", []evict.Holder{idle, stalled}, evict.Need{}, nil},
		{"calls in flight", []evict.Holder{evict.Running{}, evict.Running{}}, evict.Need{Bytes: mb, Connections: 2}, nil},
		{"the stated order", []evict.Holder{large, fast, slow, stalled, idle, evict.Running{}}, evict.Need{Connections: 9}, []evict.Victim{
			{4, evict.Idle}, {3, evict.Stalled}, {2, evict.Slow}, {0, evict.Largest},
		}},
		{"the longest idle first", []evict.Holder{idle, evict.Waiting{Since: ago(2 * s), Used: true}}, evict.Need{Connections: 1}, []evict.Victim{{1, evict.Idle}}},
		{"those without any request before idle ones", []evict.Holder{idle, silent}, evict.Need{Connections: 1}, []evict.Victim{{1, evict.Silent}}},
		{"a caller that has just connected", []evict.Holder{evict.Waiting{Since: ago(s / 100)}, fresh}, evict.Need{Connections: 1}, nil},
		{"idle connections hold no memory", []evict.Holder{idle, stalled}, evict.Need{Bytes: 1}, []evict.Victim{{1, evict.Stalled}}},
		{"the largest of the stalled first", []evict.Holder{stalled, unread, stalled}, evict.Need{Bytes: 3 * mb}, []evict.Victim{{1, evict.Stalled}, {0, evict.Stalled}}},
		{"a response that is being read", []evict.Holder{reading, reading}, evict.Need{Bytes: mb}, nil},
		{"a request that has just begun", []evict.Holder{fresh}, evict.Need{Bytes: mb, Connections: 1}, nil},
		{"the only request, however large", []evict.Holder{large}, evict.Need{Bytes: mb}, nil},
		{"requests of one size", []evict.Holder{fast, fast, fast}, evict.Need{Bytes: mb}, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			qt.Assert(t, evict.Choose(test.holders, test.need, 4*kb, now), qt.DeepEquals, test.want)
		})
	}
}
