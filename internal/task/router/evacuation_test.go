package router

import (
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/policy/route"
	"jacinthcross/internal/task/link"
)

// splitRelease returns a release with four targets, the even ones in the data centre "dc" and the odd ones in "far".
func splitRelease(evacuated ...ident.DataCentre) *note.Release {
	r := testRelease(4)
	for _, name := range []ident.Target{"t1", "t3"} {
		target := r.Targets[name]
		target.DataCentre = "far"
		r.Targets[name] = target
	}
	for _, name := range evacuated {
		r.Evacuated[name] = true
	}
	return r
}

// Guards against calls that are sent to an evacuated data centre, first attempts and later ones, and against calls that
// wait although their service has no target left.
func TestEvacuatedTargetsGetNoCalls(t *testing.T) {
	for _, test := range []struct {
		name string
		// atStart and later are the evacuated data centres when the call arrives and after its first attempt.
		atStart, later []ident.DataCentre
		// results are the outcomes of the attempts before the last one.
		results []call.Outcome
		// want is the data centre of the last attempt, or empty if the call is refused.
		want ident.DataCentre
		kind errs.Kind
	}{
		{"own data centre", []ident.DataCentre{"dc"}, nil, nil, "far", ""},
		{"another data centre", []ident.DataCentre{"far"}, nil, nil, "dc", ""},
		{"an unknown data centre", []ident.DataCentre{"elsewhere", "far"}, nil, nil, "dc", ""},
		{"all", []ident.DataCentre{"dc", "far"}, nil, nil, "", errs.DataCentreEvacuated},
		{"redirected", []ident.DataCentre{"far"}, []ident.DataCentre{"dc"}, []call.Outcome{call.Refused{Kind: errs.Overloaded}}, "far", ""},
		{"retried later", []ident.DataCentre{"far"}, []ident.DataCentre{"dc"}, []call.Outcome{call.Unknown{Kind: errs.TargetFailed}}, "far", ""},
		{"retried, no target left", []ident.DataCentre{"far"}, []ident.DataCentre{"far", "dc"}, []call.Outcome{call.Unknown{Kind: errs.TargetFailed}}, "", ""},
		{"refused by a daemon that knows of it before", []ident.DataCentre{"far"}, nil, []call.Outcome{call.Refused{Kind: errs.DataCentreEvacuated}}, "far", ""},
		{
			"refused so while it queues",
			[]ident.DataCentre{"far"},
			nil,
			[]call.Outcome{call.Refused{Kind: errs.Overloaded}, call.Refused{Kind: errs.Overloaded}, call.Refused{Kind: errs.DataCentreEvacuated}},
			"far", "",
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := newHarness(4, WithoutInternalKeys(), WithProfile(route.ProfileNear))
			h.receive(ReleaseChanged{splitRelease(test.atStart...)})
			_, reply := h.submit(http.MethodGet, "", "")
			for i, o := range test.results {
				send := h.nextSent().(link.Send)
				if i == len(test.results)-1 {
					h.receive(ReleaseChanged{splitRelease(test.later...)})
				}
				h.result(send, o, true)
			}
			h.clock.now = h.clock.now.Add(time.Second)
			for _, w := range h.timers.PopDue(h.clock.now) {
				h.handleTimer(w)
			}
			send, sent := h.nextSent().(link.Send)
			if test.want == "" {
				qt.Assert(t, sent, qt.IsFalse)
				refused, ok := takeOutcome(reply).(call.Refused)
				qt.Assert(t, ok || test.kind == "", qt.IsTrue)
				qt.Assert(t, refused.Kind, qt.Equals, test.kind)
				return
			}
			qt.Assert(t, sent, qt.IsTrue)
			qt.Assert(t, h.release.Targets[send.Target].DataCentre, qt.Equals, test.want)
		})
	}
}

// Guards against a daemon that does not learn of the end of an evacuation from the daemons in that data centre, whose targets
// send it no responses.
func TestTargetReportNamesNewerRelease(t *testing.T) {
	for _, test := range []struct {
		name   string
		target ident.Target
		serial ident.Serial
		want   int
	}{
		{"newer", "t1", 8, 1},
		{"the same", "t1", 7, 0},
		{"older", "t1", 6, 0},
		{"of an unknown target", "t9", 8, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			var asked []netip.AddrPort
			h := newHarness(4, WithNewerReleaseFunc(func(_ ident.Head, peer netip.AddrPort) { asked = append(asked, peer) }))
			r := splitRelease("far")
			r.Head.Serial = 7
			h.receive(ReleaseChanged{r})
			h.receive(TargetReported{Target: test.target, Load: call.Load{Head: ident.Head{Serial: test.serial}}})
			qt.Assert(t, asked, qt.HasLen, test.want)
		})
	}
}

// Guards against a call that is sent to an evacuated data centre because it waited for the load of its target.
func TestEvacuationDuringLoadRequest(t *testing.T) {
	h := newHarness(4)
	h.receive(ReleaseChanged{splitRelease("far")})
	_, reply := h.submit(http.MethodPost, "", "")
	requested := h.nextSent().(link.Exchange)
	h.receive(ReleaseChanged{splitRelease("dc")})
	for _, name := range []ident.Target{"t0", "t2"} {
		h.receive(loadReport{name, call.Load{Incarnation: testIncarnation}})
	}
	next, ok := h.nextSent().(link.Exchange)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, next.Message, qt.Not(qt.DeepEquals), requested.Message)
	h.receive(ReleaseChanged{splitRelease("dc", "far")})
	for _, name := range []ident.Target{"t1", "t3"} {
		h.receive(loadReport{name, call.Load{Incarnation: testIncarnation}})
	}
	refused, ok := takeOutcome(reply).(call.Refused)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, refused.Kind, qt.Equals, errs.DataCentreEvacuated)
}
