// Package daemon builds the supervisor tree of a daemon and runs it.
package daemon

import (
	"context"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/meter"
	"jacinthcross/internal/cli/conf"
	"jacinthcross/internal/policy/retry"
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/task/feed"
	"jacinthcross/internal/task/front"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/links"
	"jacinthcross/internal/task/listen"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/task/reload"
	"jacinthcross/internal/wire/codec"
	"jacinthcross/internal/wire/header"
)

const (
	// stopTime bounds how long the calls in flight may take at a planned stop, where the platform sets no bound.
	stopTime = 20 * time.Second
	// stopMargin is the part of the bound that is left to close connections and end the tasks.
	stopMargin = 500 * time.Millisecond
	// exitMargin is the part of the bound that is left to end the process when a task has not ended. The processor
	// may be short then.
	exitMargin = 250 * time.Millisecond
	// targetLead is how long before the end of the linger the target beside the daemon stops taking calls. The calls
	// then in flight have that time and what the bound leaves after the linger, 3.5 s of the 6 s of the platform.
	targetLead = time.Second
)

// A Platform is what a daemon has to know of the platform on which it runs.
type Platform struct {
	// Dialect names the header fields of callers and targets.
	Dialect *header.Dialect
	// Source reads what the platform publishes, when the settings name a store.
	Source feed.Source
	// ReadyPath is where the platform asks whether the daemon is ready.
	ReadyPath string
	// Keyless says that callers have no keys: a non-idempotent call is sent once for each send of its caller.
	Keyless bool
	// Retries is the platform's bound of repeated sends. Without a window, the daemon has budgets of its own.
	Retries retry.Bound
	// Linger is how long a daemon that stops goes on taking calls, so that the platform sees that it is not ready.
	Linger time.Duration
	// StopTime bounds the time from the request to stop to the end of the process.
	StopTime time.Duration
}

// An Option sets a property of a Daemon.
type Option func(*Daemon)

// WithPlatform sets the platform. Without it the daemon speaks the product's own interface.
func WithPlatform(p Platform) Option { return func(d *Daemon) { d.platform = p } }

// WithSettingsFile makes the daemon follow changes of the file from which its settings come.
func WithSettingsFile(path string) Option { return func(d *Daemon) { d.file = path } }

// A Daemon is one running daemon.
type Daemon struct {
	*tree.Loop
	platform Platform
	settings *conf.Settings
	file     string
	boxes    *boxes
	parts    supervisors
	cancel   context.CancelFunc
}

// New starts a daemon.
func New(settings *conf.Settings, version string, options ...Option) (*Daemon, error) {
	m, err := meter.New()
	if err != nil {
		return nil, errors.Trace(err)
	}
	event.RouteLibraryLogs()
	event.SetCounter(m.Event)
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		Loop: tree.NewLoop(), platform: Platform{Dialect: header.Own(), StopTime: stopTime},
		settings: settings, boxes: newBoxes(), cancel: cancel,
	}
	_, d.boxes.published = settings.Source.(conf.Store)
	for _, o := range options {
		o(d)
	}
	d.parts = newTree(settings, d.platform, version, d.boxes, m)
	if d.file != "" {
		d.parts.control.Add(tree.Child{Name: "reload", Start: func() (tree.Task, error) {
			return reload.New(d.file, d.boxes.reload, d.changed), nil
		}})
	}
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

// Reload looks at the settings file now.
func (d *Daemon) Reload() { d.boxes.reload.TryPut(reload.Check{}) }

// changed takes settings that have changed. None of them takes effect while the daemon runs.
func (d *Daemon) changed(s *conf.Settings) {
	for _, name := range conf.Differences(d.settings, s) {
		event.SettingsNeedRestart.Log("setting", name)
	}
}

// Drain makes the planned stop and returns when the daemon has ended, or with an error when the time for it is over
// and a task still runs. Abort cuts it short.
func (d *Daemon) Drain() error {
	event.DrainStarted.Log()
	end := time.After(d.platform.StopTime - exitMargin)
	d.boxes.draining.Store(true)
	d.awaitCalls(time.After(d.platform.StopTime - stopMargin))
	go func() {
		d.stopParts()
		d.cancel()
	}()
	select {
	case <-d.Done():
		return d.Err()
	case <-end:
		event.StopTimedOut.Log("bound", d.platform.StopTime)
		return errors.Timeoutf("planned stop within %s", d.platform.StopTime)
	}
}

// stopParts stops the parts one after the other: those that take calls before those that these need.
func (d *Daemon) stopParts() {
	for _, part := range []struct {
		name       string
		supervisor *tree.Supervisor
	}{{"edge", d.parts.edge}, {"data", d.parts.data}, {"control", d.parts.control}} {
		if d.ended() {
			return
		}
		began := time.Now()
		if err := d.parts.root.StopSupervisor(part.supervisor); err != nil {
			event.TaskFailed.Log("task", "drain", "error", err.Error())
		}
		event.PartStopped.Log("part", part.name, "took", time.Since(began))
	}
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

// awaitCalls stops the taking of new calls and waits until none is left, or until timeout. Where callers
// learn of the stop from the platform, the calls that they still send meanwhile are served, and at first
// the peers' calls for the target here too: a fleet that is restarted one by one keeps its targets in use.
func (d *Daemon) awaitCalls(timeout <-chan time.Time) {
	// The steps count from the signal: a process that is frozen meanwhile is late for the second one too.
	began := time.Now()
	callers, target := make(chan struct{}), make(chan struct{})
	if d.platform.Linger > 0 {
		d.boxes.front.Put(front.Drain{}, d.Done())
		if !d.sleepUntil(began.Add(d.platform.Linger - targetLead)) {
			return
		}
	}
	d.announceDrain()
	d.boxes.local.Put(local.Drain{Empty: target}, d.Done())
	if d.platform.Linger > 0 && !d.sleepUntil(began.Add(d.platform.Linger)) {
		return
	}
	d.boxes.front.Put(front.Drain{Empty: callers}, d.Done())
	for _, part := range []struct {
		calls string
		empty chan struct{}
	}{{"callers", callers}, {"target", target}} {
		select {
		case <-part.empty:
		case <-timeout:
			event.DrainTimedOut.Log("calls", part.calls)
			return
		case <-d.Done():
			return
		}
	}
}

// sleepUntil waits until a time, and reports whether the daemon still runs.
func (d *Daemon) sleepUntil(t time.Time) bool {
	select {
	case <-time.After(time.Until(t)):
		return true
	case <-d.Done():
		return false
	}
}
