package cmds

import (
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/bench/tally"
	"jacinthcross/internal/bench/target"
	"jacinthcross/internal/cli/args"
)

type targetCommand struct {
	Name        string        `arg:"--name" default:"target-0" help:"name in responses and counts"`
	Address     string        `arg:"--address,required" help:"address to listen on"`
	Slots       int           `arg:"--slots" default:"10" help:"maximum number of concurrent calls"`
	Median      time.Duration `arg:"--median" default:"5ms" help:"median of the service time"`
	Sigma       float64       `arg:"--sigma" default:"0" help:"standard deviation of the logarithm of the service time"`
	Seed        uint64        `arg:"--seed" default:"1" help:"seed of the service times"`
	NoisePeriod time.Duration `arg:"--noise-period" help:"period of the noisy neighbour"`
	NoiseShare  float64       `arg:"--noise-share" default:"0.2" help:"share of periods that are slow"`
	NoiseFactor float64       `arg:"--noise-factor" default:"4" help:"slowdown in a slow period"`
	Cold        time.Duration `arg:"--cold" help:"duration of the cold start"`
	ColdFactor  float64       `arg:"--cold-factor" default:"5" help:"slowdown in the cold start"`
	ShedAbove   int           `arg:"--shed-above" help:"number of queued calls from which an arriving call is shed (0: never)"`
	CrashMarker string        `arg:"--crash-marker" help:"text that, in the query or body of a request, crashes the target"`
	Next        string        `arg:"--next" help:"service that the target calls through the daemon while it runs a call"`
	Daemon      string        `arg:"--daemon" help:"address at which the daemon beside this target receives calls"`
}

func (c *targetCommand) Run(args.Env) error {
	s := target.Settings{
		Name: c.Name, Slots: c.Slots, ServiceTime: target.LogNormal{Median: c.Median, Sigma: c.Sigma}, Seed: c.Seed,
		Noise:     target.Noise{Period: c.NoisePeriod, Share: c.NoiseShare, Factor: c.NoiseFactor},
		Cold:      target.ColdStart{Duration: c.Cold, Factor: c.ColdFactor},
		ShedAbove: c.ShedAbove, CrashMarker: c.CrashMarker, Exit: func() { os.Exit(crashExitCode) }, Next: c.Next,
	}
	var err error
	if s.Address, err = netip.ParseAddrPort(c.Address); err != nil {
		return errors.NewNotValid(err, "--address")
	}
	if c.Next != "" {
		if s.Daemon, err = netip.ParseAddrPort(c.Daemon); err != nil {
			return errors.NewNotValid(err, "--daemon")
		}
	}
	if s.Slots < 1 {
		return errors.NotValidf("--slots %d (want at least 1)", s.Slots)
	}
	counts := tally.New()
	defer counts.Stop()
	t, err := target.New(s, target.NewInbox(), counts)
	if err != nil {
		return err
	}
	return runUntilSignal(t)
}

// crashExitCode is the exit code of a target that received a request with the crash marker.
const crashExitCode = 3

// A task runs in the background of a command until it ends or is stopped.
type task interface {
	Stop()
	Done() <-chan struct{}
	Err() error
}

func runUntilSignal(t task) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	select {
	case <-signals:
		t.Stop()
	case <-t.Done():
	}
	return t.Err()
}
