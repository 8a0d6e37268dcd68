package cmds

import "jacinthcross/internal/bench/demo"

type demoCommand struct{}

func (demoCommand) run(env Env) error { return demo.Run(env.Out) }
