package local

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
)

// putEvacuation sends a release with a target in the data centre d, and the given evacuated data centres.
func (f *fixture) putEvacuation(target note.Target, evacuated ...ident.DataCentre) {
	r := note.NewRelease()
	r.Version = 1
	target.VM, target.Service, target.DataCentre, target.Slots = "vm1", "bookings", "d", 1
	r.Targets[target.Name] = target
	for _, name := range evacuated {
		r.Evacuated[name] = true
	}
	f.inbox.Put(ReleaseChanged{Release: r}, nil)
}

// Guards against calls that start in an evacuated data centre, new or queued ones, against running calls that are cut off
// by the evacuation, against a target that gets no calls after the restore, and against peers that do not learn of either
// because the target sends them no responses.
func TestEvacuation(t *testing.T) {
	for _, test := range []struct {
		name      string
		evacuated []ident.DataCentre
		want      string // the outcome of queued and new calls
		reports   int
	}{
		{"one of two", []ident.DataCentre{"e", "d"}, "Refused DataCentreEvacuated", 2},
		{"another data centre", []ident.DataCentre{"e"}, `Answered 200 ""`, 0},
	} {
		t.Run(test.name, func(t *testing.T) {
			release := make(chan struct{})
			target := newRawTarget(t, "127.0.0.1:0", func(w net.Conn, r *http.Request, body []byte) bool {
				<-release
				return answerOK(w, r, body)
			})
			beside := note.Target{Name: "b1", Address: target.address()}
			reports := make(chan call.Load, 8)
			f := startFixture(t, note.Target{Name: "b1", Address: target.address(), Slots: 1}, WithTargetReportFunc(func(_ ident.Target, l call.Load) { reports <- l }))
			f.putEvacuation(beside)
			request := call.Request{Deadline: time.Now().Add(time.Hour)}
			running, _ := f.send(request)
			f.waitUntil("the call runs", func() bool { return target.runs.Load() == 1 })
			queued, _ := f.send(request)
			f.putEvacuation(beside, test.evacuated...)
			added, _ := f.send(request)
			f.load()
			close(release)
			qt.Assert(t, summary(f.wait(running)), qt.Equals, `Answered 200 ""`)
			qt.Assert(t, summary(f.wait(queued)), qt.Equals, test.want)
			qt.Assert(t, summary(f.wait(added)), qt.Equals, test.want)
			f.putEvacuation(beside)
			qt.Assert(t, summary(f.do(request)), qt.Equals, `Answered 200 ""`)
			qt.Assert(t, reports, qt.HasLen, test.reports)
		})
	}
}

// Guards against calls that start in an evacuated data centre because the daemon was frozen when the key was written and
// starts them before it has learnt of the evacuation.
func TestNoCallStartsOnAnOldRelease(t *testing.T) {
	for _, test := range []struct {
		name  string
		pause time.Duration
		then  func(f *fixture, c *offsetClock)
		want  string
	}{
		{"short pause", time.Second, func(*fixture, *offsetClock) {}, `Answered 200 ""`},
		{"long pause", 5 * time.Second, func(*fixture, *offsetClock) {}, "Refused Busy"},
		{"long pause, confirmed", 5 * time.Second, func(f *fixture, _ *offsetClock) { f.inbox.Put(ReleaseConfirmed{}, nil) }, `Answered 200 ""`},
		{"long pause, never confirmed", 5 * time.Second, func(_ *fixture, c *offsetClock) { c.offset.Add(int64(maxConfirmWait)) }, `Answered 200 ""`},
	} {
		t.Run(test.name, func(t *testing.T) {
			target := newRawTarget(t, "127.0.0.1:0", answerOK)
			c := &offsetClock{}
			f := startFixture(t, note.Target{Name: "b1", Address: target.address()}, WithClock(c))
			f.putEvacuation(note.Target{Name: "b1", Address: target.address()})
			f.load()
			c.offset.Store(int64(test.pause))
			f.load()
			test.then(f, c)
			qt.Assert(t, summary(f.do(call.Request{Deadline: time.Now().Add(time.Hour)})), qt.Equals, test.want)
		})
	}
}
