package local

import (
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/note"
)

// Guards against calls that run without their body or after a refusal, and against slots that are held for a call whose
// body will not arrive, at any end of the wait for it.
func TestPendingBody(t *testing.T) {
	body := strings.Repeat("x", 20_000)
	for _, test := range []struct {
		name string
		end  func(f *fixture, id call.ID)
		want string
		// next is the outcome of a call that comes afterwards.
		next     string
		runs     int64
		deadline time.Duration
	}{
		{"received", func(f *fixture, id call.ID) {
			f.inbox.Put(BodyReceived{ID: id, Body: []byte(body)}, nil)
		}, "Answered 200 \"20000\"", "Answered 200 \"0\"", 2, resultTimeout},
		{"received while the daemon drains", func(f *fixture, id call.ID) {
			f.inbox.Put(Drain{Drained: make(chan struct{})}, nil)
			f.inbox.Put(BodyReceived{ID: id, Body: []byte(body)}, nil)
		}, "Answered 200 \"20000\"", "Refused Draining", 1, resultTimeout},
		{"received after the target was withdrawn", func(f *fixture, id call.ID) {
			f.putRelease(note.Target{})
			f.inbox.Put(BodyReceived{ID: id, Body: []byte(body)}, nil)
		}, "Refused Withdrawn", "Refused Withdrawn", 0, resultTimeout},
		{"received after another process of the target has started", func(f *fixture, id call.ID) {
			f.putRelease(note.Target{Name: "b1", Address: f.address, Slots: 1, StartedAt: time.Now()})
			f.inbox.Put(BodyReceived{ID: id, Body: []byte(body)}, nil)
		}, "Refused Withdrawn", "Answered 200 \"0\"", 1, resultTimeout},
		{"failed", func(f *fixture, id call.ID) { f.inbox.Put(BodyFailed{ID: id}, nil) }, "Refused Busy", "Answered 200 \"0\"", 1, resultTimeout},
		{"cancelled", func(f *fixture, id call.ID) { f.inbox.Put(Cancel{ID: id}, nil) }, "Refused CallerGone", "Answered 200 \"0\"", 1, resultTimeout},
		{"received after it was cancelled", func(f *fixture, id call.ID) {
			f.inbox.Put(Cancel{ID: id}, nil)
			f.inbox.Put(BodyReceived{ID: id, Body: []byte(body)}, nil)
		}, "Refused CallerGone", "Answered 200 \"0\"", 1, resultTimeout},
		{"neither until the deadline", func(*fixture, call.ID) {}, "Refused DeadlineExceeded", "Answered 200 \"0\"", 1, time.Second},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			target := newRawTarget(t, "127.0.0.1:0", func(w net.Conn, _ *http.Request, body []byte) bool {
				size := strconv.Itoa(len(body))
				_, err := fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(size), size)
				return err == nil
			})
			f := startFixture(t, note.Target{Name: "b1", Address: target.address(), Slots: 1}, WithDeclaredSlots(), WithoutInternalKeys())
			requests, reply, id := mail.NewBox[call.ID](1), mail.NewBox[call.Result](1), call.NextID()
			f.inbox.Put(Run{ID: id, Target: "b1", Reply: reply, Pending: &PendingBody{Size: len(body), Requests: requests}, Request: call.Request{
				Method: http.MethodPost, URI: "/", Rank: ident.Urgent, Deadline: time.Now().Add(test.deadline),
			}}, nil)
			select {
			case got := <-requests.C():
				qt.Assert(t, got, qt.Equals, id)
			case <-time.After(resultTimeout):
				t.Fatal("the body was not requested")
			}
			qt.Assert(t, f.load().InFlight, qt.Equals, 1)
			qt.Assert(t, target.runs.Load(), qt.Equals, int64(0))
			test.end(f, id)
			qt.Assert(t, summary(f.wait(reply)), qt.Equals, test.want)
			qt.Assert(t, summary(f.do(call.Request{})), qt.Equals, test.next)
			qt.Assert(t, len(requests.C()), qt.Equals, 0)
			qt.Assert(t, target.runs.Load(), qt.Equals, test.runs)
			qt.Assert(t, f.load().InFlight, qt.Equals, 0)
		})
	}
}
