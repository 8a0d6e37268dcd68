package router

import (
	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/policy/ledger"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/links"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/wire/codec"
)

// maxKeyWaits bounds the requests for keys that wait for the load of one target.
const maxKeyWaits = 256

// issue answers with a new key whose owner is chosen like the target of a call.
func (t *Task) issue(m IssueKey) {
	if _, ok := t.release.Services[m.Service]; !ok {
		m.Reply.TryPut(Issued{Kind: errs.UnknownService})
		return
	}
	table := t.table(m.Service)
	target, ok := table.Pick(t.clock.Now(), nil)
	if !ok {
		m.Reply.TryPut(Issued{Kind: errs.NoTarget})
		return
	}
	if load, ok := table.Load(target); ok {
		m.Reply.TryPut(Issued{Key: ledger.NewKey(target, load.Incarnation, load.Epoch).String()})
		return
	}
	if len(t.keyWaits[target]) >= maxKeyWaits {
		m.Reply.TryPut(Issued{Kind: errs.Busy})
		return
	}
	t.keyWaits[target] = append(t.keyWaits[target], m)
	t.askLoad(t.release.Targets[target])
}

// askLoad asks the daemon beside a target for its load, which names its incarnation and epoch.
func (t *Task) askLoad(target note.Target) {
	if target.VM == t.vm {
		reply := mail.NewBox[call.Load](1)
		t.local.TryPut(local.LoadAsk{Reply: reply})
		go func() {
			select {
			case l := <-reply.C():
				t.inbox.Put(loadKnown{target.Name, l}, t.Done())
			case <-t.Done():
			}
		}()
		return
	}
	reply := mail.NewBox[link.Answer](1)
	t.links.TryPut(links.Message{Peer: target.Daemon, Message: link.Exchange{
		Message: codec.LoadRequest{Target: target.Name}, Reply: reply,
	}})
	go func() {
		select {
		case a := <-reply.C():
			if m, ok := a.Message.(codec.LoadReply); ok && a.Err == nil {
				t.inbox.Put(loadKnown{target.Name, m.Load}, t.Done())
				return
			}
			t.inbox.Put(loadUnknown{target.Name, a}, t.Done())
		case <-t.Done():
		}
	}()
}

func (t *Task) loadArrived(m loadKnown) {
	table := t.table(t.serviceOf(m.target))
	table.Heard(m.target, m.load, t.clock.Now())
	for _, w := range t.takeKeyWaits(m.target) {
		w.Reply.TryPut(Issued{Key: ledger.NewKey(m.target, m.load.Incarnation, m.load.Epoch).String()})
	}
}

func (t *Task) loadFailed(m loadUnknown) {
	for _, w := range t.takeKeyWaits(m.target) {
		w.Reply.TryPut(Issued{Kind: errs.PeerUnreachable})
	}
}

func (t *Task) takeKeyWaits(target ident.Target) []IssueKey {
	waits := t.keyWaits[target]
	delete(t.keyWaits, target)
	return waits
}
