package cmds

import (
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/bench/load"
	"jacinthcross/internal/bench/report"
	"jacinthcross/internal/bench/setup"
	"jacinthcross/internal/bench/stage"
	"jacinthcross/internal/bench/target"
	"jacinthcross/internal/cli/args"
)

type runCommand struct {
	Scenario  string `arg:"positional,required" help:"scenario file"`
	JSON      string `arg:"--json" help:"write the result into FILE" placeholder:"FILE"`
	Daemon    string `arg:"--daemon" help:"program of the daemon; built when absent" placeholder:"PATH"`
	InProcess bool   `arg:"--in-process" help:"run the daemons in this process"`
}

func (c *runCommand) Run(env args.Env) error {
	s, err := setup.ReadScenario(c.Scenario)
	if err != nil {
		return err
	}
	path, cleanup, err := daemonProgram(c.Daemon, c.InProcess)
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
	v := stage.Config{
		Layout: s.Layout, Seed: s.Seed, Daemons: stage.NoDaemons{}, ShedAbove: s.ShedAbove,
		Noise: target.Noise{Period: time.Duration(s.Noise.Period), Share: s.Noise.Share, Factor: s.Noise.Factor},
		Cold:  target.ColdStart{Duration: time.Duration(s.Cold.Time), Factor: s.Cold.Factor},
	}
	switch {
	case b != setup.Daemon:
	case path == "":
		v.Daemons = stage.EmbeddedDaemons{}
	default:
		v.Daemons = stage.DaemonProcesses{Path: path}
	}
	st, err := stage.Start(v)
	if err != nil {
		return report.Run{}, err
	}
	defer st.Close()
	return report.NewRun(s, load.Run(s, b, st, env.Err)), nil
}

// checkGuarantees returns an error when the daemons violated a guarantee that holds under any load.
func checkGuarantees(r *report.Result) error {
	for _, run := range r.Runs {
		if run.Balancer == setup.Daemon && run.SecondRuns+run.FalseRefusals+run.Foreign > 0 {
			return errors.Errorf("%d second runs, %d false refusals, %d foreign answers",
				run.SecondRuns, run.FalseRefusals, run.Foreign)
		}
	}
	return nil
}

// daemonProgram returns the path of the daemon, which it builds when needed, and a function that removes what was built.
// The path is empty when the daemons run in this process.
func daemonProgram(path string, inProcess bool) (string, func(), error) {
	if inProcess || path != "" {
		if inProcess && path != "" {
			return "", nil, errors.NotValidf("--in-process with --daemon %s", path)
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
	path, err = stage.BuildDaemon(dir)
	if err != nil {
		cleanup()
		return "", nil, err
	}
	return path, cleanup, nil
}
