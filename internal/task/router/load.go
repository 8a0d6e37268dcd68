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
	"jacinthcross/internal/task/dialer"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/local"
	"jacinthcross/internal/wire/codec"
)

const (
	// maxLoadWaiters bounds the calls and key requests that wait for a load report of one target.
	maxLoadWaiters = 256
	// loadTimeout bounds the wait for a load report.
	loadTimeout = time.Second
)

// A waiter waits for a load report of a target: a waitingCall or a waitingKeyRequest.
type waiter interface{ waiter() }

// A waitingCall is a non-idempotent call whose internal key needs the incarnation of its target.
type waitingCall struct{ id call.ID }

// A waitingKeyRequest is a request for a key, with the targets that were tried for it.
type waitingKeyRequest struct {
	IssueKey
	tried []ident.Target
}

func (waitingCall) waiter()       {}
func (waitingKeyRequest) waiter() {}

// issueKey answers a request with a new key. The owner of the key is chosen like the target of a call.
func (t *Task) issueKey(m IssueKey, tried []ident.Target) {
	if _, ok := t.release.Services[m.Service]; !ok {
		kind := errs.UnknownService
		if t.release.Head.IsZero() {
			kind = errs.Unconfirmed
		}
		m.Reply.TryPut(IssuedKey{Kind: kind})
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
		m.Reply.TryPut(IssuedKey{Kind: kind})
		return
	}
	if load, ok := table.Load(target, maxLoadAgeForKey, now); ok {
		m.Reply.TryPut(IssuedKey{Key: ledger.NewKey(target, load.Incarnation, load.Epoch).String()})
		return
	}
	if !t.awaitLoad(t.release.Targets[target], waitingKeyRequest{m, append(slices.Clone(tried), target)}) {
		m.Reply.TryPut(IssuedKey{Kind: errs.Busy})
	}
}

// awaitLoad registers a waiter and requests the load of its target. It returns false if too many waiters are registered.
func (t *Task) awaitLoad(target note.Target, w waiter) bool {
	if len(t.loadWaiters[target.Name]) >= maxLoadWaiters {
		return false
	}
	t.loadWaiters[target.Name] = append(t.loadWaiters[target.Name], w)
	t.requestLoad(target)
	return true
}

// probe requests the load of the candidate that the table selects for a probe, within the probe budget.
func (t *Task) probe(table *route.Table, now time.Time) {
	if name, ok := table.NextProbe(now); ok {
		t.countProbe()
		t.requestLoad(t.release.Targets[name])
	}
}

// requestLoad asks the daemon beside a target for a load report, which includes its incarnation and epoch.
func (t *Task) requestLoad(target note.Target) {
	if t.loadRequested[target.Name] {
		return
	}
	t.loadRequested[target.Name] = true
	if target.VM == t.vm {
		t.requestLocalLoad(target.Name)
		return
	}
	t.requestPeerLoad(target)
}

func (t *Task) requestLocalLoad(name ident.Target) {
	reply := mail.NewBox[call.Load](1)
	sent := t.local.TryPut(local.LoadRequest{Reply: reply})
	go func() {
		timeout := time.NewTimer(loadTimeout)
		defer timeout.Stop()
		var m Message = loadFailure{name}
		if sent {
			select {
			case l := <-reply.C():
				m = loadReport{name, l}
			case <-timeout.C:
			case <-t.Done():
			}
		}
		t.inbox.Put(m, t.Done())
	}()
}

func (t *Task) requestPeerLoad(target note.Target) {
	reply := mail.NewBox[link.Answer](1)
	sent := t.dialer.TryPut(dialer.Message{Peer: target.Daemon, Message: link.Exchange{
		Message: codec.LoadRequest{Target: target.Name}, Reply: reply,
	}})
	go func() {
		timeout := time.NewTimer(loadTimeout)
		defer timeout.Stop()
		var m Message = loadFailure{target.Name}
		if sent {
			select {
			case a := <-reply.C():
				if l, ok := a.Message.(codec.LoadReply); ok && a.Err == nil {
					m = loadReport{target.Name, l.Load}
				}
			case <-timeout.C:
			case <-t.Done():
			}
		}
		t.inbox.Put(m, t.Done())
	}()
}

func (t *Task) handleLoadReport(m loadReport) {
	now := t.clock.Now()
	target, known := t.release.Targets[m.target]
	if known {
		t.table(target.Service).UpdateLoad(m.target, m.load, now)
	}
	usable := known && t.release.AcceptsCalls(target) && !m.load.Draining && !m.load.Incarnation.IsZero()
	if usable && m.load.Down {
		// A key whose owner is down is issued only if there is no other target.
		_, other := t.table(target.Service).Pick(now, []ident.Target{m.target})
		usable = !other
	}
	for _, w := range t.takeWaiters(m.target) {
		if !usable {
			t.tryOtherTarget(w, m.target)
			continue
		}
		key := ledger.NewKey(m.target, m.load.Incarnation, m.load.Epoch).String()
		switch w := w.(type) {
		case waitingKeyRequest:
			w.Reply.TryPut(IssuedKey{Key: key})
		case waitingCall:
			if p, ok := t.calls[w.id]; ok && p.awaitingLoad == m.target {
				p.awaitingLoad = ""
				t.send(p, &attempt{target: target, key: key})
			}
		}
	}
}

func (t *Task) handleLoadFailure(m loadFailure) {
	if target, ok := t.release.Targets[m.target]; ok {
		// The ID is 0 because no attempt was started.
		t.table(target.Service).RecordResult(m.target, 0, route.Failed{}, t.clock.Now())
	}
	for _, w := range t.takeWaiters(m.target) {
		t.tryOtherTarget(w, m.target)
	}
}

// tryOtherTarget continues a waiter with another target after the load of this one could not be obtained. Nothing was
// sent to the target, so this does not count as a retry.
func (t *Task) tryOtherTarget(w waiter, target ident.Target) {
	switch w := w.(type) {
	case waitingKeyRequest:
		t.issueKey(w.IssueKey, w.tried)
	case waitingCall:
		p, ok := t.calls[w.id]
		if !ok || p.awaitingLoad != target {
			return
		}
		p.awaitingLoad = ""
		p.tried = append(p.tried, target)
		if _, ok := t.table(p.Request.Service).Pick(t.clock.Now(), p.tried); !ok {
			if t.release.Evacuated[t.release.Targets[target].DataCentre] {
				t.conclude(p, t.noTarget(p))
				return
			}
			t.conclude(p, refusal(errs.PeerUnreachable, "no load report from target "+string(target)))
			return
		}
		t.sendNext(p)
	}
}

func (t *Task) takeWaiters(target ident.Target) []waiter {
	waiters := t.loadWaiters[target]
	delete(t.loadWaiters, target)
	delete(t.loadRequested, target)
	return waiters
}
