package watch

import (
	"context"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/clock"
	"jacinthcross/internal/base/event"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/relay"
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/task/keeper"
)

const (
	// watchWait is how long one watch of the head waits for a change.
	watchWait = 30 * time.Second
	// retryDelay follows a failed read by a watcher.
	retryDelay = time.Second
	// listInterval is the time between two reads of the VM list.
	listInterval = 2 * time.Second
	// settleDelay lets the keeper tell its new head before the next watch, so that no note is read twice.
	settleDelay = 50 * time.Millisecond
	// reportInterval is the time between two reports that a watch is pending, which keep the service age low.
	reportInterval = time.Second
)

// A Message is what the task receives.
type Message interface{ message() }

// A SetDuty tells whether and from which head on to read.
type SetDuty struct{ Duty keeper.Duty }

// A headRead is the end of a read of the head and the notes up to it.
type headRead struct {
	version uint64
	passed  bool
	err     error
}

// A listRead is the end of a read of the VM list.
type listRead struct{ err error }

func (SetDuty) message()  {}
func (headRead) message() {}
func (listRead) message() {}

// A Task reads the configuration service and the VM list when the keeper says so.
type Task struct {
	*tree.Loop
	inbox   *mail.Box[Message]
	keeper  *mail.Box[keeper.Message]
	service Reader
	list    Reader
	clock   clock.Clock
	duty    keeper.Duty
	gate    relay.Gate
	// cancel ends the pending read of the head. It is nil when none is pending.
	cancel   context.CancelFunc
	listing  bool
	version  uint64
	healthy  bool
	nextHead time.Time
	nextList time.Time
}

// An Option sets a property of a Task.
type Option func(*Task)

// WithList sets the reader of the VM list.
func WithList(r Reader) Option { return func(t *Task) { t.list = r } }

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(t *Task) { t.clock = c } }

// New starts the task.
func New(inbox *mail.Box[Message], service Reader, box *mail.Box[keeper.Message], options ...Option) *Task {
	t := &Task{
		Loop: tree.NewLoop(), inbox: inbox, keeper: box, service: service, clock: clock.System{},
		duty: keeper.Duty{Kind: relay.Idle},
	}
	for _, o := range options {
		o(t)
	}
	go func() {
		t.Run(t.loop)
	}()
	return t
}

func (t *Task) loop() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	// The duty was told to an earlier run of this task, whose state is lost.
	t.keeper.TryPut(keeper.Announce{})
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	for {
		select {
		case m := <-t.inbox.C():
			t.receive(m)
		case <-timer.C:
			if t.cancel != nil && t.healthy {
				t.keeper.TryPut(keeper.ServiceRead{})
			}
		case <-t.Stopping():
			return nil
		}
		t.start(ctx)
		timer.Reset(t.pause())
	}
}

func (t *Task) receive(m Message) {
	switch m := m.(type) {
	case SetDuty:
		// A lower head means that the keeper was restarted with empty memory: the head is
		// read again instead of waiting for a change of it.
		restarted := m.Duty.Head.Serial < t.duty.Head.Serial
		if t.duty = m.Duty; restarted {
			t.version = 0
		}
		if (restarted || t.duty.Kind == relay.Idle) && t.cancel != nil {
			t.cancel()
		}
	case headRead:
		t.cancel()
		t.cancel = nil
		t.headDone(m)
	case listRead:
		t.listing = false
		t.nextList = t.clock.Now().Add(listInterval)
		if m.err != nil && !errors.Is(m.err, ErrUnchanged) {
			t.healthy = false
			event.ListUnread.Log("error", m.err.Error())
		}
	}
}

func (t *Task) headDone(m headRead) {
	switch {
	case m.err == nil:
		t.healthy, t.version = true, m.version
		if m.passed {
			t.nextHead = t.clock.Now().Add(settleDelay)
		}
	case errors.Is(m.err, ErrUnchanged):
		// The next read does not wait for a higher version: a service that lost its state counts from 1 again.
		t.healthy, t.version = true, 0
	case errors.Is(m.err, context.Canceled):
	default:
		t.healthy = false
		t.nextHead = t.clock.Now().Add(retryDelay)
		event.ServiceUnread.Log("error", m.err.Error())
	}
	if t.healthy {
		t.keeper.TryPut(keeper.ServiceRead{})
	}
}

// start starts the reads that are due.
func (t *Task) start(ctx context.Context) {
	now := t.clock.Now()
	if t.cancel == nil && !now.Before(t.nextHead) && t.mayRead(now) {
		t.startHead(ctx)
	}
	if t.list != nil && !t.listing && t.duty.Kind == relay.Watch && !now.Before(t.nextList) {
		t.startList(ctx)
	}
}

func (t *Task) mayRead(now time.Time) bool {
	switch t.duty.Kind {
	case relay.Watch:
		return true
	case relay.Direct:
		return t.gate.Allow(now)
	case relay.Idle:
	}
	return false
}

func (t *Task) startHead(ctx context.Context) {
	ctx, t.cancel = context.WithCancel(ctx)
	passed := false
	f := follower{reader: t.service, after: t.duty.Head, version: t.version, wait: watchWait, pass: func(m keeper.Message) {
		passed = true
		t.keeper.Put(m, t.Stopping())
	}}
	go func() {
		version, err := f.follow(ctx)
		t.inbox.Put(headRead{version: version, passed: passed, err: err}, t.Done())
	}()
}

func (t *Task) startList(ctx context.Context) {
	t.listing = true
	after := t.duty.ListVersion
	go func() {
		m, err := readList(ctx, t.list, after)
		if err == nil {
			t.keeper.Put(keeper.ListRead{Listing: m}, t.Stopping())
		}
		t.inbox.Put(listRead{err: err}, t.Done())
	}()
}

// pause returns how long the loop may wait for a message.
func (t *Task) pause() time.Duration {
	now := t.clock.Now()
	pause := reportInterval
	if t.cancel == nil && t.duty.Kind != relay.Idle {
		pause = min(pause, max(t.nextHead.Sub(now), t.gateWait(now)))
	}
	if t.list != nil && !t.listing && t.duty.Kind == relay.Watch {
		pause = min(pause, t.nextList.Sub(now))
	}
	return max(pause, time.Millisecond)
}

func (t *Task) gateWait(now time.Time) time.Duration {
	if t.duty.Kind == relay.Direct {
		return t.gate.Wait(now)
	}
	return 0
}
