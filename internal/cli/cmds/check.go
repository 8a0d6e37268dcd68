package cmds

import (
	"fmt"
	"os"

	"jacinthcross/internal/cli/args"
	"jacinthcross/internal/fleet/note"
)

type releaseCheckCommand struct {
	File    string `arg:"positional,required" help:"file with the release note" placeholder:"FILE"`
	Against string `arg:"--against" help:"snapshot of the release before the note; without it, the note is the first one" placeholder:"FILE"`
}

func (c *releaseCheckCommand) Run(env args.Env) error {
	before := note.NewRelease()
	if c.Against != "" {
		var err error
		if before, err = readSnapshot(c.Against); err != nil {
			return fileError(env, c.Against, err)
		}
	}
	text, err := os.ReadFile(c.File)
	if err != nil {
		return fileError(env, c.File, err)
	}
	after, mistakes := note.ParseAndApply(before, text)
	if len(mistakes) > 0 {
		return fileError(env, c.File, mistakes)
	}
	for _, d := range note.Diff(before, after) {
		fmt.Fprintf(env.Out, "%-9s %-7s %s", d.Kind, d.EntryKind, d.Name)
		if d.Detail != "" {
			fmt.Fprintf(env.Out, ": %s", d.Detail)
		}
		fmt.Fprintln(env.Out)
	}
	fmt.Fprintf(env.Out, "%s: valid release note %d with digest %s\n", c.File, after.Head.Serial, after.Head.Digest)
	return nil
}

func readSnapshot(path string) (*note.Release, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return note.ParseSnapshot(text)
}
