// Package daemon builds the supervisor tree of the daemon and runs it.
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
	"jacinthcross/internal/task/dialer"
	"jacinthcross/internal/task/feed"
	"jacinthcross/internal/task/front"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/listen"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/task/reload"
	"jacinthcross/internal/task/router"
	"jacinthcross/internal/wire/codec"
	"jacinthcross/internal/wire/header"
)

const (
	// defaultStopTimeout is the StopTimeout when no platform is set. It includes the time for calls in flight.
	defaultStopTimeout = 20 * time.Second
	// The drain ends at least stopMargin before StopTimeout. This leaves time to close connections and end the tasks.
	stopMargin = 500 * time.Millisecond
	// Calls of callers are answered answerMargin before the end of the drain, which leaves time to send the answers.
	answerMargin = 300 * time.Millisecond
	// Shutdown returns at least exitMargin before StopTimeout, even if a task has not ended. This leaves time for the
	// process to exit, also on a busy CPU.
	exitMargin = 250 * time.Millisecond
	// targetDrainLead is the last part of AcceptWhileDraining, in which the daemon accepts calls of callers but refuses
	// new calls to the target on its VM. Calls in flight to the target then have this time and the rest of StopTimeout
	// to finish: 3.5 s of the platform's 6 s.
	targetDrainLead = time.Second
)

// A Platform describes the platform on which the daemon runs.
type Platform struct {
	// Dialect defines the names of the header fields that callers and targets use.
	Dialect *header.Dialect
	// Source reads the platform's configuration and targets when the settings name a store.
	Source feed.StoreReader
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	// NoIdempotencyKeys is true when callers use no idempotency keys. A non-idempotent call then runs at most once for
	// each request of its caller. Only package platform sets it. It therefore also selects other options for that
	// platform, where targets declare their slots and report their load: local.WithDeclaredSlots,
	// local.WithMeasurementFunc and route.ProfileNear.
	NoIdempotencyKeys bool
	// RetryLimit is the platform's limit on retries. If its window is 0, the daemon uses its own retry budgets.
	RetryLimit retry.PlatformLimit
	// ColdRateFactor and ColdMargin limit the requests that a cold target may get in a second, from all daemons together: the
	// rate that it tolerates (note.Service.ColdRate) times ColdRateFactor, plus ColdMargin.
	ColdRateFactor, ColdMargin float64
	// AcceptWhileDraining is how long the daemon accepts calls after a planned stop begins, so that the platform's
	// readiness check can notice the stop.
	AcceptWhileDraining time.Duration
	// StopTimeout bounds the time from the stop request to the exit of the process.
	StopTimeout time.Duration
}

// An Option sets a property of a Daemon.
type Option func(*Daemon)

// WithPlatform sets the platform. Without it, the daemon uses the default dialect and no features of a platform.
func WithPlatform(p Platform) Option { return func(d *Daemon) { d.platform = p } }

// WithSettingsFile sets the settings file that the daemon watches for changes.
func WithSettingsFile(path string) Option { return func(d *Daemon) { d.settingsFile = path } }

// A Daemon is a running daemon process: its supervisor tree and the state that its tasks share.
type Daemon struct {
	*tree.Loop
	platform     Platform
	settings     *conf.Settings
	settingsFile string
	shared       *sharedState
	supervisors  supervisors
	cancel       context.CancelFunc
}

// New starts a daemon.
func New(settings *conf.Settings, version string, options ...Option) (*Daemon, error) {
	m, err := meter.New()
	if err != nil {
		return nil, errors.Trace(err)
	}
	event.RedirectLibraryLogs()
	limitHeap(settings)
	event.SetCounter(m.RecordEvent)
	ctx, cancel := context.WithCancel(context.Background())
	d := &Daemon{
		Loop: tree.NewLoop(), platform: Platform{Dialect: header.DefaultDialect(), StopTimeout: defaultStopTimeout},
		settings: settings, shared: newSharedState(), cancel: cancel,
	}
	_, d.shared.usesStore = settings.Source.(conf.StoreSource)
	for _, o := range options {
		o(d)
	}
	d.supervisors = newTree(settings, d.platform, version, d.shared, m)
	if d.settingsFile != "" {
		d.supervisors.control.Add(tree.Child{Name: "reload", Start: func() (tree.Task, error) {
			return reload.New(d.settingsFile, d.shared.reload, d.onSettingsChanged), nil
		}})
	}
	if p := d.platform; d.shared.usesStore {
		event.BoundsInForce.Log("gracePeriod", p.StopTimeout, "retryRatio", p.RetryLimit.Ratio, "retrySlack", p.RetryLimit.Slack, "retryWindow", p.RetryLimit.Window, "coldOverage", p.ColdRateFactor, "coldSlack", p.ColdMargin)
	}
	event.DaemonStarted.Log("vm", settings.VM, "dataCentre", settings.DataCentre, "callers", settings.Callers)
	go func() {
		d.Run(func() error {
			err := d.supervisors.root.Serve(ctx)
			event.DaemonStopped.Log("vm", settings.VM)
			if ctx.Err() != nil {
				return nil
			}
			return err
		})
	}()
	return d, nil
}

