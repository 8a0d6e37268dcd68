// Package args parses command lines, runs subcommands and maps errors to exit codes.
package args

import (
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"
)

// A Code is the exit code of a program.
type Code = int

// The exit codes of all commands.
const (
	Success Code = 0
	Failure Code = 1
	Invalid Code = 2
)

// An Env is the environment of a command: the name of the program and its output streams.
type Env struct {
	Program string
	Out     io.Writer
	Err     io.Writer
}

// A Command is a subcommand with its parsed arguments.
type Command interface{ Run(env Env) error }

// A ReportedError is returned by commands that have already printed the error.
type ReportedError struct{ Code Code }

// Error implements error.
func (r ReportedError) Error() string {
	return fmt.Sprintf("error already printed (exit code %d)", r.Code)
}

// Main parses a command line into arguments, a pointer to a go-arg struct with subcommands. It runs the selected
// Command and returns the exit code of the program.
func (e Env) Main(commandLine []string, arguments any) Code {
	p, err := arg.NewParser(arg.Config{Program: e.Program, Out: e.Out}, arguments)
	if err != nil {
		return e.exit(err)
	}
	err = p.Parse(commandLine)
	switch {
	case errors.Is(err, arg.ErrHelp):
		return e.exit(p.WriteHelpForSubcommand(e.Out, p.SubcommandNames()...))
	case err != nil:
		return e.exit(errors.NewNotValid(err, ""))
	}
	if c, ok := p.Subcommand().(Command); ok {
		return e.exit(c.Run(e))
	}
	if err := p.WriteHelpForSubcommand(e.Err, p.SubcommandNames()...); err != nil {
		return e.exit(err)
	}
	return Invalid
}

// exit prints an error, unless the command has already printed it, and returns its exit code.
func (e Env) exit(err error) Code {
	var reported ReportedError
	switch {
	case err == nil:
		return Success
	case errors.As(err, &reported):
		return reported.Code
	}
	fmt.Fprintf(e.Err, "%s: %s\n", e.Program, err)
	if errors.Is(err, errors.NotValid) {
		return Invalid
	}
	return Failure
}
