// Package dialer is the task that owns the links to the peer daemons. It dials a peer when a message for it arrives and
// forwards the message to its link.
package dialer

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

// A Message is forwarded to the link to a peer. A link.Notify starts no link, and goes to all existing links when Peer
// is the zero value, or to one of them, chosen at random, if OneLink is true.
type Message struct {
	Peer    netip.AddrPort
	Message link.Message
	OneLink bool
}

// linkMailboxSize limits the queued messages of one link.
const linkMailboxSize = 512

// A Task owns the links of the daemon.
type Task struct {
	*tree.Loop
	inbox *mail.Box[Message]
	// changed receives a link that was retired or has ended.
	changed chan *linkEntry
	// returned receives the messages that a retired link has not sent.
	returned chan Message
	links    map[linkKey]*linkEntry
	// retired holds the links to silent peers that wait for the replies to calls that may not be repeated. Each of them
	// ends at the deadline of its last call, which limits their number.
	retired map[netip.AddrPort][]*linkEntry
	backoff *backoff
	options []link.Option
}

// A linkKey identifies a link. Calls with large bodies use a link of their own, so that nothing else waits behind them.
type linkKey struct {
	peer netip.AddrPort
	bulk bool
}

// keyFor returns the link for a message to a peer.
func keyFor(peer netip.AddrPort, m link.Message) linkKey {
	s, ok := m.(link.Send)
	return linkKey{peer, ok && len(s.Request.Body) > link.MaxSmallBody}
}

type linkEntry struct {
	linkKey
	task *link.Task
	box  *mail.Box[link.Message]
	// dialAt is when the link dials or dialled.
	dialAt time.Time
}

// An Option sets a property of a Task.
type Option func(*Task)

// WithLinkOptions adds options for each link.
func WithLinkOptions(options ...link.Option) Option {
	return func(t *Task) { t.options = append(t.options, options...) }
}

// New starts the task. It reads from inbox.
func New(inbox *mail.Box[Message], options ...Option) *Task {
	t := &Task{
		Loop:     tree.NewLoop(),
		inbox:    inbox,
		changed:  make(chan *linkEntry),
		returned: make(chan Message),
		retired:  map[netip.AddrPort][]*linkEntry{},
		links:    map[linkKey]*linkEntry{},
		backoff:  newBackoff(),
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
		case m := <-t.returned:
			t.forwardUnsent(m.Peer, m.Message, nil)
		case e := <-t.changed:
			t.update(e)
		case <-t.Stopping():
			return nil
		}
	}
}

func (t *Task) forward(m Message) {
	if n, ok := m.Message.(link.Notify); ok {
		t.notify(m.Peer, n, m.OneLink)
		return
	}
	if c, ok := m.Message.(link.Cancel); ok {
		t.cancel(m.Peer, c)
		// A call that may not be repeated may be in flight on a retired link, and the others ignore its cancellation. The
		// search for the current links may have found that one was retired.
		for _, e := range t.retired[m.Peer] {
			e.box.TryPut(c)
		}
		return
	}
	key := keyFor(m.Peer, m.Message)
	e, ok := t.current(key)
	if !ok {
		e = t.startLink(key, t.backoff.wait(key, time.Now()))
	}
	if wait := time.Until(e.dialAt); wait > 0 && !waitsForDial(m.Message) {
		t.refuseWithRetry(m.Message, errs.PeerUnreachable, wait, "peer "+m.Peer.String()+" is unreachable; next dial in "+wait.String())
		return
	}
	if !e.box.TryPut(m.Message) {
		t.refuse(m.Message, errs.Busy, "the queue of messages to the peer is full")
	}
}

// current returns the link that sends new messages, if there is one.
func (t *Task) current(key linkKey) (*linkEntry, bool) {
	e, ok := t.links[key]
	if ok && (isClosed(e.task.Done()) || isClosed(e.task.Retired())) {
		t.update(e)
		e, ok = t.links[key]
	}
	return e, ok
}

// cancel cancels a call on the current links to a peer.
func (t *Task) cancel(peer netip.AddrPort, m link.Cancel) {
	for _, bulk := range []bool{false, true} {
		if e, ok := t.current(linkKey{peer, bulk}); ok {
			e.box.TryPut(m)
		}
	}
}

// waitsForDial reports whether a message may wait for the next dial of a peer that has failed. A call does not wait,
// since another target may serve it, but an exchange can be answered only by this peer.
func waitsForDial(m link.Message) bool {
	_, ok := m.(link.Exchange)
	return ok
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
}

