package cmds

import (
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/bench/cfgsvc"
	"jacinthcross/internal/cli/args"
)

type configCommand struct {
	Address string        `arg:"--address,required" help:"address to listen on"`
	Notes   []string      `arg:"--note" help:"files with the entries of release notes, published in this order"`
	Every   time.Duration `arg:"--every" default:"0s" help:"time between two notes"`
	VMList  string        `arg:"--vm-list" help:"file with the list of VMs"`
	Lag     time.Duration `arg:"--lag" help:"delay until readers get the list of VMs"`
	Mode    string        `arg:"--mode" default:"normal" help:"how the service answers: normal, down, slow, stale, older or garbage"`
	Slow    time.Duration `arg:"--slow" default:"500ms" help:"delay of each response in mode slow"`
}

func (c *configCommand) Run(env args.Env) error {
	at, err := netip.ParseAddrPort(c.Address)
	if err != nil {
		return errors.NewNotValid(err, "--address")
	}
	mode, err := c.mode()
	if err != nil {
		return err
	}
	var notes []string
	for _, file := range c.Notes {
		text, err := os.ReadFile(file)
		if err != nil {
			return errors.Annotate(err, "read note")
		}
		notes = append(notes, string(text))
	}
	t, err := cfgsvc.New(at)
	if err != nil {
		return err
	}
	if c.VMList != "" {
		text, err := os.ReadFile(c.VMList)
		if err != nil {
			return errors.Annotate(err, "read list of VMs")
		}
		t.Send(cfgsvc.Put{Key: cfgsvc.VMList, Text: string(text), Delay: c.Lag})
	}
	go func() {
		for i, n := range notes {
			if i > 0 {
				time.Sleep(c.Every)
			}
			t.Publish(n)
		}
		t.Send(cfgsvc.SetMode{Mode: mode})
	}()
	fmt.Fprintln(env.Out, "configuration service at", t.URL())
	return runUntilSignal(t)
}

func (c *configCommand) mode() (cfgsvc.Mode, error) {
	switch c.Mode {
	case "normal":
		return cfgsvc.Normal{}, nil
	case "down":
		return cfgsvc.Down{}, nil
	case "slow":
		return cfgsvc.Slow{Delay: c.Slow}, nil
	case "stale":
		return cfgsvc.Stale{}, nil
	case "older":
		return cfgsvc.PreviousHead{}, nil
	case "garbage":
		return cfgsvc.Malformed{}, nil
	}
	return nil, errors.NotValidf("--mode %q (want normal, down, slow, stale, older or garbage)", c.Mode)
}
