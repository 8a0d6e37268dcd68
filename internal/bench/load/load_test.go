package load

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/google/go-cmp/cmp"

	"jacinthcross/internal/bench/deploy"
	"jacinthcross/internal/bench/setup"
)

// Guards against schedules that differ between balancers, whose results are not comparable.
func TestScheduleDependsOnSeedOnly(t *testing.T) {
	c := qt.New(t)
	s := &setup.Scenario{Seed: 1, Loads: []setup.Load{
		{Rate: 1000, Until: 4 * time.Second},
		{Rate: 500, From: 2 * time.Second, Until: 4 * time.Second},
	}}
	a, b := schedule(s, 5), schedule(s, 5)
	c.Assert(a, qt.CmpEquals(cmp.AllowUnexported(arrival{})), b)
	counts := [2]int{}
	for i, p := range a {
		c.Assert(p.id, qt.Equals, i)
		c.Assert(i == 0 || a[i-1].at <= p.at, qt.IsTrue)
		counts[p.load]++
	}
	// Four standard deviations of a Poisson count.
	c.Assert(counts[0] > 4000-253 && counts[0] < 4000+253, qt.IsTrue, qt.Commentf("%d", counts[0]))
	c.Assert(counts[1] > 1000-127 && counts[1] < 1000+127, qt.IsTrue, qt.Commentf("%d", counts[1]))
}

// Guards against a baseline that does not follow the policy it is named after.
func TestPolicies(t *testing.T) {
	near := &deploy.Member{Placement: setup.Placement{Target: "near", DataCentre: "a"}}
	far := &deploy.Member{Placement: setup.Placement{Target: "far", DataCentre: "b"}}
	for _, test := range []struct {
		name     string
		policy   policy
		inFlight map[*deploy.Member]int
		reported map[*deploy.Member]int
		want     []*deploy.Member
	}{
		{"oracle uses the current counts", oracle{}, map[*deploy.Member]int{near: 3}, map[*deploy.Member]int{far: 9}, []*deploy.Member{far, far}},
		{"oracle prefers its own data centre", oracle{}, nil, nil, []*deploy.Member{near, near}},
		{"stale least uses the reported counts", staleLeast{}, map[*deploy.Member]int{near: 3}, map[*deploy.Member]int{far: 9}, []*deploy.Member{near, near}},
		{"round robin alternates", roundRobin{}, map[*deploy.Member]int{near: 3}, nil, []*deploy.Member{far, near}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			p := newPicker(test.policy, 1, []*deploy.Member{near, far})
			p.Stop()
			<-p.Done()
			p.inFlight, p.reported = test.inFlight, test.reported
			for _, want := range test.want {
				c.Assert(p.choose("", "a").Target, qt.Equals, want.Target)
			}
		})
	}
}

// Guards against outcomes counted in the wrong field, which would hide refusals or failures.
func TestRecorder(t *testing.T) {
	const deadline = time.Second
	for _, test := range []struct {
		name string
		in   callFinished
		want Stats
	}{
		{"good", callFinished{outcome: answered{ok: true}, afterWarmUp: true}, Stats{SuccessfulWithWarmUp: 1, Calls: 1, Answered: 1, Good: 1}},
		{"late", callFinished{outcome: answered{ok: true}, afterWarmUp: true, latency: 2 * deadline}, Stats{SuccessfulWithWarmUp: 1, Calls: 1, Answered: 1}},
		{"failed", callFinished{outcome: answered{}, afterWarmUp: true}, Stats{Calls: 1, Answered: 1, Failed: 1}},
		{"foreign", callFinished{outcome: answered{ok: true, foreign: true}}, Stats{SuccessfulWithWarmUp: 1, Foreign: 1}},
		{"failed in the warm-up", callFinished{outcome: answered{}}, Stats{Early: map[string]int{"Failed": 1}}},
		{"warm-up", callFinished{outcome: unknown{"PeerLost"}}, Stats{Early: map[string]int{"PeerLost": 1}}},
		{"refused", callFinished{outcome: refused{kind: "Busy"}, afterWarmUp: true}, Stats{Calls: 1, Refused: map[string]int{"Busy": 1}}},
		{"unknown", callFinished{outcome: unknown{"PeerLost"}, afterWarmUp: true}, Stats{Calls: 1, Unknown: map[string]int{"PeerLost": 1}}},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := newRecorder([]setup.Load{{Deadline: deadline}})
			r.put(test.in)
			got := r.snapshot().stats[0]
			r.Stop()
			got.Latency = nil
			if test.want.Refused == nil {
				test.want.Refused = map[string]int{}
			}
			if test.want.Unknown == nil {
				test.want.Unknown = map[string]int{}
			}
			if test.want.Early == nil {
				test.want.Early = map[string]int{}
			}
			c.Assert(got, qt.DeepEquals, test.want)
		})
	}
}

// Guards against counting a correct refusal as false: a refusal says nothing about earlier sends, which may have run.
func TestOnlyProvedRefusalsAreChecked(t *testing.T) {
	for _, test := range []struct {
		name string
		in   callOutcome
		want bool
	}{
		{"proved", refused{kind: "Busy"}, true},
		{"earlier sends unknown", refused{kind: "OwnerGone", earlierUnknown: true}, false},
		{"answered", answered{ok: true}, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			r := newRecorder([]setup.Load{{}})
			r.put(callFinished{outcome: test.in, marker: "m"})
			s := r.snapshot()
			r.Stop()
			<-r.Done()
			c.Assert(s.refused["m"], qt.Equals, test.want)
		})
	}
}
