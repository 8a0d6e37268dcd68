// Package faults_test checks the guarantees of the system while its processes fail.
package faults_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/bench/cfgsvc"
	"jacinthcross/internal/bench/deploy"
	"jacinthcross/internal/bench/load"
	"jacinthcross/internal/bench/proc"
	"jacinthcross/internal/bench/setup"
	"jacinthcross/internal/bench/tally"
	"jacinthcross/internal/bench/target"
	"jacinthcross/internal/wire/header"
)

// buildPrograms builds the daemon and jcbench once for all tests. TestMain removes their directory.
var buildPrograms = sync.OnceValues(func() (string, error) {
	for _, p := range []struct{ name, path string }{{"jacinthcross", "jacinthcross"}, {"jcbench", "jacinthcross/cmd/jcbench"}} {
		out, err := exec.Command("go", "build", "-o", filepath.Join(programDir, p.name), p.path).CombinedOutput()
		if err != nil {
			return "", fmt.Errorf("build %s: %w: %s", p.name, err, out)
		}
	}
	return programDir, nil
})

var programDir string

func TestMain(m *testing.M) {
	var err error
	if programDir, err = os.MkdirTemp("", "jcbench-faults"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
	code := m.Run()
	os.RemoveAll(programDir)
	os.Exit(code)
}

func startDeployment(c *qt.C, s deploy.Config) *deploy.Cluster {
	if testing.Short() {
		c.Skip("starts processes")
	}
	dir, err := buildPrograms()
	c.Assert(err, qt.IsNil)
	s.Daemons = deploy.DaemonProcesses{Path: filepath.Join(dir, "jacinthcross")}
	cluster, err := deploy.Start(s)
	c.Assert(err, qt.IsNil)
	c.Cleanup(cluster.Close)
	return cluster
}

// testLayout returns a layout with two services, bookings and summaries, with the same number of targets.
func testLayout(targets int) setup.Layout {
	l := setup.Perizia()
	l.OneWay = time.Millisecond
	l.Services = l.Services[:2]
	for i := range l.Services {
		l.Services[i].Targets, l.Services[i].Median = targets, 5*time.Millisecond
	}
	return l
}

type reply struct {
	status  int
	outcome errs.Outcome
	kind    errs.Kind
	body    string
}

// sendCall sends a call through a daemon. The reply is empty if there is no response within the timeout.
func sendCall(c *qt.C, m *deploy.Member, service, key, body string, deadline, timeout time.Duration) reply {
	method := http.MethodGet
	if key != "" {
		method = http.MethodPost
	}
	r, err := http.NewRequest(method, "http://"+m.Settings.Callers.String()+"/x", strings.NewReader(body))
	c.Assert(err, qt.IsNil)
	r.Header.Set(header.Service, service)
	r.Header.Set(header.Deadline, fmt.Sprint(deadline.Milliseconds()))
	if key != "" {
		r.Header.Set(header.Key, key)
	}
	response, err := (&http.Client{Timeout: timeout, Transport: &http.Transport{DisableKeepAlives: true}}).Do(r)
	if err != nil {
		return reply{}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return reply{}
	}
	return reply{
		response.StatusCode, errs.Outcome(response.Header.Get(header.Outcome)),
		errs.Kind(response.Header.Get(header.Error)), string(text),
	}
}

// newKey returns a new idempotency key for a booking.
func newKey(c *qt.C, m *deploy.Member) string {
	r, err := http.Get("http://" + m.Settings.Callers.String() + header.KeyPath + "?service=bookings")
	c.Assert(err, qt.IsNil)
	defer r.Body.Close()
	text, err := io.ReadAll(r.Body)
	c.Assert(err, qt.IsNil)
	c.Assert(r.StatusCode, qt.Equals, http.StatusOK, qt.Commentf("%s", text))
	return string(text)
}

func memberOf(c *qt.C, cluster *deploy.Cluster, name string) *deploy.Member {
	m, ok := cluster.MemberByTarget(name)
	c.Assert(ok, qt.IsTrue)
	return m
}

// waitFor waits until a condition holds. The timeout only ends a test that fails anyway.
func waitFor(c *qt.C, what string, condition func() bool) {
	deadline := time.Now().Add(15 * time.Second)
	for !condition() {
		c.Assert(time.Now().Before(deadline), qt.IsTrue, qt.Commentf("timed out waiting for %s", what))
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a booking that runs a second time when it is resent after its target crashed during the first run.
func TestCrashedTargetLeavesBookingUnknown(t *testing.T) {
	c := qt.New(t)
	cluster := startDeployment(c, deploy.Config{Layout: testLayout(1), Seed: 1, NoProxies: true, NoTargets: true})
	m, other := memberOf(c, cluster, "bookings-0"), memberOf(c, cluster, "summaries-0")
	first := startTarget(c, m)
	const marker = deploy.CrashMarker + " booking 1"
	key := newKey(c, other)
	r := sendCall(c, m, "bookings", key, marker, 5*time.Second, 5*time.Second)
	c.Assert(r.outcome, qt.Equals, errs.Unknown, qt.Commentf("%+v", r))
	<-first.Done()
	c.Assert(first.Err(), qt.ErrorIs, proc.ErrExited)
	startTarget(c, m)
	for _, receiver := range []*deploy.Member{m, other} {
		r = sendCall(c, receiver, "bookings", key, marker, 5*time.Second, 5*time.Second)
		c.Assert(r.outcome, qt.Equals, errs.Unknown, qt.Commentf("%+v", r))
	}
	// Another booking shows that the new target process runs bookings at all.
	waitFor(c, "an answer of the new target", func() bool {
		r = sendCall(c, other, "bookings", newKey(c, other), "booking 2", 5*time.Second, 5*time.Second)
		return r.outcome == errs.Answered
	})
	c.Assert(targetCounts(c, m).Markers, qt.DeepEquals, map[string]int{"booking 2": 1})
}

func startTarget(c *qt.C, m *deploy.Member) *proc.Task {
	dir, err := buildPrograms()
	c.Assert(err, qt.IsNil)
	p, err := proc.New(proc.NewInbox(), filepath.Join(c.TempDir(), "log"), filepath.Join(dir, "jcbench"), "target",
		"--name", m.Target, "--address", m.TargetAddress.String(), "--crash-marker", deploy.CrashMarker)
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() {
		p.Stop()
		<-p.Done()
	})
	waitFor(c, "the target", func() bool {
		r, err := http.Get("http://" + m.TargetAddress.String() + target.LoadPath)
		if err == nil {
			r.Body.Close()
		}
		return err == nil
	})
	return p
}

func targetCounts(c *qt.C, m *deploy.Member) tally.Counts {
	r, err := http.Get("http://" + m.TargetAddress.String() + target.RunsPath)
	c.Assert(err, qt.IsNil)
	defer r.Body.Close()
	var counts tally.Counts
	c.Assert(json.NewDecoder(r.Body).Decode(&counts), qt.IsNil)
	return counts
}

// Guards against a daemon that cannot start without the configuration service: an outage of that service would then
// become an outage of all services.
func TestDaemonRestartsWhileConfigServiceIsDown(t *testing.T) {
	c := qt.New(t)
	cluster := startDeployment(c, deploy.Config{Layout: testLayout(2), Seed: 1, NoProxies: true})
	m := memberOf(c, cluster, "summaries-0")
	before, err := cluster.Status(m)
	c.Assert(err, qt.IsNil)
	cluster.ConfigService.Send(cfgsvc.SetMode{Mode: cfgsvc.Down{}})
	m.DaemonInbox.TryPut(proc.Kill{})
	waitFor(c, "a new process with the release in force", func() bool {
		s, err := cluster.Status(m)
		return err == nil && s.Target.Incarnation != before.Target.Incarnation && s.Release.Serial == before.Release.Serial
	})
	r := sendCall(c, m, "summaries", "", "", 2*time.Second, 2*time.Second)
	c.Assert(r.outcome, qt.Equals, errs.Answered, qt.Commentf("%+v", r))
}

// Guards against bookings that run twice because a restarted daemon accepts an idempotency key of its previous process,
// or because a booking that ran was reported as not run.
func TestNoSecondRunsWhileDaemonsRestart(t *testing.T) {
	c := qt.New(t)
	const duration = 6 * time.Second
	s := &setup.Scenario{Name: "restarts", Layout: testLayout(3), Seed: 11, Loads: []setup.Load{{
		Name: "bookings", Service: "bookings", Rate: 150, Until: duration, Resends: 4, Lost: 0.2,
		Patience: 100 * time.Millisecond, Deadline: 3 * time.Second,
	}}}
	for i, v := range []struct {
		kind   setup.FaultKind
		target ident.Target
	}{
		{setup.KillDaemon, "bookings-0"},
		{setup.RestartDaemon, "bookings-1"},
		{setup.CrashTarget, "bookings-2"},
		{setup.KillDaemon, "summaries-0"},
		{setup.KillDaemon, "bookings-2"},
	} {
		s.Faults = append(s.Faults, setup.Fault{At: time.Duration(i+1) * time.Second, Kind: v.kind, Target: string(v.target)})
	}
	cluster := startDeployment(c, deploy.Config{Layout: s.Layout, Seed: s.Seed})
	o := load.Run(s, setup.Daemon, cluster, io.Discard)
	v := o.Loads[0]
	c.Logf("sent %d, answered %d, sends %d, refused %v, unknown %v", o.Sent, v.Answered, v.Sends, v.Refused, v.Unknown)
	c.Assert(o.SecondRuns, qt.Equals, 0)
	c.Assert(o.FalseRefusals, qt.Equals, 0)
	c.Assert(v.Foreign, qt.Equals, 0)
	// Without enough bookings and resends the checks above would not test anything.
	c.Assert(v.Answered > o.Sent/2, qt.IsTrue, qt.Commentf("%d of %d answered", v.Answered, o.Sent))
	c.Assert(v.Sends > v.Calls+v.Calls/10, qt.IsTrue, qt.Commentf("%d sends of %d calls", v.Sends, v.Calls))
}
