package cmds

import (
	"os"
	"os/signal"
	"syscall"

	"jacinthcross/internal/cli/args"
	"jacinthcross/internal/cli/conf"
	"jacinthcross/internal/super/daemon"
)

type serveCommand struct {
	Config string `arg:"--config,required" help:"file with the settings" placeholder:"FILE"`
}

func (c *serveCommand) Run(env args.Env) error {
	settings, err := conf.Load(c.Config)
	if err != nil {
		return fileError(env, c.Config, err)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	d, err := daemon.New(settings, Version)
	if err != nil {
		return err
	}
	select {
	case <-signals:
		go func() {
			// A second signal stops at once.
			<-signals
			d.Abort()
		}()
		d.Drain()
	case <-d.Done():
	}
	return d.Err()
}
