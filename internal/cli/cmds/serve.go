package cmds

import (
	"os"
	"os/signal"
	"syscall"

	"github.com/juju/errors"

	"jacinthcross/internal/base/event"
	"jacinthcross/internal/cli/args"
	"jacinthcross/internal/cli/conf"
	"jacinthcross/internal/super/daemon"
	"jacinthcross/platform"
)

type serveCommand struct {
	Config string `arg:"--config" help:"file with the settings; without it, the one that the platform names in the environment" placeholder:"FILE"`
}

func (c *serveCommand) Run(env args.Env) error {
	// A signal that arrives while the daemon starts is a planned stop too.
	stops, reloads := make(chan os.Signal, 2), make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	if c.Config == "" {
		c.Config = platform.SettingsFile()
	}
	if c.Config == "" {
		return errors.NotValidf("command without --config")
	}
	settings, err := conf.Load(c.Config)
	if err != nil {
		return fileError(env, c.Config, err)
	}
	options := []daemon.Option{daemon.WithSettingsFile(c.Config)}
	if _, ok := settings.Source.(conf.Store); ok {
		p, err := platform.New(settings)
		if err != nil {
			return errors.Annotate(err, c.Config)
		}
		options = append(options, daemon.WithPlatform(p))
	}
	defer event.WriteTo(env.Out)()
	d, err := daemon.New(settings, Version, options...)
	if err != nil {
		return err
	}
	for {
		select {
		case <-reloads:
			d.Reload()
			continue
		case <-stops:
			go func() {
				// A second signal stops at once.
				<-stops
				d.Abort()
			}()
			d.Drain()
		case <-d.Done():
		}
		return d.Err()
	}
}
