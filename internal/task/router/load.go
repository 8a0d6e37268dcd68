package router

import (
	"slices"
	"time"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/policy/ledger"
	"jacinthcross/internal/policy/route"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/links"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/wire/codec"
)

const (
	// maxWaits bounds the calls and requests for keys that wait for the load of one target.
	maxWaits = 256
	// askTimeout bounds the wait for a load.
	askTimeout = time.Second
)

// A waiter waits for the load of a target: a callWait or a keyWait.
type waiter interface{ waiter() }

// A callWait is a non-idempotent call that needs the incarnation of its target for its internal key.
type callWait struct{ id call.ID }

// A keyWait is a request for a key.
type keyWait struct {
	IssueKey
	tried []ident.Target
}

func (callWait) waiter() {}
func (keyWait) waiter()  {}

// issue answers with a new key whose owner is chosen like the target of a call.
func (t *Task) issue(m IssueKey, tried []ident.Target) {
	if _, ok := t.release.Services[m.Service]; !ok {
		kind := errs.UnknownService
		if t.release.Head.IsZero() {
			kind = errs.Unconfirmed
		}
		m.Reply.TryPut(Issued{Kind: kind})
		return
	}
	now := t.clock.Now()
	table := t.table(m.Service)
	target, ok := table.Pick(now, tried)
	if !ok {
		kind := errs.NoTarget
		if len(tried) > 0 {
			kind = errs.PeerUnreachable
		}
		m.Reply.TryPut(Issued{Kind: kind})
		return
	}
	if load, ok := table.Load(target, keyAge, now); ok {
		m.Reply.TryPut(Issued{Key: ledger.NewKey(target, load.Incarnation, load.Epoch).String()})
		return
	}
	if !t.wait(t.release.Targets[target], keyWait{m, append(slices.Clone(tried), target)}) {
		m.Reply.TryPut(Issued{Kind: errs.Busy})
	}
}

// wait asks for the load of a target on behalf of a waiter, or reports false when too many wait.
func (t *Task) wait(target note.Target, w waiter) bool {
	if len(t.waits[target.Name]) >= maxWaits {
		return false
	}
	t.waits[target.Name] = append(t.waits[target.Name], w)
	t.ask(target)
	return true
}

// probe asks for the load of a candidate that was silent for long, within the probe budget.
func (t *Task) probe(table *route.Table, now time.Time) {
	if name, ok := table.Probe(now); ok {
		t.probed()
		t.ask(t.release.Targets[name])
	}
}

// ask asks the daemon beside a target for its load, which names its incarnation and epoch.
func (t *Task) ask(target note.Target) {
	if t.asking[target.Name] {
		return
	}
	t.asking[target.Name] = true
	if target.VM == t.vm {
		t.askLocal(target.Name)
		return
	}
	t.askPeer(target)
}

func (t *Task) askLocal(name ident.Target) {
	reply := mail.NewBox[call.Load](1)
	sent := t.local.TryPut(local.LoadAsk{Reply: reply})
	go func() {
		timeout := time.NewTimer(askTimeout)
		defer timeout.Stop()
		var m Message = loadUnknown{name}
		if sent {
			select {
			case l := <-reply.C():
				m = loadKnown{name, l}
			case <-timeout.C:
			case <-t.Done():
			}
		}
		t.inbox.Put(m, t.Done())
	}()
}

func (t *Task) askPeer(target note.Target) {
	reply := mail.NewBox[link.Answer](1)
	sent := t.links.TryPut(links.Message{Peer: target.Daemon, Message: link.Exchange{
		Message: codec.LoadRequest{Target: target.Name}, Reply: reply,
	}})
	go func() {
		timeout := time.NewTimer(askTimeout)
		defer timeout.Stop()
		var m Message = loadUnknown{target.Name}
		if sent {
			select {
			case a := <-reply.C():
				if l, ok := a.Message.(codec.LoadReply); ok && a.Err == nil {
					m = loadKnown{target.Name, l.Load}
				}
			case <-timeout.C:
			case <-t.Done():
			}
		}
		t.inbox.Put(m, t.Done())
	}()
}

func (t *Task) loadArrived(m loadKnown) {
	now := t.clock.Now()
	target, known := t.release.Targets[m.target]
	if known {
		t.table(target.Service).Heard(m.target, m.load, now)
	}
	usable := known && !m.load.Draining && !m.load.Incarnation.IsZero()
	if usable && m.load.Down {
		// A key whose owner cannot run calls is worth issuing only when there is no other owner.
		_, other := t.table(target.Service).Pick(now, []ident.Target{m.target})
		usable = !other
	}
	for _, w := range t.takeWaits(m.target) {
		if !usable {
			t.elsewhere(w, m.target)
			continue
		}
		key := ledger.NewKey(m.target, m.load.Incarnation, m.load.Epoch).String()
		switch w := w.(type) {
		case keyWait:
			w.Reply.TryPut(Issued{Key: key})
		case callWait:
			if p, ok := t.calls[w.id]; ok && p.waiting == m.target {
				p.waiting = ""
				t.send(p, &attempt{target: target, key: key})
			}
		}
	}
}

func (t *Task) loadFailed(m loadUnknown) {
	if target, ok := t.release.Targets[m.target]; ok {
		t.table(target.Service).Finished(m.target, 0, route.Failed{}, t.clock.Now())
	}
	for _, w := range t.takeWaits(m.target) {
		t.elsewhere(w, m.target)
	}
}

// elsewhere lets a waiter try another target than the one whose load is not known. Nothing was sent
// there, so that this is no retry.
func (t *Task) elsewhere(w waiter, target ident.Target) {
	switch w := w.(type) {
	case keyWait:
		t.issue(w.IssueKey, w.tried)
	case callWait:
		p, ok := t.calls[w.id]
		if !ok || p.waiting != target {
			return
		}
		p.waiting = ""
		p.tried = append(p.tried, target)
		if _, ok := t.table(p.Request.Service).Pick(t.clock.Now(), p.tried); !ok {
			t.conclude(p, refusal(errs.PeerUnreachable, "no load of target "+string(target)))
			return
		}
		t.try(p)
	}
}

func (t *Task) takeWaits(target ident.Target) []waiter {
	waits := t.waits[target]
	delete(t.waits, target)
	delete(t.asking, target)
	return waits
}
