// Package cmds holds the commands of jcbench, one file each.
package cmds

import (
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"
)

// Exit codes of all commands.
const (
	exitSuccess = 0
	exitFailure = 1
	exitInvalid = 2
)

// An Env is what a command may use of its process.
type Env struct {
	Out io.Writer
	Err io.Writer
}

// A command is a subcommand with its arguments.
type command interface{ run(env Env) error }

type arguments struct {
	Demo     *demoCommand     `arg:"subcommand:demo" help:"show in a few seconds what the system does"`
	Run      *runCommand      `arg:"subcommand:run" help:"run a scenario"`
	Compare  *compareCommand  `arg:"subcommand:compare" help:"compare two results"`
	Report   *reportCommand   `arg:"subcommand:report" help:"write an HTML page with the plots of results"`
	Overhead *overheadCommand `arg:"subcommand:overhead" help:"measure what one and two daemons add to a call"`
	Fleet    *fleetCommand    `arg:"subcommand:fleet" help:"measure the distribution of releases to many daemons"`
	Target   *targetCommand   `arg:"subcommand:target" help:"run a stand-in for a target"`
	Config   *configCommand   `arg:"subcommand:config" help:"run a stand-in for the configuration service"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "jcbench runs experiments with jacinthcross on loopback, with small stand-ins."
}

// Main runs the command that the arguments name and returns its exit code.
func Main(args []string, env Env) int {
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: "jcbench", Out: env.Out}, &a)
	if err != nil {
		fmt.Fprintln(env.Err, "jcbench:", err)
		return exitFailure
	}
	err = p.Parse(args)
	switch {
	case errors.Is(err, arg.ErrHelp):
		if err := p.WriteHelpForSubcommand(env.Out, p.SubcommandNames()...); err != nil {
			return exitFailure
		}
		return exitSuccess
	case err != nil:
		fmt.Fprintln(env.Err, "jcbench:", err)
		return exitInvalid
	}
	c, ok := p.Subcommand().(command)
	if !ok {
		p.WriteHelp(env.Err)
		return exitInvalid
	}
	return exit(env, c.run(env))
}

// exit reports an error and returns the code for it.
func exit(env Env, err error) int {
	if err == nil {
		return exitSuccess
	}
	fmt.Fprintln(env.Err, "jcbench:", err)
	if errors.Is(err, errors.NotValid) {
		return exitInvalid
	}
	return exitFailure
}
