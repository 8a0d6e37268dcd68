// Package cmds implements the commands of jcbench, one per file.
package cmds

import (
	"io"

	"jacinthcross/internal/cli/args"
)

type arguments struct {
	Demo     *demoCommand     `arg:"subcommand:demo" help:"run a short demonstration with faults in one process"`
	Run      *runCommand      `arg:"subcommand:run" help:"run a scenario"`
	Compare  *compareCommand  `arg:"subcommand:compare" help:"compare two results"`
	Report   *reportCommand   `arg:"subcommand:report" help:"write an HTML page with the plots of results"`
	Overhead *overheadCommand `arg:"subcommand:overhead" help:"measure the latency and CPU time that one and two daemons add to a call"`
	Fleet    *fleetCommand    `arg:"subcommand:fleet" help:"measure the distribution of releases to many daemons"`
	Target   *targetCommand   `arg:"subcommand:target" help:"run a simulated target"`
	Soak     *soakCommand     `arg:"subcommand:soak" help:"inject faults into daemons by a seeded plan and check their guarantees"`
	Config   *configCommand   `arg:"subcommand:config" help:"run a simulated configuration service"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "jcbench runs experiments with jacinthcross on the loopback interface, with simulated targets and services."
}

// Main runs the command in the arguments and returns its exit code.
func Main(words []string, out, err io.Writer) args.Code {
	return args.Env{Program: "jcbench", Out: out, Err: err}.Main(words, &arguments{})
}
