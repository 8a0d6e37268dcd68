// Command jacinthcross runs the load-balancing daemon on a VM, beside its target, and the commands for operators.
package main

import (
	"os"

	"jacinthcross/internal/cli/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
