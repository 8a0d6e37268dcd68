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
	"jacinthcross/internal/task/gossip"
)

const (
	// watchWait is how long one watch of the head waits for a change.
	watchWait = 30 * time.Second
	// retryDelay is the delay after a failed read of the head.
	retryDelay = time.Second
	// vmListInterval is the time between two reads of the VM list.
	vmListInterval = 2 * time.Second
	// deliveryDelay gives the gossip task time to announce its new head before the next watch, so that no note is read
	// twice.
	deliveryDelay = 50 * time.Millisecond
	// reportInterval is the time between two reports to the gossip task that a watch is pending. That task counts each
	// report as a successful read of the service.
	reportInterval = time.Second
)

// A Message is a message to the task.
type Message interface{ message() }

// A SetDuty tells whether to read the configuration service, and which head and version of the VM list the gossip task
// already has.
type SetDuty struct{ Duty gossip.ReadDuty }

// A headRead reports the end of a read of the head and the notes up to it.
type headRead struct {
	version   uint64
	delivered bool
	err       error
}

// A vmListRead reports the end of a read of the VM list.
type vmListRead struct{ err error }

func (SetDuty) message()    {}
func (headRead) message()   {}
func (vmListRead) message() {}

// A Task reads the configuration service and the VM list according to the duty that the gossip task sets.
type Task struct {
	*tree.Loop
	inbox         *mail.Box[Message]
	gossipInbox   *mail.Box[gossip.Message]
	serviceReader Reader
	vmListReader  Reader
	clock         clock.Clock
	duty          gossip.ReadDuty
	// directReads limits the reads of a daemon whose duty is Direct.
	directReads relay.ReadLimiter
	// cancel cancels the pending read of the head. It is nil when no read is pending.
	cancel        context.CancelFunc
	readingVMList bool
	headVersion   uint64
	// serviceHealthy is true from a successful read of the head until a read of the head or of the VM list fails.
	serviceHealthy   bool
	nextHeadReadAt   time.Time
	nextVMListReadAt time.Time
}

// An Option sets a property of a Task.
type Option func(*Task)

// WithVMList sets the reader of the VM list.
func WithVMList(r Reader) Option { return func(t *Task) { t.vmListReader = r } }

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(t *Task) { t.clock = c } }

// New starts the task.
func New(inbox *mail.Box[Message], service Reader, gossipInbox *mail.Box[gossip.Message], options ...Option) *Task {
	t := &Task{
		Loop: tree.NewLoop(), inbox: inbox, gossipInbox: gossipInbox, serviceReader: service, clock: clock.System{},
		duty: gossip.ReadDuty{Kind: relay.Idle},
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
	// The gossip task may have announced the duty to an earlier run of this task, whose state is lost.
	t.gossipInbox.TryPut(gossip.AnnounceRequest{})
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	for {
		select {
		case m := <-t.inbox.C():
			t.receive(m)
		case <-timer.C:
			if t.cancel != nil && t.serviceHealthy {
				t.gossipInbox.TryPut(gossip.ServiceReachable{})
			}
		case <-t.Stopping():
			return nil
		}
		t.startReads(ctx)
		timer.Reset(t.nextTimeout())
	}
}

func (t *Task) receive(m Message) {
	switch m := m.(type) {
	case SetDuty:
		// A lower head means that the gossip task was restarted with empty memory, so the head is read at once instead
		// of waiting for it to change.
		restarted := m.Duty.Head.Serial < t.duty.Head.Serial
		if t.duty = m.Duty; restarted {
			t.headVersion = 0
		}
		if (restarted || t.duty.Kind == relay.Idle) && t.cancel != nil {
			t.cancel()
		}
	case headRead:
		t.cancel()
		t.cancel = nil
		t.finishHeadRead(m)
	case vmListRead:
		t.readingVMList = false
		t.nextVMListReadAt = t.clock.Now().Add(vmListInterval)
		if m.err != nil && !errors.Is(m.err, ErrUnchanged) {
			t.serviceHealthy = false
			event.VMListUnreadable.Log("error", m.err.Error())
		}
	}
}

func (t *Task) finishHeadRead(m headRead) {
	switch {
	case m.err == nil:
		t.serviceHealthy, t.headVersion = true, m.version
		if m.delivered {
			t.nextHeadReadAt = t.clock.Now().Add(deliveryDelay)
		}
	case errors.Is(m.err, ErrUnchanged):
		// The next read does not wait for a higher version, since a service that lost its state counts from 1 again.
		t.serviceHealthy, t.headVersion = true, 0
	case errors.Is(m.err, context.Canceled):
	default:
		t.serviceHealthy = false
		t.nextHeadReadAt = t.clock.Now().Add(retryDelay)
		event.ConfigurationServiceUnreadable.Log("error", m.err.Error())
	}
	if t.serviceHealthy {
		t.gossipInbox.TryPut(gossip.ServiceReachable{})
	}
}

// startReads starts the reads that are due.
func (t *Task) startReads(ctx context.Context) {
	now := t.clock.Now()
	if t.cancel == nil && !now.Before(t.nextHeadReadAt) && t.mayReadHead(now) {
		t.startHeadRead(ctx)
	}
	if t.vmListReader != nil && !t.readingVMList && t.duty.Kind == relay.Watch && !now.Before(t.nextVMListReadAt) {
		t.startVMListRead(ctx)
	}
}

func (t *Task) mayReadHead(now time.Time) bool {
	switch t.duty.Kind {
	case relay.Watch:
		return true
	case relay.Direct:
		return t.directReads.Allow(now)
	case relay.Idle:
	}
	return false
}

func (t *Task) startHeadRead(ctx context.Context) {
	ctx, t.cancel = context.WithCancel(ctx)
	delivered := false
	f := headReader{reader: t.serviceReader, after: t.duty.Head, headVersion: t.headVersion, wait: watchWait, deliver: func(m gossip.Message) {
		delivered = true
		t.gossipInbox.Put(m, t.Stopping())
	}}
	go func() {
		version, err := f.read(ctx)
		t.inbox.Put(headRead{version: version, delivered: delivered, err: err}, t.Done())
	}()
}

func (t *Task) startVMListRead(ctx context.Context) {
	t.readingVMList = true
	after := t.duty.ListVersion
	go func() {
		m, err := readVMList(ctx, t.vmListReader, after)
		if err == nil {
			t.gossipInbox.Put(gossip.VMListRead{Listing: m}, t.Stopping())
		}
		t.inbox.Put(vmListRead{err: err}, t.Done())
	}()
}

// nextTimeout returns how long the loop may wait for a message.
func (t *Task) nextTimeout() time.Duration {
	now := t.clock.Now()
	timeout := reportInterval
	if t.cancel == nil && t.duty.Kind != relay.Idle {
		timeout = min(timeout, max(t.nextHeadReadAt.Sub(now), t.directReadWait(now)))
	}
	if t.vmListReader != nil && !t.readingVMList && t.duty.Kind == relay.Watch {
		timeout = min(timeout, t.nextVMListReadAt.Sub(now))
	}
	return max(timeout, time.Millisecond)
}

func (t *Task) directReadWait(now time.Time) time.Duration {
	if t.duty.Kind == relay.Direct {
		return t.directReads.Wait(now)
	}
	return 0
}
