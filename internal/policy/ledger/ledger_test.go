package ledger

import (
	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

var testLimits = Limits{EpochLength: time.Minute, MaxEntries: 2, MaxBytes: 100}

// TestBegin guards against a second run of a key.
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
			name: "resend gets the remembered answer",
			before: func(l *Ledger, k Key) {
				l.Begin(k, ident.Digest{})
				l.Finish(k, answer)
			},
			key:  Key{Target: "b1", Incarnation: self},
			want: Replay{call.Answered{Status: 200, Body: []byte("booked"), Remembered: true}},
		},
		{
			name: "resend after an unknown outcome does not run",
			before: func(l *Ledger, k Key) {
				l.Begin(k, ident.Digest{})
				l.Finish(k, call.Unknown{Kind: errs.TargetFailed})
			},
			key:  Key{Target: "b1", Incarnation: self},
			want: Replay{call.Unknown{Kind: errs.TargetFailed}},
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
			want:   Refuse{errs.OwnerGone, "the daemon that owned the key has restarted"},
		},
		{
			name:   "key used for another request does not run",
			before: func(l *Ledger, k Key) { l.Begin(k, ident.Digest{}) },
			key:    Key{Target: "b1", Incarnation: self},
			digest: ident.Digest{9},
			want:   Refuse{errs.KeyMismatch, "the key was used for another request"},
		},
		{
			name: "key of a dropped epoch does not run",
			before: func(l *Ledger, k Key) {
				l.Begin(k, ident.Digest{})
				l.Finish(k, answer)
				l.Advance(start.Add(3 * time.Minute))
			},
			key:  Key{Target: "b1", Incarnation: self},
			want: Refuse{errs.KeyExpired, "the key is too old"},
		},
		{
			name: "full ledger refuses and evicts nothing",
			before: func(l *Ledger, _ Key) {
				l.Begin(Key{Target: "b1", Incarnation: self, Nonce: [12]byte{1}}, ident.Digest{})
				l.Begin(Key{Target: "b1", Incarnation: self, Nonce: [12]byte{2}}, ident.Digest{})
			},
			key:  Key{Target: "b1", Incarnation: self},
			want: Refuse{errs.LedgerFull, "the daemon remembers as many keys as it may"},
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

// TestParseKey guards against keys that no daemon issued and against damaged ones.
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
