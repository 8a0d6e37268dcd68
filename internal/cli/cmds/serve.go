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
	// A stop signal that arrives during the start must also begin a planned stop, so handle signals first.
	stops, reloads := make(chan os.Signal, 2), make(chan os.Signal, 1)
	signal.Notify(stops, syscall.SIGTERM, syscall.SIGINT)
	signal.Notify(reloads, syscall.SIGHUP)
	if c.Config == "" {
		c.Config = platform.SettingsFile()
	}
	if c.Config == "" {
		return errors.NotValidf("command without a settings file from --config or from the environment")
	}
	settings, err := conf.Load(c.Config)
	if err != nil {
		return fileError(env, c.Config, err)
	}
	options, err := platformOptions(settings)
	if err != nil {
		return errors.Annotate(err, c.Config)
	}
	options = append(options, daemon.WithSettingsFile(c.Config))
	defer event.RedirectTo(env.Out)()
	d, err := daemon.New(settings, Version, options...)
	if err != nil {
		return err
	}
	return handleSignals(d, stops, reloads)
}

// platformOptions returns the daemon options for settings with a Platform.Store, and none for other settings.
func platformOptions(settings *conf.Settings) ([]daemon.Option, error) {
	if _, ok := settings.Source.(conf.StoreSource); !ok {
		return nil, nil
	}
	p, err := platform.New(settings)
	if err != nil {
		return nil, err
	}
	return []daemon.Option{daemon.WithPlatform(p)}, nil
}

// daemonControl has the methods of a daemon that handleSignals calls.
type daemonControl interface {
	Reload()
	Shutdown() error
	Abort()
	Done() <-chan struct{}
	Err() error
}

// handleSignals applies signals to a daemon until it has ended. The first stop signal begins a planned stop. A further
// SIGTERM has no effect: maintenance operations on a VM may overlap, and the second one must not cut off calls. A
// further SIGINT, which a person sends, stops the daemon at once.
func handleSignals(d daemonControl, stops, reloads <-chan os.Signal) error {
	for {
		select {
		case <-reloads:
			d.Reload()
		case <-stops:
			go func() {
				for s := range stops {
					if s == syscall.SIGINT {
						d.Abort()
						return
					}
				}
			}()
			return d.Shutdown()
		case <-d.Done():
			return d.Err()
		}
	}
}
