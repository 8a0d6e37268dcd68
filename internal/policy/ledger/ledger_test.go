package ledger

import (
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
)

var testLimits = Limits{EpochLength: time.Minute, MaxEntries: 2, MaxBytes: 100, MaxWaiting: 2}

// TestBegin guards against running a call with the same key twice.
func TestBegin(t *testing.T) {
	start := time.Unix(1000, 0)
	self := ident.Incarnation{1}
	answer := call.Answered{Status: 200, Body: []byte("booked")}
	tests := []struct {
		name   string
		before func(l *Ledger, k Key)
		key    Key
		digest ident.Digest
		want   Decision
	}{
		{
			name:   "first send runs",
			before: func(*Ledger, Key) {},
			key:    Key{Target: "b1", Incarnation: self},
			want:   Run{},
		},
		{
			name:   "resend joins the running call",
			before: func(l *Ledger, k Key) { l.Begin(k, ident.Digest{}) },
			key:    Key{Target: "b1", Incarnation: self},
			want:   Join{},
		},
		{
			name: "resend gets the stored answer",
			before: func(l *Ledger, k Key) {
				l.Begin(k, ident.Digest{})
				l.Finish(k, answer)
			},
			key:  Key{Target: "b1", Incarnation: self},
			want: Replay{call.Answered{Status: 200, Body: []byte("booked"), Replayed: true}},
		},
		{
			name: "resend after an unknown outcome does not run",
			before: func(l *Ledger, k Key) {
				l.Begin(k, ident.Digest{})
				l.Finish(k, call.Unknown{Kind: errs.TargetFailed})
			},
			key:  Key{Target: "b1", Incarnation: self},
			want: Replay{call.Unknown{Kind: errs.TargetFailed, Detail: earlierUnknownDetail}},
		},
		{
			name: "resend after a refusal runs",
			before: func(l *Ledger, k Key) {
				l.Begin(k, ident.Digest{})
				l.Release(k)
			},
			key:  Key{Target: "b1", Incarnation: self},
			want: Run{},
		},
		{
			name:   "key of another incarnation does not run",
			before: func(*Ledger, Key) {},
			key:    Key{Target: "b1", Incarnation: ident.Incarnation{2}},
			want:   Refuse{errs.OwnerGone, "the daemon that owned the key has restarted or has another target"},
		},
		{
			name:   "key used for another request does not run",
			before: func(l *Ledger, k Key) { l.Begin(k, ident.Digest{}) },
			key:    Key{Target: "b1", Incarnation: self},
			digest: ident.Digest{9},
			want:   Refuse{errs.KeyMismatch, "the key was already used for a different request"},
		},
		{
			name: "key of a dropped epoch does not run",
			before: func(l *Ledger, k Key) {
				l.Begin(k, ident.Digest{})
				l.Finish(k, answer)
				l.AdvanceEpoch(start.Add(3 * time.Minute))
			},
			key:  Key{Target: "b1", Incarnation: self},
			want: Refuse{errs.KeyExpired, "the key has expired"},
		},
		{
			name:   "key of an epoch that has not started is invalid",
			before: func(*Ledger, Key) {},
			key:    Key{Target: "b1", Incarnation: self, Epoch: 1},
			want:   Refuse{errs.KeyInvalid, "the key belongs to an epoch that has not started"},
		},
		{
			name: "call whose epoch was dropped while it ran does not run again",
			before: func(l *Ledger, k Key) {
				l.Begin(k, ident.Digest{})
				l.AdvanceEpoch(start.Add(3 * time.Minute))
				l.Release(k)
			},
			key:  Key{Target: "b1", Incarnation: self},
			want: Refuse{errs.KeyExpired, "the key has expired"},
		},
		{
			name: "resend above the limit is refused as StillRunning",
			before: func(l *Ledger, k Key) {
				for range 3 {
					l.Begin(k, ident.Digest{})
				}
			},
			key:  Key{Target: "b1", Incarnation: self},
			want: Refuse{errs.StillRunning, "the call is still running and the maximum number of resends already wait for it"},
		},
		{
			name: "resend that stops waiting makes room for another",
			before: func(l *Ledger, k Key) {
				for range 3 {
					l.Begin(k, ident.Digest{})
				}
				l.CancelJoin(k)
			},
			key:  Key{Target: "b1", Incarnation: self},
			want: Join{},
		},
		{
			name: "answer above the byte limit is not stored and its call does not run again",
			before: func(l *Ledger, k Key) {
				l.Begin(k, ident.Digest{})
				l.Finish(k, call.Answered{Status: 200, Body: make([]byte, 101)})
			},
			key:  Key{Target: "b1", Incarnation: self},
			want: Replay{call.Unknown{Kind: errs.AnswerForgotten, Detail: forgottenDetail}},
		},
		{
			name: "full ledger refuses the key and evicts nothing",
			before: func(l *Ledger, _ Key) {
				l.Begin(Key{Target: "b1", Incarnation: self, Nonce: [12]byte{1}}, ident.Digest{})
				l.Begin(Key{Target: "b1", Incarnation: self, Nonce: [12]byte{2}}, ident.Digest{})
			},
			key:  Key{Target: "b1", Incarnation: self},
			want: Refuse{errs.LedgerFull, "the daemon holds the maximum number of keys"},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := New("b1", self, testLimits, start)
			test.before(l, test.key)
			qt.Assert(t, l.Begin(test.key, test.digest), qt.DeepEquals, test.want)
		})
	}
}

