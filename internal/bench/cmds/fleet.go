package cmds

import (
	"time"

	"jacinthcross/internal/bench/fleet"
	"jacinthcross/internal/cli/args"
)

type fleetCommand struct {
	Daemons     []int         `arg:"--daemons" help:"numbers of daemons, at most 300 (default 10 30 100 200)"`
	DataCentres int           `arg:"--data-centres" default:"4" help:"number of data centres"`
	PerService  int           `arg:"--per-service" default:"8" help:"targets in each service"`
	Changes     int           `arg:"--changes" default:"5" help:"number of releases to publish and measure"`
	Idle        time.Duration `arg:"--idle" default:"5s" help:"duration of the measurement without changes"`
	Gap         time.Duration `arg:"--gap" default:"3s" help:"time between two changes"`
	Restart     bool          `arg:"--restart" help:"measure instead the restart of all daemons of a data centre"`
	Cut         time.Duration `arg:"--cut" help:"measure instead a network partition of this duration that isolates half of the data centres"`
	Daemon      string        `arg:"--daemon" help:"program of the daemon; built when absent" placeholder:"PATH"`
}

func (c *fleetCommand) Run(env args.Env) error {
	if len(c.Daemons) == 0 {
		c.Daemons = []int{10, 30, 100, 200}
	}
	path, cleanup, err := daemonProgram(c.Daemon, false)
	if err != nil {
		return err
	}
	defer cleanup()
	f := fleet.Config{DaemonPath: path, DataCentres: c.DataCentres, PerService: c.PerService, Changes: c.Changes, IdleDuration: c.Idle, ChangeInterval: c.Gap}
	if err := f.Check(c.Daemons); err != nil {
		return err
	}
	if c.Restart {
		return c.restart(f, env)
	}
	if c.Cut != 0 {
		return c.cut(f, env)
	}
	var rows []fleet.Result
	for _, n := range c.Daemons {
		row, err := fleet.Measure(f, n, env.Err)
		if err != nil {
			return err
		}
		rows = append(rows, row)
	}
	return fleet.Print(env.Out, rows)
}

func (c *fleetCommand) restart(f fleet.Config, env args.Env) error {
	var rows []fleet.Restart
	for _, n := range c.Daemons {
		more, err := fleet.MeasureRestarts(f, n, env.Err)
		if err != nil {
			return err
		}
		rows = append(rows, more...)
	}
	return fleet.PrintRestarts(env.Out, rows)
}

func (c *fleetCommand) cut(f fleet.Config, env args.Env) error {
	var rows []fleet.Partition
	for _, n := range c.Daemons {
		row, err := fleet.MeasurePartition(f, n, c.Cut, env.Err)
		if err != nil {
			return err
		}
		rows = append(rows, row)
	}
	return fleet.PrintPartitions(env.Out, rows)
}
