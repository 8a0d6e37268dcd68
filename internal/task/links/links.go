// Package links is the task that starts a link to each peer daemon in use and forwards messages to it.
package links

import (
	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/task/link"
	"net/netip"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"
)

// A Message asks to forward a message to the link to a peer.
type Message struct {
	Peer    netip.AddrPort
	Message link.Message
}

// linkMailbox bounds the messages that wait for one link.
const linkMailbox = 512

// A Task owns the links of the daemon.
type Task struct {
	*tree.Loop
	inbox   *mail.Box[Message]
	gone    chan netip.AddrPort
	links   map[netip.AddrPort]*entry
	maxSize int
	serve   func(*yamux.Session)
}

type entry struct {
	task *link.Task
	box  *mail.Box[link.Message]
}

// An Option sets a property of a Task.
type Option func(*Task)

// WithMaxSize bounds the size of a message from a peer in bytes.
func WithMaxSize(n int) Option { return func(t *Task) { t.maxSize = n } }

// WithServe sets what serves the streams that peers open on links that this daemon dialled.
func WithServe(serve func(*yamux.Session)) Option { return func(t *Task) { t.serve = serve } }

// New starts the task. It reads from inbox.
func New(inbox *mail.Box[Message], options ...Option) *Task {
	t := &Task{
		Loop:    tree.NewLoop(),
		inbox:   inbox,
		gone:    make(chan netip.AddrPort),
		links:   map[netip.AddrPort]*entry{},
		maxSize: 9 << 20,
		serve:   func(*yamux.Session) {},
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
	defer t.stopAll()
	for {
		select {
		case m := <-t.inbox.C():
			t.forward(m)
		case peer := <-t.gone:
			t.remove(peer)
		case <-t.Stopping():
			return nil
		}
	}
}

func (t *Task) forward(m Message) {
	e, ok := t.links[m.Peer]
	if ok {
		select {
		case <-e.task.Done():
			t.remove(m.Peer)
			ok = false
		default:
		}
	}
	if !ok {
		e = t.start(m.Peer)
	}
	if !e.box.TryPut(m.Message) {
		refuse(m.Message, errs.Busy, "the mailbox of the link is full")
	}
}

func (t *Task) start(peer netip.AddrPort) *entry {
	box := mail.NewBox[link.Message](linkMailbox)
	e := &entry{box: box, task: link.New(peer, box, link.WithMaxSize(t.maxSize), link.WithServe(t.serve))}
	t.links[peer] = e
	go func() {
		<-e.task.Done()
		select {
		case t.gone <- peer:
		case <-t.Done():
		}
	}()
	return e
}

// remove forgets a link that has ended and answers what was put into its mailbox after its end.
func (t *Task) remove(peer netip.AddrPort) {
	e, ok := t.links[peer]
	if !ok {
		return
	}
	select {
	case <-e.task.Done():
	default:
		return
	}
	delete(t.links, peer)
	for {
		select {
		case m := <-e.box.C():
			refuse(m, errs.PeerUnreachable, "the link has ended")
		default:
			return
		}
	}
}

func refuse(m link.Message, kind errs.Kind, detail string) {
	switch m := m.(type) {
	case link.Send:
		m.Reply.TryPut(call.Result{Attempt: m.ID, Outcome: call.Refused{
			Kind: kind, RetryAfter: errs.AnswerTo(kind).RetryAfter, Detail: detail,
		}})
	case link.Exchange:
		m.Reply.TryPut(link.Answer{Err: errors.New(detail)})
	}
}

func (t *Task) stopAll() {
	for _, e := range t.links {
		e.task.Stop()
	}
	for _, e := range t.links {
		<-e.task.Done()
	}
}