// Reload checks the settings file for changes now.
func (d *Daemon) Reload() { d.shared.reload.TryPut(reload.Check{}) }

// onSettingsChanged logs the settings that have changed. All of them need a restart to take effect.
func (d *Daemon) onSettingsChanged(s *conf.Settings) {
	for _, name := range conf.ChangedSettings(d.settings, s) {
		event.SettingsNeedRestart.Log("setting", name)
	}
}

// Shutdown performs a planned stop: it waits for the calls in flight, stops the tasks and returns when the daemon has
// ended. It returns a timeout error if a task still runs exitMargin before StopTimeout. Abort ends the wait early.
func (d *Daemon) Shutdown() error {
	event.DrainStarted.Log()
	end := time.After(d.platform.StopTimeout - exitMargin)
	d.shared.draining.Store(true)
	d.drainCalls(time.After(d.platform.StopTimeout - stopMargin))
	go func() {
		d.stopSupervisors()
		d.cancel()
	}()
	select {
	case <-d.Done():
		return d.Err()
	case <-end:
		event.StopTimedOut.Log("bound", d.platform.StopTimeout)
		return errors.Timeoutf("planned stop: tasks still running shortly before the end of the %s", d.platform.StopTimeout)
	}
}

// stopSupervisors stops the children of the root supervisor one after the other: those that accept calls before those
// they depend on.
func (d *Daemon) stopSupervisors() {
	for _, part := range []struct {
		name       string
		supervisor *tree.Supervisor
	}{{"edge", d.supervisors.edge}, {"data", d.supervisors.data}, {"control", d.supervisors.control}} {
		if d.ended() {
			return
		}
		began := time.Now()
		if err := d.supervisors.root.StopSupervisor(part.supervisor); err != nil {
			// No task has this name. It is kept for log queries. The error names the supervisor that did not stop in time.
			event.TaskFailed.Log("task", "drain", "error", err.Error())
		}
		event.PartStopped.Log("part", part.name, "took", time.Since(began))
	}
}

// Abort stops the daemon immediately. Calls in flight end with an unknown outcome.
func (d *Daemon) Abort() { d.cancel() }

func (d *Daemon) ended() bool {
	select {
	case <-d.Done():
		return true
	default:
		return false
	}
}

// announceDrain notifies the peers on all sessions, so that they stop sending calls to this daemon.
func (d *Daemon) announceDrain() {
	m := codec.Drain{VM: d.settings.VM}
	d.shared.dialer.Put(dialer.Message{Message: link.Notify{Message: m}}, d.Done())
	d.shared.listen.Put(listen.Broadcast{Message: m}, d.Done())
}

// drainCalls stops accepting new calls and waits until none is in flight, or until timeout. If AcceptWhileDraining is
// set, callers learn of the stop from the platform, and their calls are accepted until that time has passed. Calls from
// peers to the target on this VM are accepted for that time minus targetDrainLead, so that a rolling restart of the
// fleet does not take its targets out of use.
func (d *Daemon) drainCalls(timeout <-chan time.Time) {
	// Both waits are measured from the start of the stop, so that a process that is suspended during the first wait
	// does not lengthen the second.
	began := time.Now()
	d.shared.router.Put(router.Drain{Until: began.Add(d.platform.StopTimeout - stopMargin - answerMargin)}, d.Done())
	callers, target := make(chan struct{}), make(chan struct{})
	if d.platform.AcceptWhileDraining > 0 {
		d.shared.front.Put(front.Drain{}, d.Done())
		if !d.sleepUntil(began.Add(d.platform.AcceptWhileDraining - targetDrainLead)) {
			return
		}
	}
	d.announceDrain()
	d.shared.local.Put(local.Drain{Drained: target}, d.Done())
	if d.platform.AcceptWhileDraining > 0 && !d.sleepUntil(began.Add(d.platform.AcceptWhileDraining)) {
		return
	}
	d.shared.front.Put(front.Drain{Drained: callers}, d.Done())
	for _, group := range []struct {
		calls   string
		drained chan struct{}
	}{{"callers", callers}, {"target", target}} {
		select {
		case <-group.drained:
		case <-timeout:
			event.DrainTimedOut.Log("calls", group.calls)
			return
		case <-d.Done():
			return
		}
	}
}

// sleepUntil waits until t and reports whether the daemon is still running. It returns early when the daemon ends.
func (d *Daemon) sleepUntil(t time.Time) bool {
	select {
	case <-time.After(time.Until(t)):
		return true
	case <-d.Done():
		return false
	}
}
