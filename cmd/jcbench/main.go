// Command jcbench runs simulated targets and services, the demo and the benchmarks.
package main

import (
	"os"

	"jacinthcross/internal/bench/cmds"
)

func main() {
	os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
}
