// Package daemon builds the supervisor tree of a daemon and runs it.
package daemon

import (
	"context"
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/meter"
	"jacinthcross/internal/cli/conf"
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/task/local"
	"time"

	"github.com/juju/errors"
)

// drainTimeout bounds how long the calls in flight may take at a planned stop.
const drainTimeout = 20 * time.Second

// A Daemon is one running daemon.
type Daemon struct {
	*tree.Loop
	boxes  *boxes
	cancel context.CancelFunc
}

// New starts a daemon.
func New(settings *conf.Settings, version string) (*Daemon, error) {
	m, err := meter.New()
	if err != nil {
		return nil, errors.Trace(err)
	}
	event.RouteLibraryLogs()
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{Loop: tree.NewLoop(), boxes: newBoxes(), cancel: cancel}
	root := newTree(settings, version, d.boxes, m)
	event.DaemonStarted.Log("vm", settings.VM, "dataCentre", settings.DataCentre, "callers", settings.Callers)
	go func() {
		d.Run(func() error {
			err := root.Serve(ctx)
			event.DaemonStopped.Log("vm", settings.VM)
			if ctx.Err() != nil {
				return nil
			}
			return err
		})
	}()
	return d, nil
}

// Drain takes no new calls for the own target, waits for those in flight and stops the daemon.
func (d *Daemon) Drain() {
	event.DrainStarted.Log()
	empty := make(chan struct{})
	timeout := time.After(drainTimeout)
	d.boxes.local.TryPut(local.Drain{Empty: empty})
	select {
	case <-empty:
	case <-timeout:
	case <-d.Done():
	}
	d.cancel()
	<-d.Done()
}
