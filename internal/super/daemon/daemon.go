// Package daemon builds the supervisor tree of a daemon and runs it.
package daemon

import (
	"context"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/meter"
	"jacinthcross/internal/cli/conf"
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/task/front"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/links"
	"jacinthcross/internal/task/listen"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/wire/codec"
)

// drainTimeout bounds how long the calls in flight may take at a planned stop.
const drainTimeout = 20 * time.Second

// A Daemon is one running daemon.
type Daemon struct {
	*tree.Loop
	settings *conf.Settings
	boxes    *boxes
	parts    supervisors
	cancel   context.CancelFunc
}

// New starts a daemon.
func New(settings *conf.Settings, version string) (*Daemon, error) {
	m, err := meter.New()
	if err != nil {
		return nil, errors.Trace(err)
	}
	event.RouteLibraryLogs()
	event.SetCounter(m.Event)
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{Loop: tree.NewLoop(), settings: settings, boxes: newBoxes(), cancel: cancel}
	d.parts = newTree(settings, version, d.boxes, m)
	event.DaemonStarted.Log("vm", settings.VM, "dataCentre", settings.DataCentre, "callers", settings.Callers)
	go func() {
		d.Run(func() error {
			err := d.parts.root.Serve(ctx)
			event.DaemonStopped.Log("vm", settings.VM)
			if ctx.Err() != nil {
				return nil
			}
			return err
		})
	}()
	return d, nil
}

// Drain makes the planned stop and returns when the daemon has ended. Abort cuts it short.
func (d *Daemon) Drain() {
	event.DrainStarted.Log()
	d.boxes.draining.Store(true)
	d.announceDrain()
	d.awaitCalls(time.After(drainTimeout))
	for _, part := range []*tree.Supervisor{d.parts.edge, d.parts.data, d.parts.control} {
		if d.ended() {
			break
		}
		if err := d.parts.root.StopSupervisor(part); err != nil {
			event.TaskFailed.Log("task", "drain", "error", err.Error())
		}
	}
	d.cancel()
	<-d.Done()
}

// Abort stops the daemon at once. Calls in flight end with an unknown outcome.
func (d *Daemon) Abort() { d.cancel() }

func (d *Daemon) ended() bool {
	select {
	case <-d.Done():
		return true
	default:
		return false
	}
}

// announceDrain tells the peers on all sessions, so that they stop sending calls here.
func (d *Daemon) announceDrain() {
	m := codec.Drain{VM: d.settings.VM}
	d.boxes.links.Put(links.Message{Message: link.Notify{Message: m}}, d.Done())
	d.boxes.listen.Put(listen.Notify{Message: m}, d.Done())
}

// awaitCalls stops the taking of new calls and waits until none is left, or until timeout.
func (d *Daemon) awaitCalls(timeout <-chan time.Time) {
	callers, target := make(chan struct{}), make(chan struct{})
	d.boxes.front.Put(front.Drain{Empty: callers}, d.Done())
	d.boxes.local.Put(local.Drain{Empty: target}, d.Done())
	for _, empty := range []chan struct{}{callers, target} {
		select {
		case <-empty:
		case <-timeout:
			return
		case <-d.Done():
			return
		}
	}
}
