package cmds

import (
	"os"

	"jacinthcross/internal/cli/args"
	"jacinthcross/internal/fleet/note"
)

type releasePackCommand struct {
	Notes []string `arg:"positional,required" help:"release notes in the order of their serials" placeholder:"NOTE"`
	Base  string   `arg:"--base" help:"snapshot before the first of the notes" placeholder:"FILE"`
}

func (c *releasePackCommand) Run(env args.Env) error {
	release := note.NewRelease()
	if c.Base != "" {
		var err error
		if release, err = readSnapshot(c.Base); err != nil {
			return fileError(env, c.Base, err)
		}
	}
	for _, path := range c.Notes {
		text, err := os.ReadFile(path)
		if err != nil {
			return fileError(env, path, err)
		}
		next, mistakes := note.ParseAndApply(release, text)
		if len(mistakes) > 0 {
			return fileError(env, path, mistakes)
		}
		release = next
	}
	_, err := env.Out.Write(release.Snapshot())
	return err
}
