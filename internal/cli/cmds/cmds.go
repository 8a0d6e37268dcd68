// Package cmds holds the commands of jacinthcross, one file each.
package cmds

import (
	"fmt"
	"io"

	"github.com/alexflint/go-arg"
	"github.com/juju/errors"

	"jacinthcross/internal/base/form"
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
	Release *releaseCommand `arg:"subcommand:release" help:"check release notes and pack snapshots"`
	Status  *statusCommand  `arg:"subcommand:status" help:"show the state of daemons"`
	Config  *configCommand  `arg:"subcommand:config" help:"check settings"`
	Version *versionCommand `arg:"subcommand:version" help:"print the version"`
}

type releaseCommand struct {
	Check *releaseCheckCommand `arg:"subcommand:check" help:"check a release note"`
	Pack  *releasePackCommand  `arg:"subcommand:pack" help:"write the snapshot that release notes add up to"`
}

type configCommand struct {
	Check *configCheckCommand `arg:"subcommand:check" help:"check a settings file"`
}

// Description implements arg.Described.
func (arguments) Description() string {
	return "jacinthcross balances the load of servers whose load shifts in milliseconds."
}

// Epilogue implements arg.Epilogued.
func (arguments) Epilogue() string {
	return `examples:
  jacinthcross config check daemon.toml
  jacinthcross serve --config daemon.toml
  jacinthcross release check note-42.toml --against base-41.toml
  jacinthcross release pack --base base-41.toml note-42.toml > base-42.toml
  jacinthcross status 10.0.0.1:7001 10.0.0.2:7001

Exit codes: 0 success, 1 failure, 2 invalid input.`
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
	case *releaseCheckCommand:
		return c.run(env)
	case *releasePackCommand:
		return c.run(env)
	case *statusCommand:
		return c.run(env)
	case *configCheckCommand:
		return c.run(env)
	case *versionCommand:
		return c.run(env)
	}
	if err := p.WriteHelpForSubcommand(env.Err, p.SubcommandNames()...); err != nil {
		return exitFailure
	}
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

// exitFile reports an error about a file, with one line for each mistake, and returns the code for it.
func exitFile(env Env, path string, err error) int {
	var mistakes form.Errors
	if !errors.As(err, &mistakes) {
		return exit(env, errors.Annotate(err, path))
	}
	for _, m := range mistakes {
		fmt.Fprintf(env.Err, "%s: %s\n", path, m)
	}
	return exitInvalid
}
