package soak

import (
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/platform/fake"
)

var startTime = time.Unix(1000, 0)

func timeAfter(d time.Duration) time.Time { return startTime.Add(d) }

// callOf returns a call to VM 0 with its response.
func callOf(id string, at time.Duration, unsafe bool, response fake.Response) Call {
	response.SentID = id
	q := fake.Request{Method: http.MethodGet, Path: "/p", Timeout: callerTimeout, Unsafe: unsafe}
	return Call{Process: 1, Request: q, Timeout: time.Second, Response: response, StartedAt: timeAfter(at)}
}

// runOf returns a run of the call "a" on a target, as VM 0 forwarded it.
func runOf(target string, at time.Duration) fake.Run {
	return fake.Run{ID: "a", Target: target, Method: http.MethodGet, URI: "/p", Origin: "s", StartedAt: timeAfter(at)}
}

// withVersion returns a copy of the call that uses a route of the first config version.
func withVersion(c Call) Call {
	c.Version = 1
	return c
}

// Guards against checks that miss a violation, or that report permitted behaviour as one.
func TestCheck(t *testing.T) {
	const callTime = 10 * time.Second
	unknown, refused := fake.Response{Status: http.StatusBadGateway}, fake.Response{Status: http.StatusServiceUnavailable}
	disconnected := fake.Response{Err: io.ErrUnexpectedEOF}
	dialFailed := fake.Response{Err: &net.OpError{Op: "dial", Err: errors.New("refused")}}
	// Any status except 404 shows that the daemon has the route.
	routeMissing, routeFound := fake.Response{Status: http.StatusNotFound}, unknown
	kill := []Step{{At: callTime - time.Second, Duration: 100 * time.Millisecond, Action: KillDaemon{}}}
	stop := []Step{{At: callTime - time.Second, Duration: 100 * time.Millisecond, Action: StopDaemon{}}}
	for _, test := range []struct {
		name  string
		steps []Step
		calls []Call
		runs  []fake.Run
		exits []Exit
		want  []Guarantee
	}{
		{"one run of a booking", nil, []Call{callOf("a", callTime, true, unknown)}, []fake.Run{runOf("t", callTime)}, nil, nil},
		{"two runs of a booking", nil, []Call{callOf("a", callTime, true, unknown)}, []fake.Run{runOf("t", callTime), runOf("u", callTime)}, nil, []Guarantee{AtMostOnce}},
		{"two runs of a read", nil, []Call{callOf("a", callTime, false, unknown)}, []fake.Run{runOf("t", callTime), runOf("u", callTime)}, nil, nil},
		{"refusal of a booking that ran", nil, []Call{callOf("a", callTime, true, refused)}, []fake.Run{runOf("t", callTime)}, nil, []Guarantee{TrueRefusal}},
		{"success without a run", nil, []Call{callOf("a", callTime, false, fake.Response{Status: 200})}, nil, nil, []Guarantee{OwnAnswer, OwnAnswer}},
		{"response to another request", nil, []Call{callOf("a", callTime, false, fake.Response{Status: 502, EchoedID: "b"})}, nil, nil, []Guarantee{OwnAnswer}},
		{"run of a request that no caller sent", nil, nil, []fake.Run{runOf("t", callTime)}, nil, []Guarantee{RequestUnchanged}},
		{"run with another path", nil, []Call{callOf("a", callTime, false, unknown)}, []fake.Run{{ID: "a", Method: http.MethodGet, URI: "/q", Origin: "s", StartedAt: timeAfter(callTime)}}, nil, []Guarantee{RequestUnchanged}},
		{"connection lost without a fault", nil, []Call{callOf("a", callTime, false, disconnected)}, []fake.Run{runOf("t", callTime)}, nil, []Guarantee{ConnectionKept}},
		{"connection lost in a graceful shutdown", stop, []Call{callOf("a", callTime, false, disconnected)}, []fake.Run{runOf("t", callTime)}, nil, []Guarantee{ConnectionKept}},
		{"connection lost after a kill", kill, []Call{callOf("a", callTime, false, disconnected)}, []fake.Run{runOf("t", callTime)}, nil, nil},
		{"connection lost before the request was forwarded", nil, []Call{callOf("a", callTime, false, disconnected)}, nil, nil, nil},
		{"failed dial", nil, []Call{callOf("a", callTime, false, dialFailed)}, nil, nil, nil},
		{"run on a target after the drain timeout", nil, []Call{callOf("a", callTime, false, unknown)}, []fake.Run{runOf("draining", 2*drainTimeout)}, nil, []Guarantee{NoRunAfterDrain}},
		{"run on a target within the drain timeout", nil, []Call{callOf("a", callTime, false, unknown)}, []fake.Run{runOf("draining", drainTimeout/2)}, nil, nil},
		{"config not applied in time", nil, []Call{withVersion(callOf("a", callTime, false, routeMissing))}, nil, nil, []Guarantee{ConfigInForce}},
		{"config not applied in time after a kill", kill, []Call{withVersion(callOf("a", callTime, false, routeMissing))}, nil, nil, nil},
		{
			"config reverted", kill,
			[]Call{withVersion(callOf("a", callTime, false, routeFound)), withVersion(callOf("b", callTime+time.Second, false, routeMissing))},
			nil, nil,
			[]Guarantee{ConfigKept},
		},
		{"stop in time", nil, nil, nil, []Exit{{StopRequestedAt: startTime, At: timeAfter(time.Second)}}, nil},
		{"stop that exceeds its timeout", nil, nil, nil, []Exit{{StopRequestedAt: startTime, StopTimedOut: true, Code: -1}}, []Guarantee{StopsInTime}},
		{"stop of a paused process that exceeds its timeout", nil, nil, nil, []Exit{{StopRequestedAt: startTime, StopTimedOut: true, Paused: true, Code: -1}}, nil},
		{"stop with a failure code", nil, nil, nil, []Exit{{StopRequestedAt: startTime, Code: 1}}, []Guarantee{StopsInTime}},
		{"exit without a signal", nil, nil, nil, []Exit{{Code: 2}}, []Guarantee{StopsInTime}},
		{"kill", nil, nil, nil, []Exit{{Killed: true, Code: -1}}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := History{
				StartedAt: startTime, Steps: test.steps, Runs: test.runs, Exits: test.exits, Services: []string{"s"}, PlanEnd: timeAfter(time.Hour),
				Starts: map[int]map[int]time.Time{0: {1: startTime.Add(-time.Hour)}}, Published: map[int]time.Time{1: startTime}, DrainStarted: map[string]time.Time{"draining": startTime},
			}
			h.Calls = test.calls
			var got []Guarantee
			for _, f := range h.Check() {
				// These histories have no calls after the plan, which checkRecovery counts.
				if f.Guarantee != Recovers {
					got = append(got, f.Guarantee)
				}
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}

// Guards against plans that differ between runs with the same seed, whose steps end after the end of the plan, or
// that never contain some kind of action, and against evacuations that overlap, or evacuations or restores of the store
// that change the other steps of a seed.
func TestPlan(t *testing.T) {
	const length = 12 * time.Second
	kinds := map[string]bool{}
	for seed := range uint64(40) {
		plan := NewPlan(seed, 8, length)
		qt.Assert(t, plan, qt.DeepEquals, NewPlan(seed, 8, length))
		restores := withRestores(slices.Clone(plan), seed, length)
		qt.Assert(t, restores, qt.DeepEquals, withRestores(slices.Clone(plan), seed, length))
		others := slices.DeleteFunc(slices.Clone(restores), func(s Step) bool { return kindOf(s.Action) == "StoreRestore" })
		qt.Assert(t, others, qt.DeepEquals, plan)
		extended, evacuatedUntil := withEvacuations(restores, seed, length), map[Action]time.Duration{}
		for _, s := range extended {
			qt.Assert(t, s.At+s.Duration <= length, qt.IsTrue)
			if a, ok := s.Action.(EvacuateDataCentre); ok {
				qt.Assert(t, s.At > evacuatedUntil[a], qt.IsTrue)
				evacuatedUntil[a] = s.At + s.Duration
			}
			if s.At < time.Duration(plannedFraction*float64(length)) {
				qt.Assert(t, isPlanned(s.Action), qt.IsTrue)
			}
			kinds[kindOf(s.Action)] = true
		}
		qt.Assert(t, slices.DeleteFunc(extended, func(s Step) bool { return kindOf(s.Action) == "EvacuateDataCentre" }), qt.DeepEquals, restores)
	}
	qt.Assert(t, kinds, qt.HasLen, 15)
}

func kindOf(a Action) string {
	switch a.(type) {
	case StopDaemon:
		return "StopDaemon"
	case KillDaemon:
		return "KillDaemon"
	case FreezeDaemon:
		return "FreezeDaemon"
	case ReloadDaemon:
		return "ReloadDaemon"
	case Disturb:
		return "Disturb"
	case StoreFault:
		return "StoreFault"
	case StoreSlow:
		return "StoreSlow"
	case StoreCompact:
		return "StoreCompact"
	case StoreRestore:
		return "StoreRestore"
	case TargetFault:
		return "TargetFault"
	case TargetSlow:
		return "TargetSlow"
	case TargetCrash:
		return "TargetCrash"
	case ReplaceTarget:
		return "ReplaceTarget"
	case ChangeConfig:
		return "ChangeConfig"
	case EvacuateDataCentre:
		return "EvacuateDataCentre"
	}
	return ""
}
