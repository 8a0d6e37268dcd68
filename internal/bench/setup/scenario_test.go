package setup_test

import (
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/juju/errors"

	"jacinthcross/internal/bench/setup"
)

// Guards against committed scenario files that do not load, which would fail only when the experiment is run.
func TestCommittedScenarios(t *testing.T) {
	c := qt.New(t)
	files, err := filepath.Glob("../../../scenarios/*.toml")
	c.Assert(err, qt.IsNil)
	c.Assert(len(files) >= 8, qt.IsTrue)
	for _, f := range files {
		s, err := setup.ReadScenario(f)
		c.Assert(err, qt.IsNil)
		c.Assert(s.Name+".toml", qt.Equals, filepath.Base(f))
		c.Assert(s.WarmUp < s.Duration(), qt.IsTrue)
	}
}

// Guards against mistakes in a scenario that are ignored, so that a different experiment runs than intended.
func TestParseScenarioRejectsInvalidFiles(t *testing.T) {
	const good = "Deployment = \"Perizia\"\nDuration = \"1s\"\nBalancers = [\"Daemon\"]\n[[Load]]\nService = \"summaries\"\nRate = 1\n"
	for _, test := range []struct {
		name, text, want string
	}{
		{"unknown key", "Colour = 1\n" + good, `.*strict mode.*`},
		{"unknown deployment", "Deployment = \"Elsewhere\"\n", `Deployment "Elsewhere".*`},
		{"unknown service", good + "[[Load]]\nService = \"x\"\nRate = 1\n", `Load for unknown service "x" not valid`},
		{"no rate", good + "[[Load]]\nService = \"reports\"\n", `Load for service "reports": Rate 0 \(want more than 0\) not valid`},
		{"unknown fault", good + "[[Fault]]\nKind = \"Flood\"\n", `Fault Kind "Flood".*`},
		{"unknown target", good + "[[Fault]]\nKind = \"CrashTarget\"\nTarget = \"x\"\n", `Fault CrashTarget at unknown target "x" not valid`},
		{"baseline with chain", "Chain = 3\nDeployment = \"Perizia\"\nDuration = \"1s\"\nBalancers = [\"Oracle\"]\n", `Balancers "Oracle" with Chain.*`},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			_, err := setup.ParseScenario([]byte(test.text))
			c.Assert(err, qt.ErrorMatches, `(?s)`+test.want)
			c.Assert(errors.Is(err, errors.NotValid), qt.IsTrue)
		})
	}
	_, err := setup.ParseScenario([]byte(good))
	qt.Assert(t, err, qt.IsNil)
}

// Guards against delays of a scenario that are not applied: balancers would be compared under conditions that differ
// from those of the scenario.
func TestDelays(t *testing.T) {
	for _, test := range []struct {
		deployment, keys string
		client, open     time.Duration
	}{
		{"Perizia", "", 0, 0},
		{"Perizia", "ClientDelay = \"3ms\"\nOpenDelay = \"1ms\"\n", 3 * time.Millisecond, time.Millisecond},
		{"Clachan", "ClientDelay = \"8ms\"\nOpenDelay = \"1ms\"\n", 8 * time.Millisecond, time.Millisecond},
	} {
		t.Run(test.deployment+" "+test.client.String(), func(t *testing.T) {
			c := qt.New(t)
			s, err := setup.ParseScenario([]byte(test.keys + "Deployment = \"" + test.deployment + "\"\nDuration = \"1s\"\nBalancers = [\"Oracle\"]\n[[Load]]\nService = \"bookings\"\nRate = 1\n"))
			c.Assert(err, qt.IsNil)
			c.Assert(s.Layout.ClientDelay, qt.Equals, test.client)
			c.Assert(s.Layout.OpenDelay, qt.Equals, test.open)
		})
	}
}

// Guards against a chain of the wrong length, which would understate retry amplification.
func TestChainDepth(t *testing.T) {
	c := qt.New(t)
	s, err := setup.ParseScenario([]byte("Chain = 7\nDeployment = \"Perizia\"\nDuration = \"1s\"\nBalancers = [\"Daemon\"]\n[[Load]]\nService = \"summaries\"\nRate = 1\n"))
	c.Assert(err, qt.IsNil)
	c.Assert(s.Layout.ChainDepth("summaries"), qt.Equals, 7)
	c.Assert(s.Layout.ChainDepth("reports"), qt.Equals, 1)
}
