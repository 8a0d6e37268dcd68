package load

import (
	"io"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/bench/deploy"
	"jacinthcross/internal/bench/setup"
)

// Guards against balancers that run with different network delays, whose results are not comparable. Each call must
// take at least two client delays, and the slowest, which also opens connections, at least one open delay more for each
// of them.
func TestScenarioDelaysApplyToAllBalancers(t *testing.T) {
	const client, open = 40 * time.Millisecond, 30 * time.Millisecond
	for _, test := range []struct {
		balancer setup.Balancer
		daemons  deploy.DaemonMode
		// connectionsOpened is the number of connections that the first call opens. It multiplies the open delay.
		connectionsOpened time.Duration
	}{
		{setup.Daemon, deploy.EmbeddedDaemons{}, 2},
		{setup.RoundRobin, deploy.NoDaemons{}, 1},
	} {
		t.Run(string(test.balancer), func(t *testing.T) {
			c := qt.New(t)
			l := setup.Perizia()
			l.ClientDelay, l.OpenDelay = client, open
			l.Services = l.Services[:1]
			l.Services[0].Targets, l.Services[0].Median = 1, time.Millisecond
			s := &setup.Scenario{Name: "delays", Layout: l, Seed: 1, Loads: []setup.Load{
				{Name: "summaries", Service: "summaries", Rate: 20, Until: time.Second, Deadline: 2 * time.Second},
			}}
			cluster, err := deploy.Start(deploy.Config{Layout: l, Seed: 1, Daemons: test.daemons})
			c.Assert(err, qt.IsNil)
			defer cluster.Close()
			stats := Run(s, test.balancer, cluster, io.Discard).Loads[0]
			c.Assert(stats.Answered > 0, qt.IsTrue)
			// The histogram records microseconds with three significant digits.
			least, most := time.Duration(stats.Latency.Min())*time.Microsecond, time.Duration(stats.Latency.Max())*time.Microsecond
			c.Assert(least >= 2*client*99/100, qt.IsTrue, qt.Commentf("%v", least))
			c.Assert(most >= (2*client+test.connectionsOpened*open)*99/100, qt.IsTrue, qt.Commentf("%v", most))
		})
	}
}
