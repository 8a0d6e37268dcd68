package local

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/wire/header"
)

// coldTargetAddress is an address from which no connections are opened. They could take the port of a target that is to
// start again.
const coldTargetAddress = "127.0.0.77:0"

// A coldTarget is a target that tells in its health responses for how many milliseconds it stays cold.
type coldTarget struct {
	*rawTarget
	untilWarm, healthChecks atomic.Int64
}

func newColdTarget(t *testing.T, at string, untilWarm int64) *coldTarget {
	c := &coldTarget{}
	c.untilWarm.Store(untilWarm)
	c.rawTarget = newRawTarget(t, at, func(w net.Conn, r *http.Request, body []byte) bool {
		if r.URL.Path == "/health" {
			c.healthChecks.Add(1)
			_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nTest-Cold: %d\r\n\r\n", c.untilWarm.Load())
			return true
		}
		return answerOK(w, r, body)
	})
	return c
}

// coldRelease returns a release of a service whose cold targets tolerate the given rate.
func coldRelease(target note.Target, rate float64) *note.Release {
	target.VM, target.Service, target.HealthPath, target.Slots = "vm1", "bookings", "/health", 100
	r := note.NewRelease()
	r.Services["bookings"] = note.Service{Name: "bookings", ColdRate: rate, ColdStart: time.Minute}
	r.Targets[target.Name] = target
	return r
}

func startColdFixture(t *testing.T, target note.Target, rate float64) *fixture {
	d := *header.DefaultDialect()
	d.UntilWarm = "Test-Cold"
	f := &fixture{t: t, inbox: mail.NewBox[Message](256), target: target.Name}
	task, err := New("vm1", f.inbox, WithDialect(&d), WithoutInternalKeys())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { task.Stop() })
	f.inbox.Put(ReleaseChanged{Release: coldRelease(target, rate)}, nil)
	return f
}

// awaitRoom waits until the target has room for a call.
func (f *fixture) awaitRoom() {
	f.t.Helper()
	f.waitUntil("the target has room", func() bool { return summary(f.do(call.Request{})) == `Answered 200 ""` })
}

// burst sends n calls at once that may wait for the whole window, and returns how many were answered and how many were refused
// because the target is cold. The first Retry-After of those is returned, too.
func (f *fixture) burst(n int) (answered, cold int, retryAfter time.Duration) {
	f.t.Helper()
	var replies []*mail.Box[call.Result]
	for range n {
		reply, _ := f.send(call.Request{HoldUntil: time.Now().Add(1200 * time.Millisecond), SoftDeadline: time.Now().Add(time.Minute)})
		replies = append(replies, reply)
	}
	for _, reply := range replies {
		switch o := f.wait(reply).(type) {
		case call.Answered:
			answered++
		case call.Refused:
			qt.Check(f.t, o.Kind, qt.Equals, errs.TargetCold)
			cold++
			retryAfter = o.RetryAfter
		case call.Unknown:
			f.t.Error(o)
		}
	}
	return answered, cold, retryAfter
}

