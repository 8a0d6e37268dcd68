package cmds

import (
	"time"

	"jacinthcross/internal/bench/cost"
	"jacinthcross/internal/cli/args"
)

type overheadCommand struct {
	Daemon string        `arg:"--daemon" help:"program of the daemon; built when absent" placeholder:"PATH"`
	Each   time.Duration `arg:"--each" default:"5s" help:"duration of each of the 18 measurements"`
}

func (c *overheadCommand) Run(env args.Env) error {
	path, cleanup, err := daemonProgram(c.Daemon, false)
	if err != nil {
		return err
	}
	defer cleanup()
	rows, err := cost.Run(path, c.Each, env.Err)
	if err != nil {
		return err
	}
	return cost.Print(env.Out, rows)
}
