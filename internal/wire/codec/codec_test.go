package codec_test

import (
	"bytes"
	"net/netip"
	"reflect"
	"runtime"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/relay"
	"jacinthcross/internal/fleet/roster"
	"jacinthcross/internal/policy/crash"
	"jacinthcross/internal/wire/codec"
)

var now = time.Unix(1_700_000_000, 0)

// messages returns sample messages, most of them with every field set.
func messages() []codec.Message {
	incarnation := ident.Incarnation{1, 2, 3}
	head := ident.Head{Serial: 7, Digest: ident.Digest{4, 5}, Era: 2}
	fields := []call.Field{{Name: "Accept", Value: "text/plain"}, {Name: "X", Value: ""}}
	load := call.Load{
		InFlight: 1, Queued: 2, Limit: 3, QueueDelay: 4, Latency: 5, Incarnation: incarnation, Epoch: 6, Head: head, Draining: true, Down: true, Slowness: 5, ExpectedSlowDuration: 6, UntilWarm: 7,
	}
	return []codec.Message{
		codec.Hello{Protocol: codec.Protocol, VM: "vm", DataCentre: "dc", Incarnation: incarnation, Head: head, Draining: true, Daemon: netip.MustParseAddrPort("127.0.0.1:7000"), Bulk: true, RequestsBodies: true},
		codec.Call{Target: "target", Number: 9, Request: call.Request{
			ID: "request", Route: "route", Origin: "origin", SoftDeadline: now.Add(-time.Second), HoldUntil: now.Add(time.Millisecond), RetriedByCaller: true, CallerCannotRetry: true, UsualLatency: time.Millisecond, MinOtherSlowness: 2,
			Service: "service", Method: "POST", URI: "/a?b", Header: fields, Body: []byte("body"),
			Caller: netip.MustParseAddr("2001:db8::1"), Deadline: now.Add(time.Second), Rank: ident.Normal,
			Depth: 2, RetryAllowance: 1, Key: "key", Idempotent: true,
		}},
		codec.Call{Target: "target", Number: 9, Sent: time.Hour, BodySize: 100_000, Digest: ident.Digest{6}, Request: call.Request{
			Header: fields, Deadline: now.Add(time.Second), Rank: ident.Normal, Caller: netip.MustParseAddr("2001:db8::1"), Key: "key",
		}},
		codec.BodyRequest{Number: 9},
		codec.RequestBody{Number: 9, Body: []byte("body")},
		codec.Reply{Number: 9, Result: call.Result{Load: load, RetriesUsed: 1, Sent: true, Outcome: call.Answered{Status: 201, Header: fields, Body: []byte("body"), Replayed: true}}},
		codec.Reply{Result: call.Result{Load: load, Outcome: call.Refused{Kind: errs.Busy, RetryAfter: time.Second, Detail: "detail"}}},
		codec.Reply{Result: call.Result{Load: load, Outcome: call.Unknown{Kind: errs.AnswerCut, Detail: "detail"}}},
		codec.LoadRequest{Target: "target"},
		codec.LoadReply{Load: load},
		codec.TargetReport{Target: "target", Load: load},
		codec.Control{Message: relay.Pull{After: head}},
		codec.CrashReports{Service: "service", Entries: []crash.Report{{Digest: ident.Digest{9}, Weight: 0.5, Crashes: 2, ExpiresIn: time.Minute}}},
		codec.CrashReports{From: "vm", Service: "service", Tallies: []crash.Tally{{
			Service: "other", Digest: ident.Digest{9}, Origin: ident.Incarnation{8}, Crashes: 3, Confirmed: 2, Cleared: 1, Age: time.Minute,
		}}},
		codec.ChangesReply{Changes: roster.Changes{Revision: 9, Changes: []roster.Change{
			roster.DataCentreEvacuated{DataCentre: "d", Revision: 8}, roster.DataCentreRestored{DataCentre: "e", Revision: 9},
		}}},
		codec.ChangesRequest{After: 7, Era: 2, Wait: time.Second},
		codec.ChangesReply{Changes: roster.Changes{Revision: 7, Era: 2}, Complete: true, Age: time.Second, Waited: time.Minute, StoreUnreachable: true},
		codec.Drain{VM: "vm"},
		codec.Done{},
	}
}

// TestMessagesRoundTrip guards against fields that are lost or mixed up between daemons, and against deadlines that
// shift with the difference between the clocks of two daemons.
func TestMessagesRoundTrip(t *testing.T) {
	for _, m := range messages() {
		var b bytes.Buffer
		_, err := codec.Write(&b, m, now)
		qt.Assert(t, err, qt.IsNil)
		got, _, err := codec.Read(&b, 1<<20, func() time.Time { return now })
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, reflect.DeepEqual(got, m), qt.IsTrue, qt.Commentf("%#v\n%#v", got, m))
		qt.Assert(t, b.Len(), qt.Equals, 0)
	}
}

