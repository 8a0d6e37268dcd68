// Package cmds holds the commands of jcbench, one file each.
package cmds

import (
	"io"

	"jacinthcross/internal/cli/args"
)

type arguments struct {
	Demo     *demoCommand     `arg:"subcommand:demo" help:"show in a few seconds what the system does"`
	Run      *runCommand      `arg:"subcommand:run" help:"run a scenario"`
	Compare  *compareCommand  `arg:"subcommand:compare" help:"compare two results"`
	Report   *reportCommand   `arg:"subcommand:report" help:"write an HTML page with the plots of results"`
	Overhead *overheadCommand `arg:"subcommand:overhead" help:"measure what one and two daemons add to a call"`
	Fleet    *fleetCommand    `arg:"subcommand:fleet" help:"measure the distribution of releases to many daemons"`
	Target   *targetCommand   `arg:"subcommand:target" help:"run a stand-in for a target"`
	Soak     *soakCommand     `arg:"subcommand:soak" help:"harm daemons by a seeded plan and check what they promise"`
	Config   *configCommand   `arg:"subcommand:config" help:"run a stand-in for the configuration service"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "jcbench runs experiments with jacinthcross on loopback, with small stand-ins."
}

// Main runs the command that the words name and returns its exit code.
func Main(words []string, out, err io.Writer) args.Code {
	return args.Env{Program: "jcbench", Out: out, Err: err}.Main(words, &arguments{})
}
