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
	dc, far, both := []ident.DataCentre{"dc"}, []ident.DataCentre{"far"}, []ident.DataCentre{"dc", "far"}
	full, evacuated, failed := call.Refused{Kind: errs.Overloaded}, call.Refused{Kind: errs.DataCentreEvacuated}, call.Unknown{Kind: errs.TargetFailed}
	for _, test := range []struct {
		name string
		// atStart and later are the evacuated data centres when the call arrives and before the outcome of its last attempt.
		atStart, later []ident.DataCentre
		// results are the outcomes of the attempts before the last one.
		results []call.Outcome
		// want is the data centre of the last attempt, or empty if the call ends without a further one, refused with kind.
		want ident.DataCentre
		kind errs.Kind
	}{
		{"own data centre", dc, nil, nil, "far", ""},
		{"another data centre", far, nil, nil, "dc", ""},
		{"an unknown data centre", []ident.DataCentre{"elsewhere", "far"}, nil, nil, "dc", ""},
		{"all", both, nil, nil, "", errs.DataCentreEvacuated},
		{"redirected", far, dc, []call.Outcome{full}, "far", ""},
		{"retried later", far, dc, []call.Outcome{failed}, "far", ""},
		{"retried, no target left", far, both, []call.Outcome{failed}, "", ""},
		{"refused by a daemon that knows of it before", far, nil, []call.Outcome{evacuated}, "far", ""},
		{"refused so while it queues", far, nil, []call.Outcome{full, full, evacuated}, "far", ""},
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
	var asked []netip.AddrPort
	h := newHarness(4, WithNewerReleaseFunc(func(_ ident.Head, peer netip.AddrPort) { asked = append(asked, peer) }))
	h.release.Head.Serial = 7
	for _, serial := range []ident.Serial{6, 7, 8} {
		h.receive(TargetReported{Target: "t1", Load: call.Load{Head: ident.Head{Serial: serial}}})
		h.receive(TargetReported{Target: "unknown", Load: call.Load{Head: ident.Head{Serial: serial}}})
	}
	qt.Assert(t, asked, qt.HasLen, 1)
	qt.Assert(t, asked[0], qt.Equals, h.release.Targets["t1"].Daemon)
}

// Guards against a call that is sent to an evacuated data centre because it waited for the load of its target.
func TestEvacuationDuringLoadRequest(t *testing.T) {
	h := newHarness(4)
	reported := func(names ...ident.Target) {
		for _, name := range names {
			h.receive(loadReport{name, call.Load{Incarnation: testIncarnation}})
		}
	}
	h.receive(ReleaseChanged{splitRelease("far")})
	_, reply := h.submit(http.MethodPost, "", "")
	h.nextSent()
	h.receive(ReleaseChanged{splitRelease("dc")})
	reported("t0", "t2")
	_, isSend := h.nextSent().(link.Send)
	qt.Assert(t, isSend, qt.IsFalse)
	h.receive(ReleaseChanged{splitRelease("dc", "far")})
	reported("t1", "t3")
	refused, ok := takeOutcome(reply).(call.Refused)
	qt.Assert(t, ok, qt.IsTrue)
	qt.Assert(t, refused.Kind, qt.Equals, errs.DataCentreEvacuated)
}
