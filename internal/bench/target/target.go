// Package target is a stand-in for a target: an HTTP server with slots, a service time and faults.
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

// Settings are the properties of a target.
type Settings struct {
	Name    string
	Address netip.AddrPort
	Slots   int
	Times   Distribution
	Seed    uint64
	Noise   Noise
	Cold    Cold
	// ShedAbove refuses calls while more than this number wait for a slot. Zero never refuses.
	ShedAbove int
	// CrashMarker is the text in a request that crashes the target. Empty never crashes.
	CrashMarker string
	// Exit ends the process at a crash. Without it all connections are dropped and the task fails.
	Exit func()
	// Next is the service that each call calls through the daemon at Daemon. Empty calls none.
	Next   string
	Daemon netip.AddrPort
	// Opening is the time that a new connection takes to open: its first bytes are read only after it.
	Opening time.Duration
}

// A Message is what the task receives.
type Message interface{ message() }

// An Adjust changes how the target behaves from now on.
type Adjust struct {
	// Slowdown multiplies all service times.
	Slowdown float64
	// Draining refuses all new calls with proof.
	Draining bool
}

// A Crash ends the task as a request with the crash marker does.
type Crash struct{}

type arrive struct {
	id     call.ID
	marker string
	crash  bool
	reply  *mail.Box[verdict]
}

// A leave says that a call has finished or that its caller has gone.
type leave struct{ id call.ID }

type ask struct{ reply *mail.Box[State] }

func (Adjust) message() {}
func (Crash) message()  {}
func (arrive) message() {}
func (leave) message()  {}
func (ask) message()    {}

// A verdict is what happens to a call: run, shed or crash.
type verdict interface{ verdict() }

type run struct{ time time.Duration }

type shed struct{}

type crash struct{}

func (run) verdict()   {}
func (shed) verdict()  {}
func (crash) verdict() {}

// A State is what a target does now.
type State struct {
	InFlight int
	Waiting  int
	Shed     int
}

// A Task owns the socket, the slots and the queue of a target.
type Task struct {
	*tree.Loop
	settings Settings
	inbox    *mail.Box[Message]
	tally    *tally.Task
	server   *http.Server
	client   *http.Client
	random   *rand.Rand
	started  time.Time
	slowdown float64
	draining bool
	running  map[call.ID]bool
	queue    []arrive
	shed     int
}

// ErrCrashed is returned by the task after a request with the crash marker.
var ErrCrashed = errors.New("the target crashed on a request with the crash marker")

const mailbox = 8192

// NewBox returns a mailbox of a target. It outlives restarts of the target.
func NewBox() *mail.Box[Message] { return mail.NewBox[Message](mailbox) }

// New starts a target that listens at the address of the settings.
func New(settings Settings, inbox *mail.Box[Message], counts *tally.Task) (*Task, error) {
	l, err := bind.Listen(settings.Address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	t := &Task{
		Loop:     tree.NewLoop(),
		settings: settings,
		inbox:    inbox,
		tally:    counts,
		client:   &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: settings.Slots}},
		random:   rand.New(rand.NewPCG(settings.Seed, 1)),
		started:  time.Now(),
		slowdown: 1,
		running:  map[call.ID]bool{},
	}
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: 5 * time.Second}
	if settings.Opening > 0 {
		l = slowListener{l, settings.Opening}
	}
	go func() { _ = t.server.Serve(l) }()
	go func() {
		t.Run(t.loop)
	}()
	return t, nil
}

// State returns what the target does now.
func (t *Task) State() State {
	reply := mail.NewBox[State](1)
	t.inbox.Put(ask{reply}, t.Done())
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
	case arrive:
		t.arrive(m)
	case leave:
		t.leave(m.id)
	case ask:
		m.reply.TryPut(State{InFlight: len(t.running), Waiting: len(t.queue), Shed: t.shed})
	case Crash:
		return ErrCrashed
	}
	return nil
}

func (t *Task) arrive(a arrive) {
	switch {
	case t.draining || t.settings.ShedAbove > 0 && len(t.queue) >= t.settings.ShedAbove:
		t.shed++
		a.reply.TryPut(shed{})
	case len(t.running) < t.settings.Slots:
		t.start(a)
	default:
		t.queue = append(t.queue, a)
	}
}

func (t *Task) start(a arrive) {
	t.running[a.id] = true
	// A call counts as run from here: a crash in it leaves its effect in doubt.
	t.tally.Ran(tally.Ran{Target: t.settings.Name, Marker: a.marker})
	if a.crash {
		a.reply.TryPut(crash{})
		return
	}
	since := time.Since(t.started)
	d := float64(Sample(t.settings.Times, t.random))
	d *= t.slowdown * t.settings.Noise.factor(t.settings.Seed, since) * t.settings.Cold.factor(since)
	a.reply.TryPut(run{time.Duration(d)})
}

func (t *Task) leave(id call.ID) {
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
		t.start(a)
	}
}
