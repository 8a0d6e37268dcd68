package faults_test

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/bench/deploy"
	"jacinthcross/internal/bench/proc"
)

// Guards against a daemon that, after its process was paused, dispatches calls that it received before or during the
// pause and whose deadline has passed. The longest pauses come first because all cases run in parallel.
func TestPausedDaemonDispatchesNoExpiredCall(t *testing.T) {
	t.Parallel()
	const pausedTarget, otherTarget = "summaries-0", "bookings-0"
	for _, test := range []struct {
		length   time.Duration
		name     string
		receiver string
	}{
		{time.Minute, "calls that wait at its own socket for callers", pausedTarget},
		{time.Minute, "calls that another daemon sent to it", otherTarget},
		{10 * time.Second, "calls that wait at its own socket for callers", pausedTarget},
		{10 * time.Second, "calls that another daemon sent to it", otherTarget},
		{time.Second, "calls that wait at its own socket for callers", pausedTarget},
		{time.Second, "calls that another daemon sent to it", otherTarget},
		{600 * time.Millisecond, "calls that wait at its own socket for callers", pausedTarget},
		{600 * time.Millisecond, "calls that another daemon sent to it", otherTarget},
	} {
		t.Run(fmt.Sprintf("%v %s", test.length, test.name), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			cluster := startDeployment(c, deploy.Config{Layout: testLayout(1), Seed: 1, NoProxies: true})
			paused, receiver := memberOf(c, cluster, "summaries-0"), memberOf(c, cluster, test.receiver)
			before := sendCall(c, receiver, "summaries", "", "before", 2*time.Second, 2*time.Second)
			c.Assert(before.outcome, qt.Equals, errs.Answered, qt.Commentf("%+v", before))
			resume := pauseDaemon(c, paused, test.length)
			var calls sync.WaitGroup
			for range 10 {
				calls.Go(func() { sendCall(c, receiver, "summaries", "", "expired", 300*time.Millisecond, 500*time.Millisecond) })
			}
			calls.Wait()
			resume(func() { c.Assert(cluster.Tally.Counts().Markers, qt.DeepEquals, map[string]int{"before": 1}) })
			waitFor(c, "an answer after the pause", func() bool {
				return sendCall(c, receiver, "summaries", "", "after", 2*time.Second, 2*time.Second).outcome == errs.Answered
			})
			time.Sleep(500 * time.Millisecond)
			markers := cluster.Tally.Counts().Markers
			c.Assert(markers["after"] > 0, qt.IsTrue)
			c.Assert(markers["expired"], qt.Equals, 0, qt.Commentf("calls ran after their deadline"))
		})
	}
}

// Guards against a paused daemon that runs a booking after it is resumed although the caller has meanwhile resent the
// booking through another daemon, which books twice.
func TestBookingResentDuringPauseRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	const owner, other = "bookings-0", "summaries-0"
	for _, test := range []struct {
		length           time.Duration
		name             string
		paused, resentTo string
		// answeredWhilePaused is true if the resend is answered while the daemon is paused.
		answeredWhilePaused bool
	}{
		{10 * time.Second, "the daemon that read the first send is paused", other, owner, true},
		{10 * time.Second, "the owner of the key is paused", owner, other, false},
		{time.Second, "the daemon that read the first send is paused", other, owner, true},
		{time.Second, "the owner of the key is paused", owner, other, false},
	} {
		t.Run(fmt.Sprintf("%v %s", test.length, test.name), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			cluster := startDeployment(c, deploy.Config{Layout: testLayout(1), Seed: 1, NoProxies: true})
			paused, resentTo := memberOf(c, cluster, test.paused), memberOf(c, cluster, test.resentTo)
			key := newKey(c, paused)
			resume := pauseDaemon(c, paused, test.length)
			const timeout = 30 * time.Second
			var first, second reply
			var calls sync.WaitGroup
			calls.Go(func() { first = sendCall(c, paused, "bookings", key, "booking", timeout, timeout) })
			resent := make(chan struct{})
			calls.Go(func() {
				defer close(resent)
				second = sendCall(c, resentTo, "bookings", key, "booking", timeout, timeout)
			})
			if test.answeredWhilePaused {
				<-resent
				c.Assert(second.outcome, qt.Equals, errs.Answered, qt.Commentf("%+v", second))
			}
			resume(func() {})
			calls.Wait()
			waitFor(c, "an answer to another booking", func() bool {
				r := sendCall(c, paused, "bookings", newKey(c, paused), "after", 2*time.Second, 2*time.Second)
				return r.outcome == errs.Answered
			})
			runs := cluster.Tally.Counts().Markers["booking"]
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

// pauseDaemon pauses the process of a daemon. The returned function waits until the pause has lasted for duration,
// calls check and resumes the process.
func pauseDaemon(c *qt.C, m *deploy.Member, duration time.Duration) (resume func(check func())) {
	m.DaemonInbox.TryPut(proc.Pause{})
	waitFor(c, "the pause", func() bool { return processState(c, m) == "T" })
	resumeAt := time.Now().Add(duration)
	return func(check func()) {
		time.Sleep(time.Until(resumeAt))
		check()
		m.DaemonInbox.TryPut(proc.Continue{})
	}
}

// processState returns the state of a daemon process as given in /proc/PID/stat, where T means stopped.
func processState(c *qt.C, m *deploy.Member) string {
	pid, ok := m.PID()
	c.Assert(ok, qt.IsTrue)
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	c.Assert(err, qt.IsNil)
	return strings.Fields(string(text[strings.LastIndexByte(string(text), ')')+1:]))[0]
}
