// Package cmds holds the commands of jacinthcross, one file each.
package cmds

import (
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"
)

// Version is the version of the program.
const Version = "0.1.0"

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

type arguments struct {
	Serve   *serveCommand   `arg:"subcommand:serve" help:"run the daemon"`
	Version *versionCommand `arg:"subcommand:version" help:"print the version"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "jacinthcross balances the load of servers whose load shifts in milliseconds."
}

// Main runs the command that the arguments name and returns its exit code.
func Main(args []string, env Env) int {
	var a arguments
	p, err := arg.NewParser(arg.Config{Program: "jacinthcross", Out: env.Out}, &a)
	if err != nil {
		fmt.Fprintln(env.Err, "jacinthcross:", err)
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
		fmt.Fprintln(env.Err, "jacinthcross:", err)
		return exitInvalid
	}
	switch c := p.Subcommand().(type) {
	case *serveCommand:
		return c.run(env)
	case *versionCommand:
		return c.run(env)
	}
	p.WriteHelp(env.Err)
	return exitInvalid
}

// exit reports an error and returns the code for it.
func exit(env Env, err error) int {
	if err == nil {
		return exitSuccess
	}
	fmt.Fprintln(env.Err, "jacinthcross:", err)
	if errors.Is(err, errors.NotValid) {
		return exitInvalid
	}
	return exitFailure
}