// Guards against sending more to a cold target than it tolerates, whatever makes it cold, and against limiting a target
// that is warm or whose service has no limit.
func TestColdTarget(t *testing.T) {
	const rate, calls = 8, 40
	for _, test := range []struct {
		name      string
		rate      float64
		untilWarm int64
		// prepare runs before the calls are sent.
		prepare func(f *fixture, target *coldTarget)
		limited bool
	}{
		{"warm", rate, 0, func(*fixture, *coldTarget) {}, false},
		{"cold", rate, 60_000, func(f *fixture, _ *coldTarget) { f.awaitRoom() }, true},
		{"cold, without a limit", 0, 60_000, func(*fixture, *coldTarget) {}, false},
		{"cold again", rate, 0, func(f *fixture, target *coldTarget) {
			f.do(call.Request{})
			target.untilWarm.Store(60_000)
			time.Sleep(1100 * time.Millisecond)
			f.do(call.Request{})
			f.waitUntil("it is known to be cold", func() bool { return f.load().UntilWarm > 0 })
		}, true},
		{"crashed and back", rate, 0, func(f *fixture, target *coldTarget) {
			f.do(call.Request{})
			target.crash()
			f.waitUntil("it is down", func() bool { f.do(call.Request{}); return f.load().Down })
			newColdTarget(f.t, target.address().String(), 60_000)
			f.waitUntil("it is up", func() bool { return !f.load().Down })
			f.awaitRoom() // the calls before the crash count as well
		}, true},
		{"another process by its entry", rate, 0, func(f *fixture, target *coldTarget) {
			f.do(call.Request{})
			target.untilWarm.Store(60_000)
			f.target = "b2"
			f.inbox.Put(ReleaseChanged{Release: coldRelease(note.Target{Name: "b2", Address: target.address(), StartedAt: time.Now()}, rate)}, nil)
		}, true},
		{"cold by its entry, health response without a valid time", rate, 0, func(f *fixture, target *coldTarget) {
			f.do(call.Request{})
			target.untilWarm.Store(-1)
			f.inbox.Put(ReleaseChanged{Release: coldRelease(note.Target{Name: "b1", Address: target.address(), WarmAt: time.Now().Add(time.Minute)}, rate)}, nil)
		}, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			target := newColdTarget(t, coldTargetAddress, test.untilWarm)
			f := startColdFixture(t, note.Target{Name: "b1", Address: target.address()}, test.rate)
			test.prepare(f, target)
			started := time.Now()
			answered, cold, retryAfter := f.burst(calls)
			if !test.limited {
				qt.Assert(t, answered, qt.Equals, calls)
				qt.Assert(t, f.load().UntilWarm, qt.Equals, time.Duration(0))
				return
			}
			qt.Assert(t, f.load().UntilWarm > 0, qt.IsTrue)
			qt.Assert(t, answered > 0 && cold > 0, qt.IsTrue, qt.Commentf("%d answered, %d refused", answered, cold))
			qt.Assert(t, float64(answered) <= rate*(1+time.Since(started).Seconds()), qt.IsTrue, qt.Commentf("%d answered", answered))
			qt.Assert(t, retryAfter > 0 && retryAfter <= 3*time.Second, qt.IsTrue, qt.Commentf("%s", retryAfter))
		})
	}
}

// Guards against calls to a target of which a daemon that has just started knows nothing, and against refusing them once
// the target has told that it is warm.
func TestColdUntilHealthIsKnown(t *testing.T) {
	for _, test := range []struct {
		name string
		// response is that of the health path, which is cut off if it is empty.
		response string
		warm     bool
	}{
		{"health path responds", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", true},
		{"health path responds that the target is warm", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nTest-Cold: 0\r\n\r\n", true},
		{"health path responds with an error", "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n", false},
		{"health path does not respond", "", false},
	} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			var calls atomic.Int64
			target := newRawTarget(t, coldTargetAddress, func(w net.Conn, r *http.Request, body []byte) bool {
				if r.URL.Path == "/health" {
					<-release
					_, _ = fmt.Fprint(w, test.response)
					return test.response != ""
				}
				calls.Add(1)
				return answerOK(w, r, body)
			})
			f := startColdFixture(t, note.Target{Name: "b1", Address: target.address()}, 8)
			reply, _ := f.send(call.Request{HoldUntil: time.Now()})
			f.load()
			qt.Assert(t, calls.Load(), qt.Equals, int64(0))
			close(release)
			if test.warm {
				f.waitUntil("a call is answered", func() bool { return summary(f.do(call.Request{})) == `Answered 200 ""` })
				return
			}
			qt.Assert(t, summary(f.wait(reply)), qt.Equals, "Refused TargetCold")
		})
	}
}

