package cmds

import (
	"fmt"

	"jacinthcross/internal/cli/args"
)

type versionCommand struct{}

func (versionCommand) Run(env args.Env) error {
	fmt.Fprintln(env.Out, "jacinthcross", Version)
	return nil
}