func (t *Task) notify(peer netip.AddrPort, m link.Notify, oneLink bool) {
	if e, ok := t.links[linkKey{peer: peer}]; ok {
		e.box.TryPut(m)
		return
	}
	if peer.IsValid() {
		return
	}
	for _, e := range t.links {
		if e.bulk {
			continue
		}
		e.box.TryPut(m)
		if oneLink {
			// The iteration order of a map is random.
			return
		}
	}
}

// startLink starts a link, which dials after delay.
func (t *Task) startLink(key linkKey, delay time.Duration) *linkEntry {
	box := mail.NewBox[link.Message](linkMailboxSize)
	options := append(slices.Clip(t.options), link.WithDialDelay(delay),
		link.WithReturnFunc(func(m link.Message, stopping <-chan struct{}) {
			select {
			case t.returned <- Message{Peer: key.peer, Message: m}:
			case <-stopping:
			}
		}))
	if key.bulk {
		options = append(options, link.WithBulk())
	}
	e := &linkEntry{linkKey: key, box: box, task: link.New(key.peer, box, options...), dialAt: time.Now().Add(delay)}
	t.links[key] = e
	notify := func() {
		select {
		case t.changed <- e:
		case <-t.Done():
		}
	}
	go func() {
		select {
		case <-e.task.Retired():
			notify()
		case <-e.task.Done():
		}
		<-e.task.Done()
		notify()
	}()
	return e
}

// update removes a link that was retired or has ended from the links that send new messages. The messages left in the
// mailbox of an ended link were not sent, so they go to a new link if the connection had been opened, and are refused
// otherwise.
func (t *Task) update(e *linkEntry) {
	ended := isClosed(e.task.Done())
	if t.links[e.linkKey] == e {
		t.supersede(e, ended)
	}
	if !ended {
		return
	}
	if i := slices.Index(t.retired[e.peer], e); i >= 0 {
		t.retired[e.peer] = slices.Delete(t.retired[e.peer], i, i+1)
		if len(t.retired[e.peer]) == 0 {
			delete(t.retired, e.peer)
		}
	}
	for {
		select {
		case m := <-e.box.C():
			t.forwardUnsent(e.peer, m, e.task.Err())
		default:
			return
		}
	}
}

// supersede removes a link from the links that send new messages, and records whether its connection was stable.
func (t *Task) supersede(e *linkEntry, ended bool) {
	delete(t.links, e.linkKey)
	now := time.Now()
	opened := !ended || e.task.Err() == nil
	if opened && now.Sub(e.dialAt) >= stableTime {
		t.backoff.recordSuccess(e.linkKey)
	} else {
		t.backoff.recordFailure(e.linkKey, opened, now)
	}
	if !ended {
		t.retired[e.peer] = append(t.retired[e.peer], e)
	}
	if e.bulk && e.task.Lost() {
		t.checkPeer(e.peer, now)
	}
}

// checkPeer opens the link for small messages to a peer to which the other one has failed, since only that link reports
// a lost peer: a connection for large bodies can fail because others fill the network link.
func (t *Task) checkPeer(peer netip.AddrPort, now time.Time) {
	key := linkKey{peer: peer}
	if _, ok := t.current(key); !ok {
		t.startLink(key, t.backoff.wait(key, now))
	}
}

// forwardUnsent forwards a message that an ended or retired link did not send to a new link, or refuses it if err, the
// error of the dial, is not nil.
func (t *Task) forwardUnsent(peer netip.AddrPort, m link.Message, err error) {
	switch m := m.(type) {
	case link.Cancel:
		// The call may have been forwarded before.
		t.cancel(peer, m)
	case link.Send, link.Exchange:
		if err != nil {
			t.refuse(m, errs.PeerUnreachable, err.Error())
			return
		}
		t.forward(Message{Peer: peer, Message: m})
	}
}

// refuse refuses a message with the default retry delay of the error kind.
func (t *Task) refuse(m link.Message, kind errs.Kind, detail string) {
	t.refuseWithRetry(m, kind, errs.ResponseFor(kind).RetryAfter, detail)
}

func (t *Task) refuseWithRetry(m link.Message, kind errs.Kind, retryAfter time.Duration, detail string) {
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
	var all []*linkEntry
	for _, e := range t.links {
		all = append(all, e)
	}
	for _, retired := range t.retired {
		all = append(all, retired...)
	}
	for _, e := range all {
		e.task.Stop()
	}
	for _, e := range all {
		<-e.task.Done()
	}
}
