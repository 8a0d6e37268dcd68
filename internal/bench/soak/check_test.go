package soak

import (
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/platform/fake"
)

var began = time.Unix(1000, 0)

func after(d time.Duration) time.Time { return began.Add(d) }

// sent returns a call of VM 0 with an answer.
func sent(id string, at time.Duration, unsafe bool, a fake.Answer) Call {
	a.ID = id
	q := fake.Request{Method: http.MethodGet, Path: "/p", Allowed: allowed, Unsafe: unsafe}
	return Call{Process: 1, Request: q, Timeout: time.Second, Answer: a, At: after(at)}
}

// ran returns a run of the call "a" as VM 0 sent it.
func ran(target string, at time.Duration) fake.Run {
	return fake.Run{ID: "a", Target: target, Method: http.MethodGet, URI: "/p", Origin: "s", At: after(at)}
}

// versioned returns a call that needs the first version of the config.
func versioned(c Call) Call {
	c.Version = 1
	return c
}

// Guards against a soak that takes a broken promise for none, or what is allowed for a broken one.
func TestCheck(t *testing.T) {
	const late = 10 * time.Second
	unknown, refused := fake.Answer{Status: http.StatusBadGateway}, fake.Answer{Status: http.StatusServiceUnavailable}
	cut := fake.Answer{Err: io.ErrUnexpectedEOF}
	unmade := fake.Answer{Err: &net.OpError{Op: "dial", Err: errors.New("refused")}}
	missing, found := fake.Answer{Status: http.StatusNotFound}, unknown
	kill := []Step{{At: late - time.Second, For: 100 * time.Millisecond, Action: KillDaemon{}}}
	stop := []Step{{At: late - time.Second, For: 100 * time.Millisecond, Action: StopDaemon{}}}
	for _, test := range []struct {
		name  string
		steps []Step
		calls []Call
		runs  []fake.Run
		exits []Exit
		want  []Promise
	}{
		{"one run of a booking", nil, []Call{sent("a", late, true, unknown)}, []fake.Run{ran("t", late)}, nil, nil},
		{"two runs of a booking", nil, []Call{sent("a", late, true, unknown)}, []fake.Run{ran("t", late), ran("u", late)}, nil, []Promise{AtMostOnce}},
		{"two runs of a read", nil, []Call{sent("a", late, false, unknown)}, []fake.Run{ran("t", late), ran("u", late)}, nil, nil},
		{"a refusal after a run", nil, []Call{sent("a", late, true, refused)}, []fake.Run{ran("t", late)}, nil, []Promise{TrueRefusal}},
		{"a success without a run", nil, []Call{sent("a", late, false, fake.Answer{Status: 200})}, nil, nil, []Promise{OwnAnswer, OwnAnswer}},
		{"an answer to another request", nil, []Call{sent("a", late, false, fake.Answer{Status: 502, Of: "b"})}, nil, nil, []Promise{OwnAnswer}},
		{"a run that nobody asked for", nil, nil, []fake.Run{ran("t", late)}, nil, []Promise{Unchanged}},
		{"a run of another path", nil, []Call{sent("a", late, false, unknown)}, []fake.Run{{ID: "a", Method: http.MethodGet, URI: "/q", Origin: "s", At: after(late)}}, nil, []Promise{Unchanged}},
		{"cut without a cause", nil, []Call{sent("a", late, false, cut)}, []fake.Run{ran("t", late)}, nil, []Promise{NotCut}},
		{"cut by a planned stop", stop, []Call{sent("a", late, false, cut)}, []fake.Run{ran("t", late)}, nil, []Promise{NotCut}},
		{"cut after a kill", kill, []Call{sent("a", late, false, cut)}, []fake.Run{ran("t", late)}, nil, nil},
		{"cut before it was passed on", nil, []Call{sent("a", late, false, cut)}, nil, nil, nil},
		{"connection not made", nil, []Call{sent("a", late, false, unmade)}, nil, nil, nil},
		{"run on a target that leaves", nil, []Call{sent("a", late, false, unknown)}, []fake.Run{ran("left", 2*drainTime)}, nil, []Promise{Withdrawn}},
		{"run on a target that has just begun to leave", nil, []Call{sent("a", late, false, unknown)}, []fake.Run{ran("left", drainTime/2)}, nil, nil},
		{"config that is late", nil, []Call{versioned(sent("a", late, false, missing))}, nil, nil, []Promise{ConfigInForce}},
		{"config that is late after a kill", kill, []Call{versioned(sent("a", late, false, missing))}, nil, nil, nil},
		{
			"config that goes back", kill,
			[]Call{versioned(sent("a", late, false, found)), versioned(sent("b", late+time.Second, false, missing))},
			nil, nil,
			[]Promise{ConfigKept},
		},
		{"stop in time", nil, nil, nil, []Exit{{Asked: began, At: after(time.Second)}}, nil},
		{"stop that had to be ended", nil, nil, nil, []Exit{{Asked: began, Overdue: true, Code: -1}}, []Promise{StopsInTime}},
		{"stop that was frozen", nil, nil, nil, []Exit{{Asked: began, Overdue: true, Frozen: true, Code: -1}}, nil},
		{"stop with a failure", nil, nil, nil, []Exit{{Asked: began, Code: 1}}, []Promise{StopsInTime}},
		{"end without a signal", nil, nil, nil, []Exit{{Code: 2}}, []Promise{StopsInTime}},
		{"kill", nil, nil, nil, []Exit{{Killed: true, Code: -1}}, nil},
	} {
		t.Run(test.name, func(t *testing.T) {
			h := History{
				Began: began, Steps: test.steps, Runs: test.runs, Exits: test.exits, Services: []string{"s"}, Calm: after(time.Hour),
				Starts: map[int]map[int]time.Time{0: {1: began.Add(-time.Hour)}}, Published: map[int]time.Time{1: began}, Left: map[string]time.Time{"left": began},
			}
			h.Calls = test.calls
			var got []Promise
			for _, f := range h.Check() {
				// The history ends before the calls by which recovery is judged.
				if f.Promise != Recovers {
					got = append(got, f.Promise)
				}
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}

// Guards against plans that differ from run to run, end after their time, or never have some of the steps.
func TestPlan(t *testing.T) {
	const length = 12 * time.Second
	kinds := map[string]bool{}
	for seed := range uint64(40) {
		plan := NewPlan(seed, 8, length)
		qt.Assert(t, plan, qt.DeepEquals, NewPlan(seed, 8, length))
		for _, s := range plan {
			qt.Assert(t, s.At+s.For <= length, qt.IsTrue)
			if s.At < time.Duration(plannedShare*float64(length)) {
				qt.Assert(t, isPlanned(s.Action), qt.IsTrue)
			}
			kinds[kindOf(s.Action)] = true
		}
	}
	qt.Assert(t, kinds, qt.HasLen, 13)
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
	}
	return ""
}
