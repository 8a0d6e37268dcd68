// Command jcbench runs stand-ins, the demo and the experiments.
package main

import (
	"os"

	"jacinthcross/internal/bench/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
