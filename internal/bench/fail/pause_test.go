package fail_test

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/bench/proc"
	"jacinthcross/internal/bench/stage"
)

// A daemon that dispatches what it read before or during a pause runs calls whose callers have long given up.
// The longest pauses come first, since all cases run at the same time.
func TestPausedDaemonDispatchesNothingPastItsDeadline(t *testing.T) {
	t.Parallel()
	const ownSocket, peerSocket = "summaries-0", "bookings-0"
	for _, test := range []struct {
		length time.Duration
		name   string
		entry  string
	}{
		{time.Minute, "calls that wait at its own socket for callers", ownSocket},
		{time.Minute, "calls that another daemon sent to it", peerSocket},
		{10 * time.Second, "calls that wait at its own socket for callers", ownSocket},
		{10 * time.Second, "calls that another daemon sent to it", peerSocket},
		{time.Second, "calls that wait at its own socket for callers", ownSocket},
		{time.Second, "calls that another daemon sent to it", peerSocket},
		{600 * time.Millisecond, "calls that wait at its own socket for callers", ownSocket},
		{600 * time.Millisecond, "calls that another daemon sent to it", peerSocket},
	} {
		t.Run(fmt.Sprintf("%v %s", test.length, test.name), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			st := start(c, stage.Config{Layout: layout(1), Seed: 1, NoRelays: true})
			paused, entry := memberOf(c, st, "summaries-0"), memberOf(c, st, test.entry)
			before := send(c, entry, "summaries", "", "before", 2*time.Second, 2*time.Second)
			c.Assert(before.outcome, qt.Equals, errs.Answered, qt.Commentf("%+v", before))
			resume := pauseDaemon(c, paused, test.length)
			var calls sync.WaitGroup
			for range 10 {
				calls.Go(func() { send(c, entry, "summaries", "", "expired", 300*time.Millisecond, 500*time.Millisecond) })
			}
			calls.Wait()
			resume(func() { c.Assert(st.Tally.Counts().Markers, qt.DeepEquals, map[string]int{"before": 1}) })
			waitFor(c, "answer after the pause", func() bool {
				return send(c, entry, "summaries", "", "after", 2*time.Second, 2*time.Second).outcome == errs.Answered
			})
			time.Sleep(500 * time.Millisecond)
			markers := st.Tally.Counts().Markers
			c.Assert(markers["after"] > 0, qt.IsTrue)
			c.Assert(markers["expired"], qt.Equals, 0, qt.Commentf("calls ran after their deadline"))
		})
	}
}

// A paused daemon that runs a booking after the resume books twice when its caller sent the booking again
// through another daemon meanwhile.
func TestBookingResentDuringPauseRunsOnce(t *testing.T) {
	t.Parallel()
	const owner, other = "bookings-0", "summaries-0"
	for _, test := range []struct {
		length         time.Duration
		name           string
		paused, resend string
		// during says that the resend is answered while the daemon is paused.
		during bool
	}{
		{10 * time.Second, "the daemon that read the first send is paused", other, owner, true},
		{10 * time.Second, "the owner of the key is paused", owner, other, false},
		{time.Second, "the daemon that read the first send is paused", other, owner, true},
		{time.Second, "the owner of the key is paused", owner, other, false},
	} {
		t.Run(fmt.Sprintf("%v %s", test.length, test.name), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			st := start(c, stage.Config{Layout: layout(1), Seed: 1, NoRelays: true})
			paused, resend := memberOf(c, st, test.paused), memberOf(c, st, test.resend)
			key := newKey(c, paused)
			resume := pauseDaemon(c, paused, test.length)
			const patience = 30 * time.Second
			var first, second reply
			var calls sync.WaitGroup
			calls.Go(func() { first = send(c, paused, "bookings", key, "booking", patience, patience) })
			resent := make(chan struct{})
			calls.Go(func() {
				defer close(resent)
				second = send(c, resend, "bookings", key, "booking", patience, patience)
			})
			if test.during {
				<-resent
				c.Assert(second.outcome, qt.Equals, errs.Answered, qt.Commentf("%+v", second))
			}
			resume(func() {})
			calls.Wait()
			waitFor(c, "answer to another booking", func() bool {
				r := send(c, paused, "bookings", newKey(c, paused), "after", 2*time.Second, 2*time.Second)
				return r.outcome == errs.Answered
			})
			runs := st.Tally.Counts().Markers["booking"]
			c.Logf("runs %d, first send %+v, second %+v", runs, first, second)
			c.Assert(runs <= 1, qt.IsTrue, qt.Commentf("%d runs", runs))
			for _, r := range []reply{first, second} {
				switch r.outcome {
				case errs.Answered:
					c.Assert(runs, qt.Equals, 1, qt.Commentf("%+v", r))
				case errs.NotRun:
					c.Assert(runs, qt.Equals, 0, qt.Commentf("%+v", r))
				}
			}
		})
	}
}

// pauseDaemon stops the process of a daemon. The function that it returns waits until the pause has
// its length, calls check, and lets the process run again.
func pauseDaemon(c *qt.C, m *stage.Member, length time.Duration) (resume func(check func())) {
	m.Daemon.TryPut(proc.Pause{})
	waitFor(c, "pause", func() bool { return state(c, m) == "T" })
	end := time.Now().Add(length)
	return func(check func()) {
		time.Sleep(time.Until(end))
		check()
		m.Daemon.TryPut(proc.Continue{})
	}
}

// state returns the state of a daemon process as in /proc/PID/stat; T is stopped.
func state(c *qt.C, m *stage.Member) string {
	pid, ok := m.PID()
	c.Assert(ok, qt.IsTrue)
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	c.Assert(err, qt.IsNil)
	return strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))[0]
}
