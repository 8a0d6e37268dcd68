package router

import (
	"jacinthcross/internal/base/alarm"
	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/clock"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/policy/route"
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/task/links"
	"jacinthcross/internal/task/local"
	"time"
)

// A Task owns the routing state of the daemon and the calls that entered here.
type Task struct {
	*tree.Loop
	vm         ident.VM
	dataCentre ident.DataCentre
	inbox      *mail.Box[Message]
	results    *mail.Box[call.Result]
	local      *mail.Box[local.Message]
	links      *mail.Box[links.Message]
	clock      clock.Clock
	alarms     *alarm.Queue[call.ID]
	release    *note.Release
	tables     map[ident.Service]*route.Table
	calls      map[call.ID]*pending
	attempts   map[call.ID]*attempt
	contexts   map[string]*local.Context
	keyWaits   map[ident.Target][]IssueKey
}

// A pending is a call that has no outcome yet.
type pending struct {
	Submit
	tried     []ident.Target
	attempt   *attempt
	allowance int
	used      int
	context   *local.Context
	reattach  int
}

// An attempt is one send of a call to a target.
type attempt struct {
	id      call.ID
	call    *pending
	target  note.Target
	key     string
	started time.Time
}

// An Option sets a property of a Task.
type Option func(*Task)

// WithClock sets the clock.
func WithClock(c clock.Clock) Option { return func(t *Task) { t.clock = c } }

// A Config names the daemon and the mailboxes of the tasks that the router talks to.
type Config struct {
	VM         ident.VM
	DataCentre ident.DataCentre
	Inbox      *mail.Box[Message]
	Local      *mail.Box[local.Message]
	Links      *mail.Box[links.Message]
}

// resultMailbox bounds the results that wait for the router. Senders wait when it is full.
const resultMailbox = 1024

// New starts the task.
func New(config Config, options ...Option) *Task {
	t := &Task{
		Loop:       tree.NewLoop(),
		vm:         config.VM,
		dataCentre: config.DataCentre,
		inbox:      config.Inbox,
		results:    mail.NewBox[call.Result](resultMailbox),
		local:      config.Local,
		links:      config.Links,
		clock:      clock.System{},
		alarms:     alarm.NewQueue[call.ID](),
		release:    note.NewRelease(),
		tables:     map[ident.Service]*route.Table{},
		calls:      map[call.ID]*pending{},
		attempts:   map[call.ID]*attempt{},
		contexts:   map[string]*local.Context{},
		keyWaits:   map[ident.Target][]IssueKey{},
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
	defer t.alarms.Stop()
	for {
		select {
		case m := <-t.inbox.C():
			t.receive(m)
		case r := <-t.results.C():
			t.finish(r)
		case <-t.alarms.C():
			for _, id := range t.alarms.Due(t.clock.Now()) {
				t.expire(id)
			}
		case <-t.Stopping():
			return nil
		}
	}
}

func (t *Task) receive(m Message) {
	switch m := m.(type) {
	case Submit:
		t.submit(m)
	case Cancel:
		t.cancel(m.ID)
	case IssueKey:
		t.issue(m)
	case ReleaseChanged:
		t.setRelease(m.Release)
	case ContextChanged:
		if m.Context.Closed {
			delete(t.contexts, m.Context.Token)
			return
		}
		t.contexts[m.Context.Token] = &m.Context
	case loadKnown:
		t.loadArrived(m)
	case loadUnknown:
		t.loadFailed(m)
	case StatusAsk:
		m.Reply.TryPut(Status{Calls: len(t.calls), Services: len(t.tables)})
	}
}

// setRelease updates the candidates of the services in use. Tables of other services are made on first use.
func (t *Task) setRelease(r *note.Release) {
	t.release = r
	for name, table := range t.tables {
		if _, ok := r.Services[name]; !ok {
			delete(t.tables, name)
			continue
		}
		table.SetCandidates(t.candidates(name), t.clock.Now())
	}
}

func (t *Task) table(service ident.Service) *route.Table {
	table, ok := t.tables[service]
	if !ok {
		table = route.NewTable(t.vm, t.dataCentre)
		table.SetCandidates(t.candidates(service), t.clock.Now())
		t.tables[service] = table
	}
	return table
}

func (t *Task) candidates(service ident.Service) []route.Candidate {
	var candidates []route.Candidate
	for _, target := range t.release.TargetsOf(service) {
		candidates = append(candidates, route.Candidate{
			Target: target.Name, VM: target.VM, DataCentre: target.DataCentre, Slots: target.Slots,
		})
	}
	return candidates
}