// BenchmarkEntry measures the memory of one stored key without an answer.
func BenchmarkEntry(b *testing.B) {
	const n = 100_000
	keys := make([]Key, n)
	for i := range keys {
		keys[i] = NewKey("b1", ident.Incarnation{1}, 0)
	}
	var before, after runtime.MemStats
	for b.Loop() {
		runtime.GC()
		runtime.ReadMemStats(&before)
		l := New("b1", ident.Incarnation{1}, Limits{EpochLength: time.Minute, MaxEntries: n, MaxBytes: 1 << 20}, time.Unix(0, 0))
		for _, k := range keys {
			l.Begin(k, ident.Digest{})
			l.Finish(k, call.Unknown{Kind: errs.TargetFailed})
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(l.Len()), "B/entry")
	}
}

// TestParseKey guards against accepting keys that no daemon issued or that are corrupt.
func TestParseKey(t *testing.T) {
	good := NewKey("b1", ident.Incarnation{1}, 7)
	tests := []struct {
		name string
		text string
		kind errs.Kind
	}{
		{"issued key", good.String(), ""},
		{"key chosen by the caller", "3f2c9d3e-7a51-4a57-9a0e-2f6f1d1b8a11", errs.KeyInvalid},
		{"truncated key", good.String()[:20], errs.KeyInvalid},
		{"changed key", good.String()[:8] + "Z" + good.String()[9:], errs.KeyInvalid},
		{"empty key", "", errs.KeyInvalid},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			k, err := ParseKey(test.text)
			if test.kind == "" {
				qt.Assert(t, err, qt.IsNil)
				qt.Assert(t, k, qt.Equals, good)
				return
			}
			qt.Assert(t, errs.KindOf(err), qt.Equals, test.kind)
		})
	}
}

// FuzzParseKey guards against accepting a text that is not the canonical encoding of its key.
func FuzzParseKey(f *testing.F) {
	f.Add(Key{Target: "b1", Incarnation: ident.Incarnation{1}, Epoch: 7}.String())
	f.Fuzz(func(t *testing.T, text string) {
		k, err := ParseKey(text)
		if err != nil {
			qt.Assert(t, errs.KindOf(err), qt.Equals, errs.KeyInvalid)
			return
		}
		qt.Assert(t, k.String(), qt.Equals, text)
	})
}
