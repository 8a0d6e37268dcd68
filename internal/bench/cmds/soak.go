package cmds

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/bench/soak"
	"jacinthcross/internal/cli/args"
)

type soakCommand struct {
	Seed     uint64        `arg:"--seed" help:"first seed (default random)"`
	Seeds    int           `arg:"--seeds" default:"1" help:"number of seeds, one after the other"`
	VMs      int           `arg:"--vms" default:"8" help:"number of VMs, 4 to 300"`
	Length   time.Duration `arg:"--length" default:"12s" help:"length of the plan for each seed"`
	Daemon   string        `arg:"--daemon" help:"path of the daemon executable (default: built from this repository)" placeholder:"PATH"`
	Crash    bool          `arg:"--crash-requests" help:"also send a request that crashes each target that runs it"`
	Evacuate bool          `arg:"--evacuations" help:"also evacuate and restore data centres"`
	Store    bool          `arg:"--store-restores" help:"also restore the store from older copies"`
	Logs     string        `arg:"--logs" help:"directory for the logs of seeds that violate a guarantee (default a new one)" placeholder:"DIR"`
}

func (c *soakCommand) Run(env args.Env) error {
	config := soak.Config{VMs: c.VMs, Length: c.Length, CrashRequests: c.Crash, Evacuations: c.Evacuate, StoreRestores: c.Store}
	if err := config.Check(); err != nil {
		return err
	}
	if c.Seeds < 1 {
		return errors.NotValidf("--seeds %d (want at least 1)", c.Seeds)
	}
	if c.Seed == 0 {
		c.Seed = rand.Uint64N(1 << 32)
	}
	path, cleanup, err := daemonExecutable(c.Daemon, false)
	if err != nil {
		return err
	}
	defer cleanup()
	if c.Logs == "" {
		if c.Logs, err = os.MkdirTemp("", "jcbench-soak"); err != nil {
			return errors.Annotate(err, "create log directory")
		}
	}
	failed := 0
	for i := range c.Seeds {
		config.DaemonPath, config.Seed = path, c.Seed+uint64(i)
		config.Dir = filepath.Join(c.Logs, strconv.FormatUint(config.Seed, 10))
		findings, err := c.runSeed(config, env)
		if err != nil {
			return errors.Annotatef(err, "seed %d", config.Seed)
		}
		if findings > 0 {
			failed++
		}
	}
	if failed > 0 {
		return errors.Errorf("%d of %d seeds violated guarantees; logs are in %s", failed, c.Seeds, c.Logs)
	}
	return nil
}

// runSeed runs one seed, prints its findings and returns their number. It keeps the logs only when there are findings.
func (c *soakCommand) runSeed(config soak.Config, env args.Env) (int, error) {
	if err := os.MkdirAll(config.Dir, 0o755); err != nil {
		return 0, errors.Annotate(err, "create log directory")
	}
	findings, history, err := soak.Run(config)
	if err != nil {
		return 0, err
	}
	if _, err := fmt.Fprintf(env.Out, "seed %d: %d steps, %s, %d findings\n", config.Seed, len(history.Steps), history.Summary(), len(findings)); err != nil {
		return 0, errors.Trace(err)
	}
	for _, f := range findings {
		if _, err := fmt.Fprintf(env.Out, "  %s %s %s\n", f.Guarantee, f.Request, f.Detail); err != nil {
			return 0, errors.Trace(err)
		}
	}
	if len(findings) > 0 {
		return len(findings), errors.Trace(os.WriteFile(filepath.Join(config.Dir, "plan.txt"), []byte(history.FormatPlan()), 0o600))
	}
	return 0, errors.Trace(os.RemoveAll(config.Dir))
}
