// Command jcbench runs stand-ins, the demo and the experiments.
package main

import (
	"fmt"
	"jacinthcross/internal/bench/demo"
	"os"
)

func main() {
	if len(os.Args) != 2 || os.Args[1] != "demo" {
		fmt.Fprintln(os.Stderr, "usage: jcbench demo")
		os.Exit(2)
	}
	if err := demo.Run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, "jcbench:", err)
		os.Exit(1)
	}
}
