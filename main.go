// Command jacinthcross runs the load balancing daemon beside each target VM, and the commands for operators.
package main

import (
	"os"

	"jacinthcross/internal/cli/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
