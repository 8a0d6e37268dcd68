// Command jacinthcross is the daemon beside each target VM and the operators' commands.
package main

import (
	"os"

	"jacinthcross/internal/cli/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
