package link

import (
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/call"
)

// While calls are in flight, a ping is sent after silenceTimeout without received bytes, and the connection is closed
// when the ping is not answered within pingTimeout.
const (
	silenceTimeout = 200 * time.Millisecond
	pingTimeout    = 300 * time.Millisecond
)

// checkSilence checks the connection when the silence timer fires, arms the timer for the next check, and reports
// whether to keep the connection.
func (t *Task) checkSilence(now time.Time) bool {
	if !t.pingSent.IsZero() {
		return t.checkPing(now)
	}
	if len(t.calls) == 0 {
		t.silenceArmed = false
		return true
	}
	since := t.session.LastReceived()
	if t.waitingSince.After(since) {
		since = t.waitingSince
	}
	if remaining := silenceTimeout - now.Sub(since); remaining > 0 {
		t.silenceTimer.Reset(remaining)
		return true
	}
	t.pingSent = now
	t.pingCheck = NewPingCheck(t.session.Progress())
	startPing(t)
	t.silenceTimer.Reset(pingTimeout)
	return true
}

// checkPing reports whether to keep waiting for the answer to a ping after pingTimeout, which it does while the
// connection is busy. After a pause of this process the answer may wait in the mailbox behind the timer, so a check that
// runs late restarts the timeout.
func (t *Task) checkPing(now time.Time) bool {
	if late := now.Sub(t.pingSent) > 2*pingTimeout; !t.pingCheck.IsBusy(t.session.Progress()) && !late {
		return false
	}
	t.pingSent = now
	t.silenceTimer.Reset(pingTimeout)
	return true
}

// errSilent is the error of calls that are given up because the peer is silent.
const errSilent = errors.ConstError("the peer did not answer a ping")

// Retired returns a channel that is closed when the peer is silent but the task keeps the connection for calls that may
// not be repeated. From then on, the task passes calls and exchanges to the function that WithReturnFunc set.
func (t *Task) Retired() <-chan struct{} { return t.retired }

func (t *Task) isRetired() bool {
	select {
	case <-t.retired:
		return true
	default:
		return false
	}
}

// retire gives up the connection to a silent peer and reports whether the task goes on for calls that may not be
// repeated. Such a call may still succeed at the peer, so it waits for its reply until its deadline. The other calls,
// and those that were not sent whole, are answered now, so that they are sent again.
func (t *Task) retire() bool {
	t.reportLost(errSilent.Error())
	for id, p := range t.calls {
		if p.abandon() || p.Request.IsRepeatable() {
			t.giveUp(id, p)
		}
	}
	if len(t.calls) == 0 {
		return false
	}
	close(t.retired)
	t.expireCalls(time.Now())
	return true
}

// giveUp answers a call as failed and closes its stream, which cancels the call at the peer when the connection works
// again.
func (t *Task) giveUp(id call.ID, p *pendingCall) {
	delete(t.calls, id)
	p.answer(t, p.failure(errSilent))
	p.stream.closeSoon()
}

// expireCalls gives up the calls of a retired connection whose deadline has passed, and arms the timer for the next
// deadline. The goroutine of a call cannot do so while it waits for the connection to take its bytes.
func (t *Task) expireCalls(now time.Time) {
	next := time.Duration(0)
	for id, p := range t.calls {
		remaining := p.Request.Deadline.Add(replyGrace).Sub(now)
		switch {
		case remaining <= 0:
			t.giveUp(id, p)
		case next == 0 || remaining < next:
			next = remaining
		}
	}
	if next > 0 {
		t.silenceTimer.Reset(next)
	}
}
