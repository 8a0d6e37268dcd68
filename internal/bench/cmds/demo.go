package cmds

import (
	"jacinthcross/internal/bench/demo"
	"jacinthcross/internal/cli/args"
)

type demoCommand struct{}

func (demoCommand) Run(env args.Env) error { return demo.Run(env.Out) }