// Guards against missing the start of a target that gets no calls, and against holding back calls until the window of a
// target is known that started after its daemon.
func TestColdTargetStartsAfterItsDaemon(t *testing.T) {
	t.Parallel()
	target := newColdTarget(t, coldTargetAddress, 0)
	target.crash()
	f := startColdFixture(t, note.Target{Name: "b1", Address: target.address()}, 8)
	f.waitUntil("it is down", func() bool { return f.load().Down })
	newColdTarget(t, target.address().String(), 60_000)
	f.waitUntil("it is up", func() bool { return !f.load().Down })
	qt.Assert(t, f.load().UntilWarm > 0, qt.IsTrue)
	qt.Assert(t, summary(f.do(call.Request{})), qt.Equals, `Answered 200 ""`)
}

// Guards against health checks with each call, against none while calls flow, and against any if cold targets have no
// limit.
func TestChecksOfColdTargets(t *testing.T) {
	for _, test := range []struct {
		name        string
		rate        float64
		least, most int64
	}{{"limit", 8, 2, 5}, {"no limit", 0, 0, 1}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			target := newColdTarget(t, coldTargetAddress, 0)
			f := startColdFixture(t, note.Target{Name: "b1", Address: target.address()}, test.rate)
			for end := time.Now().Add(2500 * time.Millisecond); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
				f.do(call.Request{})
			}
			n := target.healthChecks.Load()
			qt.Assert(t, n >= test.least && n <= test.most, qt.IsTrue, qt.Commentf("%d health checks", n))
		})
	}
}

// Guards against blaming requests for crashes that their rate has caused, and against excusing those that it has not.
func TestCrashOfColdTarget(t *testing.T) {
	for _, test := range []struct {
		name string
		// before is the number of calls in the second before the target becomes cold.
		before int
		want   string
	}{{"above its rate", 30, `Answered 200 ""`}, {"below its rate", 0, "Refused Quarantined"}} {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			var untilWarm atomic.Int64
			var slow atomic.Bool
			slow.Store(true)
			started := make(chan struct{}, 1)
			serve := func(w net.Conn, r *http.Request, body []byte) bool {
				switch {
				case r.URL.Path == "/health":
					_, _ = fmt.Fprintf(w, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nTest-Cold: %d\r\n\r\n", untilWarm.Load())
				case r.URL.Path == "/crash" && slow.Load():
					started <- struct{}{}
					time.Sleep(resultTimeout)
					return false
				default:
					return answerOK(w, r, body)
				}
				return true
			}
			target := newRawTarget(t, coldTargetAddress, serve)
			f := startColdFixture(t, note.Target{Name: "b1", Address: target.address()}, 8)
			for crashes := 0; crashes < 3; crashes++ {
				untilWarm.Store(0)
				f.waitUntil("the target is warm", func() bool {
					return summary(f.do(call.Request{})) == `Answered 200 ""` && f.load().UntilWarm == 0
				})
				crashing, _ := f.send(call.Request{URI: "/crash"})
				select {
				case <-started:
				case r := <-crashing.C():
					qt.Assert(t, summary(r.Outcome), qt.Equals, test.want)
					qt.Assert(t, crashes, qt.Equals, 2)
					return
				}
				for range test.before {
					f.send(call.Request{URI: "/sound"})
				}
				f.inbox.Put(measurement{target.address(), loadMissing{coldTime{untilWarm: time.Minute, known: true}}, time.Now()}, nil)
				f.waitUntil("the target is cold", func() bool { return f.load().UntilWarm > 0 })
				if test.before == 0 {
					time.Sleep(1100 * time.Millisecond) // crashes within half a second count as one
				}
				target.crash()
				qt.Assert(t, summary(f.wait(crashing)), qt.Equals, "Unknown TargetFailed")
				f.waitUntil("the target is down", func() bool { f.do(call.Request{}); return f.load().Down })
				target = newRawTarget(t, target.address().String(), serve)
				f.waitUntil("the target is up", func() bool { return !f.load().Down })
			}
			slow.Store(false)
			f.waitUntil("the target is warm", func() bool { f.do(call.Request{}); return f.load().UntilWarm == 0 })
			qt.Assert(t, summary(f.do(call.Request{URI: "/crash"})), qt.Equals, test.want)
		})
	}
}
