package cmds

import "fmt"

type versionCommand struct{}

func (versionCommand) run(env Env) int {
	fmt.Fprintln(env.Out, "jacinthcross", Version)
	return exitSuccess
}
