// Package cmds implements the commands of jacinthcross, one in each file.
package cmds

import (
	"fmt"
	"io"

	"github.com/juju/errors"

	"jacinthcross/internal/base/form"
	"jacinthcross/internal/cli/args"
)

// Version is the version of the program.
const Version = "0.1.0"

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

// Main runs a command line and returns the exit code.
func Main(commandLine []string, out, err io.Writer) args.Code {
	return args.Env{Program: "jacinthcross", Out: out, Err: err}.Main(commandLine, &arguments{})
}

// fileError returns the error to report for a file. If err is a form.DocumentErrors, it prints one line for each mistake
// and returns a ReportedError.
func fileError(env args.Env, path string, err error) error {
	var mistakes form.DocumentErrors
	if !errors.As(err, &mistakes) {
		return errors.Annotate(err, path)
	}
	for _, m := range mistakes {
		fmt.Fprintf(env.Err, "%s: %s\n", path, m)
	}
	return args.ReportedError{Code: args.Invalid}
}
