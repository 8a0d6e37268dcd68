// Package target is a simulated target: an HTTP server with slots, random service times and faults.
package target

import (
	"math/rand/v2"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/bench/bind"
	"jacinthcross/internal/bench/tally"
	"jacinthcross/internal/super/tree"
)

// Settings configure a target.
type Settings struct {
	Name        string
	Address     netip.AddrPort
	Slots       int
	ServiceTime Distribution
	Seed        uint64
	Noise       Noise
	Cold        ColdStart
	// An arriving call is shed if at least ShedAbove calls are queued. Zero means never.
	ShedAbove int
	// CrashMarker is a text that crashes the target when a query or body contains it. Empty means that no request does.
	CrashMarker string
	// Exit ends the process at a crash. When nil, a crash closes all connections and the task fails.
	Exit func()
	// Next is the service that the target calls, through the daemon at Daemon, while it runs a call. Empty means none.
	Next   string
	Daemon netip.AddrPort
	// OpenDelay is the time that a new connection takes to open. Its first bytes are read after that time.
	OpenDelay time.Duration
}

// A Message is what the task receives.
type Message interface{ message() }

// An Adjust replaces the slowdown and the draining state of the target.
type Adjust struct {
	// Slowdown multiplies all service times.
	Slowdown float64
	// Draining makes the target shed all new calls, with the header that says that they did not run.
	Draining bool
}

// A Crash ends the task, as a request with the crash marker does.
type Crash struct{}

type callArrived struct {
	id     call.ID
	marker string
	crash  bool
	reply  *mail.Box[decision]
}

// A callEnded reports that a call has finished or its caller has disconnected.
type callEnded struct{ id call.ID }

type stateRequest struct{ reply *mail.Box[State] }

func (Adjust) message()       {}
func (Crash) message()        {}
func (callArrived) message()  {}
func (callEnded) message()    {}
func (stateRequest) message() {}

// A decision on an arriving call is runCall, shedCall or crashNow.
type decision interface{ decision() }

type runCall struct{ serviceTime time.Duration }

type shedCall struct{}

type crashNow struct{}

func (runCall) decision()  {}
func (shedCall) decision() {}
func (crashNow) decision() {}

// A State is a snapshot of a target. InFlight and Queued count current calls, Shed all calls shed so far.
type State struct {
	InFlight int
	Queued   int
	Shed     int
}

// A Task serves the calls of a target and manages its slots and queue.
type Task struct {
	*tree.Loop
	settings Settings
	inbox    *mail.Box[Message]
	counts   *tally.Task
	server   *http.Server
	client   *http.Client
	random   *rand.Rand
	started  time.Time
	slowdown float64
	draining bool
	running  map[call.ID]bool
	queue    []callArrived
	shed     int
}

// ErrCrashed is the error of a task that received a request with the crash marker or a Crash.
var ErrCrashed = errors.New("simulated crash of the target, by a Crash message or a request with the crash marker")

const inboxSize = 8192

// NewInbox returns a mailbox for a target. It can be used again when the target restarts.
func NewInbox() *mail.Box[Message] { return mail.NewBox[Message](inboxSize) }

// New starts a target at the address in settings.
func New(settings Settings, inbox *mail.Box[Message], counts *tally.Task) (*Task, error) {
	l, err := bind.Listen(settings.Address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	t := &Task{
		Loop:     tree.NewLoop(),
		settings: settings,
		inbox:    inbox,
		counts:   counts,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: settings.Slots}},
		random:   rand.New(rand.NewPCG(settings.Seed, 1)),
		started:  time.Now(),
		slowdown: 1,
		running:  map[call.ID]bool{},
	}
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: 5 * time.Second}
	if settings.OpenDelay > 0 {
		l = slowListener{l, settings.OpenDelay}
	}
	go func() { _ = t.server.Serve(l) }()
	go func() {
		t.Run(t.loop)
	}()
	return t, nil
}

// State returns a snapshot of the target, zero after it has stopped.
func (t *Task) State() State {
	reply := mail.NewBox[State](1)
	t.inbox.Put(stateRequest{reply}, t.Done())
	select {
	case s := <-reply.C():
		return s
	case <-t.Done():
		return State{}
	}
}

func (t *Task) loop() error {
	defer t.client.CloseIdleConnections()
	defer t.server.Close()
	for {
		select {
		case m := <-t.inbox.C():
			if err := t.receive(m); err != nil {
				return err
			}
		case <-t.Stopping():
			return nil
		}
	}
}

func (t *Task) receive(m Message) error {
	switch m := m.(type) {
	case Adjust:
		t.slowdown, t.draining = m.Slowdown, m.Draining
	case callArrived:
		t.admit(m)
	case callEnded:
		t.release(m.id)
	case stateRequest:
		m.reply.TryPut(State{InFlight: len(t.running), Queued: len(t.queue), Shed: t.shed})
	case Crash:
		return ErrCrashed
	}
	return nil
}

func (t *Task) admit(a callArrived) {
	switch {
	case t.draining || t.settings.ShedAbove > 0 && len(t.queue) >= t.settings.ShedAbove:
		t.shed++
		a.reply.TryPut(shedCall{})
	case len(t.running) < t.settings.Slots:
		t.startCall(a)
	default:
		t.queue = append(t.queue, a)
	}
}

func (t *Task) startCall(a callArrived) {
	t.running[a.id] = true
	// A call counts as run from its start, since a crash during the call leaves its effect unknown.
	t.counts.Record(tally.RunReport{Target: t.settings.Name, Marker: a.marker})
	if a.crash {
		a.reply.TryPut(crashNow{})
		return
	}
	since := time.Since(t.started)
	d := float64(Sample(t.settings.ServiceTime, t.random))
	d *= t.slowdown * t.settings.Noise.factor(t.settings.Seed, since) * t.settings.Cold.factor(since)
	a.reply.TryPut(runCall{time.Duration(d)})
}

func (t *Task) release(id call.ID) {
	if !t.running[id] {
		for i, a := range t.queue {
			if a.id == id {
				t.queue = append(t.queue[:i:i], t.queue[i+1:]...)
				return
			}
		}
		return
	}
	delete(t.running, id)
	if len(t.queue) > 0 {
		a := t.queue[0]
		t.queue = t.queue[1:]
		t.startCall(a)
	}
}
