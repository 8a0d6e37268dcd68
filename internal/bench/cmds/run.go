package cmds

import (
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/bench/deploy"
	"jacinthcross/internal/bench/load"
	"jacinthcross/internal/bench/report"
	"jacinthcross/internal/bench/setup"
	"jacinthcross/internal/bench/target"
	"jacinthcross/internal/cli/args"
)

type runCommand struct {
	Scenario  string `arg:"positional,required" help:"scenario file"`
	JSON      string `arg:"--json" help:"write the result into FILE" placeholder:"FILE"`
	Daemon    string `arg:"--daemon" help:"path of the daemon executable (default: built from this repository)" placeholder:"PATH"`
	InProcess bool   `arg:"--in-process" help:"run the daemons in this process"`
}

func (c *runCommand) Run(env args.Env) error {
	s, err := setup.ReadScenario(c.Scenario)
	if err != nil {
		return err
	}
	path, cleanup, err := daemonExecutable(c.Daemon, c.InProcess)
	if err != nil {
		return err
	}
	defer cleanup()
	r := &report.Result{Scenario: s.Name, Deployment: s.Layout.Name, Seed: s.Seed, Started: time.Now()}
	for _, b := range s.Balancers {
		run, err := runBalancer(env, s, b, path)
		if err != nil {
			return errors.Annotatef(err, "balancer %s", b)
		}
		r.Runs = append(r.Runs, run)
	}
	if err := report.Print(env.Out, r); err != nil {
		return err
	}
	if c.JSON != "" {
		if err := report.Write(c.JSON, r); err != nil {
			return err
		}
	}
	return checkGuarantees(r)
}

// runBalancer runs the scenario in a new deployment, so that each balancer starts from the same state.
func runBalancer(env args.Env, s *setup.Scenario, b setup.Balancer, path string) (report.Run, error) {
	config := deploy.Config{
		Layout: s.Layout, Seed: s.Seed, Daemons: deploy.NoDaemons{}, ShedAbove: s.ShedAbove,
		Noise: target.Noise{Period: time.Duration(s.Noise.Period), Share: s.Noise.Share, Factor: s.Noise.Factor},
		Cold:  target.ColdStart{Duration: time.Duration(s.Cold.Time), Factor: s.Cold.Factor},
	}
	switch {
	case b != setup.Daemon:
	case path == "":
		config.Daemons = deploy.EmbeddedDaemons{}
	default:
		config.Daemons = deploy.DaemonProcesses{Path: path}
	}
	cluster, err := deploy.Start(config)
	if err != nil {
		return report.Run{}, err
	}
	defer cluster.Close()
	return report.NewRun(s, load.Run(s, b, cluster, env.Err)), nil
}

// checkGuarantees returns an error when calls ran twice, ran although they were refused as not run, or got the response
// to another call. Daemons guarantee under any load that this does not happen.
func checkGuarantees(r *report.Result) error {
	for _, run := range r.Runs {
		if run.Balancer == setup.Daemon && run.SecondRuns+run.FalseRefusals+run.Foreign > 0 {
			return errors.Errorf("guarantees violated: %d repeated runs of calls, %d calls that ran although they were refused, %d answers that belong to another call",
				run.SecondRuns, run.FalseRefusals, run.Foreign)
		}
	}
	return nil
}

// daemonExecutable returns the path of the daemon executable, which it builds unless path names one, and a function
// that removes what was built. The returned path is empty when the daemons run in this process.
func daemonExecutable(path string, inProcess bool) (string, func(), error) {
	if inProcess || path != "" {
		if inProcess && path != "" {
			return "", nil, errors.NotValidf("--daemon %s together with --in-process", path)
		}
		return path, func() {}, nil
	}
	dir, err := os.MkdirTemp("", "jcbench")
	if err != nil {
		return "", nil, errors.Annotate(err, "create directory for the daemon")
	}
	cleanup := func() {
		if err := os.RemoveAll(dir); err != nil {
			fmt.Fprintln(os.Stderr, "jcbench: remove the built daemon:", err)
		}
	}
	path, err = deploy.BuildDaemon(dir)
	if err != nil {
		cleanup()
		return "", nil, err
	}
	return path, cleanup, nil
}
