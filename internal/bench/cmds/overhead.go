package cmds

import (
	"time"

	"jacinthcross/internal/bench/cost"
	"jacinthcross/internal/cli/args"
)

type overheadCommand struct {
	Daemon string        `arg:"--daemon" help:"path of the daemon executable (default: built from this repository)" placeholder:"PATH"`
	Each   time.Duration `arg:"--each" default:"5s" help:"duration of each of the 18 measurements"`
}

func (c *overheadCommand) Run(env args.Env) error {
	path, cleanup, err := daemonExecutable(c.Daemon, false)
	if err != nil {
		return err
	}
	defer cleanup()
	results, err := cost.Run(path, c.Each, env.Err)
	if err != nil {
		return err
	}
	return cost.Print(env.Out, results)
}
