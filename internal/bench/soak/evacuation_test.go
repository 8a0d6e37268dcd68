package soak

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/platform/fake"
)

// Guards against a check that misses a run in an evacuated data centre, or that reports one which is permitted.
func TestCheckEvacuations(t *testing.T) {
	const evacuatedAt, restoredAt = 10 * time.Second, 18 * time.Second
	address := netip.MustParseAddrPort("127.0.0.1:1")
	during := func(a Action, d time.Duration) []Step { return []Step{{At: evacuatedAt, Duration: d, Action: a}} }
	for _, test := range []struct {
		name       string
		dataCentre string
		after      time.Duration
		steps      []Step
		want       []Guarantee
	}{
		{"in time", "d0", applyTimeout, nil, nil},
		{"late", "d0", applyTimeout + time.Second, nil, []Guarantee{NoRunWhileEvacuated}},
		{"elsewhere", "d1", applyTimeout + time.Second, nil, nil},
		{"before", "d0", -time.Second, nil, nil},
		{"after the restore", "d0", restoredAt - evacuatedAt + time.Second, nil, nil},
		{"during a fault of another VM", "d0", applyTimeout + time.Second, during(KillDaemon{1}, time.Second), nil},
		{"long after a fault of another VM", "d0", evacuationTimeout + time.Second, during(FreezeDaemon{1}, time.Second), []Guarantee{NoRunWhileEvacuated}},
		{"after the daemon was frozen", "d0", evacuationTimeout + time.Second, during(FreezeDaemon{0}, 3*time.Second), nil},
		{"long after the daemon was frozen", "d0", evacuationTimeout + 2*time.Second, during(FreezeDaemon{0}, time.Second), []Guarantee{NoRunWhileEvacuated}},
		{"after a fault of the store", "d0", evacuationTimeout + time.Second, during(StoreFault{fake.Busy}, 3*time.Second), nil},
		{"a fault of the target", "d0", evacuationTimeout + time.Second, during(TargetFault{0, fake.Failing}, 3*time.Second), []Guarantee{NoRunWhileEvacuated}},
	} {
		t.Run(test.name, func(t *testing.T) {
			run := runOf("t", evacuatedAt+test.after)
			run.DataCentre, run.Address = test.dataCentre, address
			later := runOf("t", 2*time.Hour)
			later.DataCentre = "d0"
			h := History{
				StartedAt: startTime, PlanEnd: timeAfter(time.Hour), Steps: test.steps, Runs: []fake.Run{run, later}, Targets: []netip.AddrPort{address},
				Evacuations: []Evacuation{{"d0", timeAfter(evacuatedAt), timeAfter(restoredAt)}},
			}
			var got []Guarantee
			for _, f := range h.checkEvacuations() {
				got = append(got, f.Guarantee)
			}
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
	h := History{PlanEnd: startTime, Evacuations: []Evacuation{{"d0", startTime, startTime}}}
	qt.Assert(t, h.checkEvacuations(), qt.HasLen, 1)
}
