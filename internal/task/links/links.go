// Package links is the task that starts a link to each peer daemon in use and forwards messages to it.
package links

import (
	"net/netip"
	"slices"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/super/tree"
	"jacinthcross/internal/task/link"
)

// A Message asks to forward a message to the link to a peer. A link.Notify goes only to a
// link that is open, and to all of them when Peer is the zero value.
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
	backoff *backoff
	options []link.Option
}

type entry struct {
	task *link.Task
	box  *mail.Box[link.Message]
	// dialled is when the link dials, or has dialled.
	dialled time.Time
}

// An Option sets a property of a Task.
type Option func(*Task)

// WithLinkOptions sets the options of each link.
func WithLinkOptions(options ...link.Option) Option {
	return func(t *Task) { t.options = append(t.options, options...) }
}

// New starts the task. It reads from inbox.
func New(inbox *mail.Box[Message], options ...Option) *Task {
	t := &Task{
		Loop:    tree.NewLoop(),
		inbox:   inbox,
		gone:    make(chan netip.AddrPort),
		links:   map[netip.AddrPort]*entry{},
		backoff: newBackoff(),
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
	if n, ok := m.Message.(link.Notify); ok {
		t.notify(m.Peer, n)
		return
	}
	e, ok := t.links[m.Peer]
	if ok && ended(e) {
		t.remove(m.Peer)
		e, ok = t.links[m.Peer]
	}
	if !ok {
		if _, cancel := m.Message.(link.Cancel); cancel {
			return
		}
		e = t.start(m.Peer, t.backoff.wait(m.Peer, time.Now()))
	}
	if wait := time.Until(e.dialled); wait > 0 && !waits(m.Message) {
		t.refuseFor(m.Message, errs.PeerUnreachable, wait, "peer "+m.Peer.String()+" failed; it is dialled again in "+wait.String())
		return
	}
	if !e.box.TryPut(m.Message) {
		t.refuse(m.Message, errs.Busy, "the mailbox of the link is full")
	}
}

// waits reports whether a message waits for the next dial of a peer that failed. A call does not,
// since another target may take it; an exchange is with this peer only.
func waits(m link.Message) bool {
	_, ok := m.(link.Exchange)
	return ok
}

func ended(e *entry) bool {
	select {
	case <-e.task.Done():
		return true
	default:
		return false
	}
}

func (t *Task) notify(peer netip.AddrPort, m link.Notify) {
	if e, ok := t.links[peer]; ok {
		e.box.TryPut(m)
		return
	}
	if peer.IsValid() {
		return
	}
	for _, e := range t.links {
		e.box.TryPut(m)
	}
}

// start starts the link to a peer, which dials after delay.
func (t *Task) start(peer netip.AddrPort, delay time.Duration) *entry {
	box := mail.NewBox[link.Message](linkMailbox)
	options := append(slices.Clip(t.options), link.WithDialDelay(delay))
	e := &entry{box: box, task: link.New(peer, box, options...), dialled: time.Now().Add(delay)}
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

// remove forgets a link that has ended. Messages that were put into its mailbox and not
// taken go to a new link when the old one had been open: nothing of them was sent.
func (t *Task) remove(peer netip.AddrPort) {
	e, ok := t.links[peer]
	if !ok || !ended(e) {
		return
	}
	delete(t.links, peer)
	now := time.Now()
	opened := e.task.Err() == nil
	if opened && now.Sub(e.dialled) >= stableAfter {
		t.backoff.worked(peer)
	} else {
		t.backoff.failed(peer, opened, now)
	}
	for {
		select {
		case m := <-e.box.C():
			t.passOn(peer, m, e.task.Err())
		default:
			return
		}
	}
}

// passOn handles a message that a link left behind. err is nil when the link had been open.
func (t *Task) passOn(peer netip.AddrPort, m link.Message, err error) {
	switch m.(type) {
	case link.Send, link.Exchange:
		if err != nil {
			t.refuse(m, errs.PeerUnreachable, err.Error())
			return
		}
		t.forward(Message{Peer: peer, Message: m})
	}
}

func (t *Task) refuse(m link.Message, kind errs.Kind, detail string) {
	t.refuseFor(m, kind, errs.AnswerTo(kind).RetryAfter, detail)
}

func (t *Task) refuseFor(m link.Message, kind errs.Kind, retryAfter time.Duration, detail string) {
	switch m := m.(type) {
	case link.Send:
		m.Reply.Put(call.Result{Attempt: m.ID, Outcome: call.Refused{
			Kind: kind, RetryAfter: retryAfter, Detail: detail,
		}}, t.Stopping())
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
