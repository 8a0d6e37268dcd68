package cmds

import (
	"fmt"

	"github.com/juju/errors"

	"jacinthcross/internal/cli/args"
	"jacinthcross/internal/cli/conf"
)

type configCheckCommand struct {
	File string `arg:"positional,required" help:"file with the settings" placeholder:"FILE"`
}

func (c *configCheckCommand) Run(env args.Env) error {
	s, err := conf.Load(c.File)
	if err != nil {
		return fileError(env, c.File, err)
	}
	if _, err := platformOptions(s); err != nil {
		return errors.Annotate(err, c.File)
	}
	fmt.Fprintf(env.Out, "%s: valid settings of VM %s in data centre %s\n", c.File, s.VM, s.DataCentre)
	return nil
}
