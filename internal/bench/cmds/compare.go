package cmds

import (
	"jacinthcross/internal/bench/report"
	"jacinthcross/internal/cli/args"
)

type compareCommand struct {
	A string `arg:"positional,required" help:"first result"`
	B string `arg:"positional,required" help:"second result"`
}

func (c *compareCommand) Run(env args.Env) error {
	a, err := report.Read(c.A)
	if err != nil {
		return err
	}
	b, err := report.Read(c.B)
	if err != nil {
		return err
	}
	return report.Compare(env.Out, a, b)
}
