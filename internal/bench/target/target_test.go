package target_test

import (
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/bench/deploy"
	"jacinthcross/internal/bench/tally"
	"jacinthcross/internal/bench/target"
)

type testTarget struct {
	task   *target.Task
	counts *tally.Task
	inbox  interface{ TryPut(target.Message) bool }
	url    string
}

func start(c *qt.C, change func(*target.Settings)) testTarget {
	at, err := deploy.FreeAddress()
	c.Assert(err, qt.IsNil)
	s := target.Settings{Name: "t", Address: at, Slots: 1, ServiceTime: target.Fixed{Time: time.Millisecond}, CrashMarker: "crash"}
	change(&s)
	counts, box := tally.New(), target.NewInbox()
	t, err := target.New(s, box, counts)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		t.Stop()
		<-t.Done()
		counts.Stop()
	})
	return testTarget{t, counts, box, "http://" + at.String()}
}

// postResult is the part of a response that the tests check.
type postResult struct {
	status int
	notRun string
}

func post(url, body string) (postResult, error) {
	r, err := http.Post(url+"/x", "text/plain", strings.NewReader(body))
	if err != nil {
		return postResult{}, err
	}
	defer r.Body.Close()
	_, err = io.Copy(io.Discard, r.Body)
	return postResult{r.StatusCode, r.Header.Get("Jacinth-Not-Run")}, err
}

// Guards against an open delay that is not applied, which would hide the cost of new connections.
func TestOpenDelayOnNewConnections(t *testing.T) {
	c := qt.New(t)
	const openDelay = 50 * time.Millisecond
	r := start(c, func(s *target.Settings) { s.OpenDelay = openDelay })
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	for range 2 {
		sent := time.Now()
		response, err := client.Get(r.url + "/x")
		c.Assert(err, qt.IsNil)
		response.Body.Close()
		c.Assert(response.StatusCode, qt.Equals, http.StatusOK)
		d := time.Since(sent)
		c.Assert(d >= openDelay, qt.IsTrue, qt.Commentf("%v", d))
	}
}

// Guards against second runs that are not counted, which would hide a violated at-most-once guarantee.
func TestCountsRunsOfMarkers(t *testing.T) {
	for _, test := range []struct {
		name       string
		bodies     []string
		secondRuns int
	}{
		{"one run each", []string{"a", "b"}, 0},
		{"one marker twice", []string{"a", "b", "a"}, 1},
		{"one marker three times", []string{"a", "a", "a"}, 2},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := start(c, func(*target.Settings) {})
			for _, b := range test.bodies {
				response, err := post(r.url, b)
				c.Assert(err, qt.IsNil)
				c.Assert(response, qt.Equals, postResult{http.StatusOK, ""})
			}
			c.Assert(r.counts.Counts().SecondRuns(), qt.Equals, test.secondRuns)
			c.Assert(r.counts.Counts().Total(), qt.Equals, len(test.bodies))
		})
	}
}

// Guards against a target that runs a call and then sheds it with the header that says that it did not run.
func TestShedCallsDoNotRun(t *testing.T) {
	c := qt.New(t)
	r := start(c, func(*target.Settings) {})
	r.inbox.TryPut(target.Adjust{Slowdown: 1, Draining: true})
	response, err := post(r.url, "a")
	c.Assert(err, qt.IsNil)
	c.Assert(response, qt.Equals, postResult{http.StatusServiceUnavailable, "true"})
	c.Assert(r.counts.Counts().Total(), qt.Equals, 0)
	c.Assert(r.task.State().Shed, qt.Equals, 1)
}

// Checks that a crash closes the connections of all calls in flight and counts as a run of the crashing call.
func TestCrashClosesConnections(t *testing.T) {
	c := qt.New(t)
	r := start(c, func(s *target.Settings) { s.Slots, s.ServiceTime = 2, target.Fixed{Time: time.Minute} })
	failed := make(chan error, 1)
	go func() {
		_, err := post(r.url, "waits")
		failed <- err
	}()
	for r.task.State().InFlight == 0 {
		time.Sleep(time.Millisecond)
	}
	_, err := post(r.url, "crash")
	c.Assert(err, qt.IsNotNil)
	c.Assert(<-failed, qt.IsNotNil)
	c.Assert(r.task.Err(), qt.ErrorIs, target.ErrCrashed)
	c.Assert(r.counts.Counts().Markers, qt.DeepEquals, map[string]int{"waits": 1, "crash": 1})
}

// Guards against running more calls at once than there are slots, which would overstate the capacity of a target.
func TestSlotsBoundCallsInFlight(t *testing.T) {
	c := qt.New(t)
	r := start(c, func(s *target.Settings) { s.Slots, s.ServiceTime = 2, target.Fixed{Time: time.Minute} })
	for range 5 {
		go func() { _, _ = post(r.url, "") }()
	}
	for r.task.State().InFlight+r.task.State().Queued < 5 {
		time.Sleep(time.Millisecond)
	}
	s := r.task.State()
	c.Assert(s.InFlight, qt.Equals, 2)
	c.Assert(s.Queued, qt.Equals, 3)
}

// Guards against service times that depend on more than the seed, which would make runs incomparable.
func TestSampleDependsOnSeedOnly(t *testing.T) {
	for _, test := range []struct {
		name string
		d    target.Distribution
		mean time.Duration
	}{
		{"fixed", target.Fixed{Time: 5 * time.Millisecond}, 5 * time.Millisecond},
		{"exponential", target.Exponential{Mean: 5 * time.Millisecond}, 5 * time.Millisecond},
		// The mean of a log-normal distribution is median * exp(sigma^2 / 2).
		{"log-normal", target.LogNormal{Median: 5 * time.Millisecond, Sigma: 0.5}, 5666 * time.Microsecond},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			a, b := rand.New(rand.NewPCG(1, 1)), rand.New(rand.NewPCG(1, 1))
			const n = 20000
			var sum time.Duration
			for range n {
				v := target.Sample(test.d, a)
				c.Assert(v, qt.Equals, target.Sample(test.d, b))
				sum += v
			}
			ratio := float64(sum/n) / float64(test.mean)
			c.Assert(ratio > 0.95 && ratio < 1.05, qt.IsTrue, qt.Commentf("mean is %v, want %v", sum/n, test.mean))
		})
	}
}
