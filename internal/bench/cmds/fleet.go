package cmds

import (
	"time"

	"jacinthcross/internal/bench/fleet"
	"jacinthcross/internal/cli/args"
)

type fleetCommand struct {
	Daemons     []int         `arg:"--daemons" help:"fleet sizes to measure one after the other, each at most 300 (default 10 30 100 200)"`
	DataCentres int           `arg:"--data-centres" default:"4" help:"number of data centres"`
	PerService  int           `arg:"--per-service" default:"8" help:"targets in each service"`
	Changes     int           `arg:"--changes" default:"5" help:"number of releases to publish and measure"`
	Idle        time.Duration `arg:"--idle" default:"5s" help:"duration of the measurement without changes"`
	Gap         time.Duration `arg:"--gap" default:"3s" help:"time between two changes"`
	Restart     bool          `arg:"--restart" help:"measure the restart of all daemons of a data centre instead"`
	Cut         time.Duration `arg:"--cut" help:"measure a network partition of this duration, which isolates half of the data centres, instead"`
	Daemon      string        `arg:"--daemon" help:"path of the daemon executable (default: built from this repository)" placeholder:"PATH"`
}

func (c *fleetCommand) Run(env args.Env) error {
	if len(c.Daemons) == 0 {
		c.Daemons = []int{10, 30, 100, 200}
	}
	path, cleanup, err := daemonExecutable(c.Daemon, false)
	if err != nil {
		return err
	}
	defer cleanup()
	config := fleet.Config{DaemonPath: path, DataCentres: c.DataCentres, PerService: c.PerService, Changes: c.Changes, IdleDuration: c.Idle, ChangeInterval: c.Gap}
	if err := config.Check(c.Daemons); err != nil {
		return err
	}
	if c.Restart {
		return c.restart(config, env)
	}
	if c.Cut != 0 {
		return c.partition(config, env)
	}
	var results []fleet.Result
	for _, n := range c.Daemons {
		result, err := fleet.Measure(config, n, env.Err)
		if err != nil {
			return err
		}
		results = append(results, result)
	}
	return fleet.Print(env.Out, results)
}

func (c *fleetCommand) restart(config fleet.Config, env args.Env) error {
	var results []fleet.Restart
	for _, n := range c.Daemons {
		measured, err := fleet.MeasureRestarts(config, n, env.Err)
		if err != nil {
			return err
		}
		results = append(results, measured...)
	}
	return fleet.PrintRestarts(env.Out, results)
}

func (c *fleetCommand) partition(config fleet.Config, env args.Env) error {
	var results []fleet.Partition
	for _, n := range c.Daemons {
		result, err := fleet.MeasurePartition(config, n, c.Cut, env.Err)
		if err != nil {
			return err
		}
		results = append(results, result)
	}
	return fleet.PrintPartitions(env.Out, results)
}