// TestTruncatedAndOversizedMessagesAreErrors guards against accepting a truncated or oversized message.
func TestTruncatedAndOversizedMessagesAreErrors(t *testing.T) {
	for _, m := range messages() {
		var b bytes.Buffer
		_, err := codec.Write(&b, m, now)
		qt.Assert(t, err, qt.IsNil)
		whole := b.Bytes()
		for n := range whole {
			_, _, err := codec.Read(bytes.NewReader(whole[:n]), 1<<20, time.Now)
			qt.Assert(t, err, qt.IsNotNil, qt.Commentf("%T: %d of %d bytes", m, n, len(whole)))
		}
		if n := len(whole) - 4; n > 0 {
			_, _, err := codec.Read(bytes.NewReader(whole), n-1, time.Now)
			qt.Assert(t, err, qt.ErrorMatches, ".*message of .* bytes.*")
		}
	}
}

// FuzzDecode guards against bytes from a peer that make the process panic, and against messages that change when they
// are decoded and encoded again.
func FuzzDecode(f *testing.F) {
	for _, m := range messages() {
		var b bytes.Buffer
		if _, err := codec.Write(&b, m, now); err != nil {
			f.Fatal(err)
		}
		f.Add(b.Bytes()[4:])
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		m, err := codec.Decode(b, now)
		if err != nil {
			return
		}
		var first, second bytes.Buffer
		if _, err := codec.Write(&first, m, now); err != nil {
			return
		}
		again, _, err := codec.Read(bytes.NewReader(first.Bytes()), 1<<30, func() time.Time { return now })
		qt.Assert(t, err, qt.IsNil)
		_, err = codec.Write(&second, again, now)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, second.Len(), qt.Equals, first.Len())
	})
}

func BenchmarkCodec(b *testing.B) {
	for _, m := range []codec.Message{messages()[1], messages()[5]} {
		b.Run(nameOf(m), func(b *testing.B) {
			b.ReportAllocs()
			for range b.N {
				var buffer bytes.Buffer
				if _, err := codec.Write(&buffer, m, now); err != nil {
					b.Fatal(err)
				}
				if _, _, err := codec.Read(&buffer, 1<<20, time.Now); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func nameOf(m codec.Message) string {
	if _, ok := m.(codec.Call); ok {
		return "call"
	}
	return "reply"
}

// Guards against an answer of a peer whose status is not one of a final response. The call may have run, so its outcome is
// unknown. The message is not an error, which would end all calls of the session.
func TestInvalidStatusOfAPeer(t *testing.T) {
	for _, status := range []int{-200, 0, 1, 99, 100, 101, 199, 600, 999, 2000} {
		var b bytes.Buffer
		_, err := codec.Write(&b, codec.Reply{Number: 9, Result: call.Result{Sent: true, Outcome: call.Answered{Status: status, Body: []byte("body")}}}, now)
		qt.Assert(t, err, qt.IsNil)
		got, _, err := codec.Read(&b, 1<<20, time.Now)
		qt.Assert(t, err, qt.IsNil)
		r, ok := got.(codec.Reply)
		qt.Assert(t, ok, qt.IsTrue)
		o, ok := r.Result.Outcome.(call.Unknown)
		qt.Assert(t, ok, qt.IsTrue, qt.Commentf("%d: %#v", status, r.Result.Outcome))
		qt.Assert(t, o.Kind, qt.Equals, errs.AnswerCut)
	}
}

// Guards against memory for a message of which only the length has arrived.
func TestAnnouncedLength(t *testing.T) {
	const limit = 64 << 20
	for _, sent := range []int{0, 1, 64 << 10, 100 << 10} {
		whole := append([]byte{limit >> 24, 0, 0, 0}, make([]byte, sent)...)
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, _, err := codec.Read(bytes.NewReader(whole), limit, time.Now)
		runtime.ReadMemStats(&after)
		qt.Assert(t, err, qt.IsNotNil)
		qt.Assert(t, after.TotalAlloc-before.TotalAlloc < 4<<20, qt.IsTrue, qt.Commentf("%d bytes after %d", after.TotalAlloc-before.TotalAlloc, sent))
	}
	whole := append([]byte{0, 0x20, 0, 0}, make([]byte, 2<<20)...)
	m, n, err := codec.Read(bytes.NewReader(whole), limit, time.Now)
	qt.Assert(t, m, qt.IsNil)
	qt.Assert(t, n, qt.Equals, 4+2<<20)
	qt.Assert(t, err, qt.IsNotNil) // the bytes are no message
}
