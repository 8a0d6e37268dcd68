package cmds

import (
	"bytes"
	"os"

	"github.com/juju/errors"

	"jacinthcross/internal/bench/report"
	"jacinthcross/internal/cli/args"
)

type reportCommand struct {
	Results []string `arg:"positional,required" help:"files with results" placeholder:"RESULT"`
	Out     string   `arg:"--out,required" help:"HTML file to write" placeholder:"FILE"`
}

func (c *reportCommand) Run(args.Env) error {
	var results []*report.Result
	for _, file := range c.Results {
		r, err := report.Read(file)
		if err != nil {
			return err
		}
		results = append(results, r)
	}
	var page bytes.Buffer
	if err := report.HTML(&page, results); err != nil {
		return err
	}
	return errors.Annotate(os.WriteFile(c.Out, page.Bytes(), 0o644), "write page")
}
