// Package warm decides when requests may be sent to a target that tolerates only a low rate of requests while it is cold,
// which it is for some time after its start.
package warm

import (
	"time"
)

// A Source says how it is known until when a target is cold.
type Source string

const (
	// None means that the target has not been cold so far.
	None Source = ""
	// HealthResponse is the target's response to a health check.
	HealthResponse Source = "HealthResponse"
	// Entry is the entry of the target in the registry.
	Entry Source = "Entry"
	// ObservedStart is a start of the target that the daemon has observed.
	ObservedStart Source = "ObservedStart"
	// Assumed means that the daemon has just started and knows nothing of the target.
	Assumed Source = "Assumed"
)

const (
	// window is the period over which the requests to a cold target are limited.
	window = time.Second
	// maxBurst is the number of requests that are allowed at once. The rate is kept over the time in which that many are
	// allowed, too. Otherwise the first calls in each second would take all of it, whatever their rank. In three
	// seconds of TestColdStartOfAllTargets, 385 of about 600 urgent calls were served with a quarter of the rate at once,
	// and 555 with 2.
	maxBurst = 2
	// minAssumedTime is how long a target is assumed to be cold if the service does not say how long a target is cold
	// after its start.
	minAssumedTime = window
	// CheckInterval is the time without a health check after which the state of a target is checked while it gets calls.
	CheckInterval = time.Second
	// entryTolerance is by how much the time in an entry may change without being news. Entries hold the remaining time,
	// which is rounded and delayed on its way from daemon to daemon.
	entryTolerance = 100 * time.Millisecond
	// minCheckInterval bounds the checks that are made earlier because of starts or closed connections.
	minCheckInterval = 200 * time.Millisecond
	// checkTimeout is how long requests are limited because of a check that is due. A target answers within about 1 ms.
	checkTimeout = 100 * time.Millisecond
)

// A Limiter limits the requests to one target while that target is cold. Without a rate it never limits anything. It is
// not safe for concurrent use.
type Limiter struct {
	rate      float64
	coldStart time.Duration
	overage   float64
	slack     float64
	// sent holds the times of the last requests, oldest first, as far as the windows need them.
	sent      []time.Time
	coldUntil time.Time
	source    Source
	// blockedUntil is when a daemon that has just started knows all requests of the last window.
	blockedUntil time.Time
	// warmAt is the value of the last entry.
	warmAt time.Time
	// checkedAt is when the last health check ended, and checkRequestedAt when the last one was requested. The latter is
	// zero if that check has ended.
	checkedAt        time.Time
	checkRequestedAt time.Time
	// lastRequestedAt is when the last health check was requested, whether or not it has ended.
	lastRequestedAt time.Time
	// neverChecked is set for targets without a health path.
	neverChecked bool
}

// An Option sets a property of a Limiter.
type Option func(*Limiter)

// WithBound sets the number of requests that a cold target may get in a second: the rate times overage, plus slack. The
// Limiter keeps to the rate times overage, and reports whether the bound was exceeded.
func WithBound(overage, slack float64) Option {
	return func(l *Limiter) { l.overage, l.slack = overage, slack }
}

// New returns a Limiter without a rate.
func New(options ...Option) *Limiter {
	l := &Limiter{overage: 1}
	for _, o := range options {
		o(l)
	}
	return l
}

// SetService sets the rate of requests that a cold target tolerates, 0 meaning that there is no limit, how long a target
// is cold after its start, and whether it has a health path. If there was no rate before, the target is assumed to be
// cold and to have got as many requests as it tolerates: a daemon that has just started does not know what was sent
// before.
func (l *Limiter) SetService(rate float64, coldStart time.Duration, hasHealthPath bool, now time.Time) {
	wasEnabled := l.Enabled()
	l.rate, l.coldStart, l.neverChecked = rate, coldStart, !hasHealthPath
	if l.Enabled() && !wasEnabled {
		l.sent, l.warmAt = nil, time.Time{}
		l.Recheck()
		l.coldUntil, l.source = now.Add(max(coldStart, minAssumedTime)), Assumed
		l.blockedUntil = now.Add(window)
	}
}

// Enabled reports whether the service limits the requests to cold targets.
func (l *Limiter) Enabled() bool { return l != nil && l.rate > 0 }

// RecordHealth records that the target itself has told for how long it stays cold, 0 meaning that it is warm.
func (l *Limiter) RecordHealth(untilWarm time.Duration, now time.Time) {
	l.recordCheck(now)
	l.coldUntil, l.source = now.Add(max(0, untilWarm)), HealthResponse
	if untilWarm <= 0 {
		l.blockedUntil = time.Time{}
	}
}

// RecordNoHealth records that a health check has ended without telling whether the target is cold. What is known from
// other sources then decides.
func (l *Limiter) RecordNoHealth(now time.Time) { l.recordCheck(now) }

func (l *Limiter) recordCheck(now time.Time) { l.checkedAt, l.checkRequestedAt = now, time.Time{} }

// RecordEntry records the time at which the target is warm according to its entry, or zero. Only a change counts, as the
// same entry is read again with each change of others. Entries are written and read after a delay, and those of
// processes that have crashed remain. An entry without a time is therefore no proof that the target is warm, and one with
// a time makes a check due.
func (l *Limiter) RecordEntry(warmAt, now time.Time) {
	if warmAt.Sub(l.warmAt).Abs() <= entryTolerance {
		return
	}
	l.warmAt = warmAt
	if warmAt.After(now) {
		l.coldUntil, l.source = warmAt, Entry
		l.Recheck()
	}
}

// RecordStart records that the target has just started. No request was sent to this process before.
func (l *Limiter) RecordStart(now time.Time) {
	l.coldUntil, l.source = later(l.coldUntil, now.Add(l.coldStart)), ObservedStart
	l.blockedUntil = time.Time{}
	l.Recheck()
}

// Recheck makes a check of the target's state due at once, unless the last one was requested less than minCheckInterval
// ago.
func (l *Limiter) Recheck() { l.checkedAt, l.checkRequestedAt = time.Time{}, time.Time{} }

// RecordSend records that a request was sent to the target.
func (l *Limiter) RecordSend(now time.Time) {
	if !l.Enabled() {
		return
	}
	l.trim(now)
	l.sent = append(l.sent, now)
}

// ForgetSends drops the recorded requests, which were sent to a process of the target that has ended.
func (l *Limiter) ForgetSends() { l.sent = nil }

// WithdrawSend removes the last recorded request, which was not sent after all.
func (l *Limiter) WithdrawSend() {
	if len(l.sent) > 0 {
		l.sent = l.sent[:len(l.sent)-1]
	}
}

// trim drops the times that no window covers any more.
func (l *Limiter) trim(now time.Time) {
	expired := 0
	for expired < len(l.sent) && now.Sub(l.sent[expired]) >= l.longWindow() {
		expired++
	}
	l.sent = append(l.sent[:0], l.sent[expired:]...)
}

// longWindow returns the period over which capacity requests are allowed. It is longer than a second if the rate is below
// one request per second.
func (l *Limiter) longWindow() time.Duration {
	if l.allowedRate() >= 1 {
		return window
	}
	return time.Duration(float64(window) / l.allowedRate())
}

// allowedRate is the number of requests per second that the limiter allows while the target is cold. Only this daemon sends
// requests to the target, so the slack of the bound suffices as a margin.
func (l *Limiter) allowedRate() float64 { return l.rate * l.overage }

func (l *Limiter) capacity() int { return max(1, int(l.allowedRate())) }

// burstWindow returns the period in which maxBurst requests are allowed.
func (l *Limiter) burstWindow() time.Duration {
	return l.longWindow() * maxBurst / time.Duration(max(maxBurst, l.capacity()))
}

// Cold reports whether the target is cold, as far as is known.
func (l *Limiter) Cold(now time.Time) bool { return l.UntilWarm(now) > 0 }

// UntilWarm returns how long the target stays cold, or 0 if it is warm or has no limit.
func (l *Limiter) UntilWarm(now time.Time) time.Duration {
	if !l.Enabled() {
		return 0
	}
	return max(0, l.coldUntil.Sub(now))
}

// Source returns how the state of the target is known.
func (l *Limiter) Source() Source { return l.source }

// Limited reports whether the requests to the target are limited now: it is cold, or may be, as a check is due that has
// not ended yet.
func (l *Limiter) Limited(now time.Time) bool { return now.Before(l.limitedUntil(now)) }

// limitedUntil returns the time until which requests are limited, or a time that is not after now.
func (l *Limiter) limitedUntil(now time.Time) time.Time {
	if !l.Enabled() {
		return time.Time{}
	}
	until := l.coldUntil
	switch {
	case l.checkRequestedAt.IsZero() && l.checkStale(now) && now.Sub(l.lastRequestedAt) >= minCheckInterval:
		until = later(until, now.Add(checkTimeout))
	case !l.checkRequestedAt.IsZero():
		until = later(until, l.checkRequestedAt.Add(checkTimeout))
	}
	return until
}

// checkStale reports whether the state of the target has not been checked for too long.
func (l *Limiter) checkStale(now time.Time) bool {
	return !l.neverChecked && now.Sub(l.checkedAt) >= CheckInterval
}

// RequestCheck reports whether the health path of the target should be requested now that it has a call, and if so
// records that it is.
func (l *Limiter) RequestCheck(now time.Time) bool {
	if !l.Enabled() || !l.checkStale(now) || now.Sub(l.lastRequestedAt) < minCheckInterval ||
		!l.checkRequestedAt.IsZero() && now.Sub(l.checkRequestedAt) < CheckInterval {
		return false
	}
	l.checkRequestedAt, l.lastRequestedAt = now, now
	return true
}

// CheckPending reports whether a check that was requested may soon tell that the target is warm, and until when it is
// waited for.
func (l *Limiter) CheckPending(now time.Time) (time.Time, bool) {
	if !l.Enabled() || l.checkRequestedAt.IsZero() || l.Cold(now) && l.source != Assumed {
		return time.Time{}, false
	}
	until := l.checkRequestedAt.Add(checkTimeout)
	return until, until.After(now)
}

// MayStart reports whether a request may be sent now.
func (l *Limiter) MayStart(now time.Time) bool { return !l.StartTime(0, now).After(now) }

// Available returns how many requests may be sent now, of at most n.
func (l *Limiter) Available(n int, now time.Time) int {
	for i := range n {
		if l.StartTime(i, now).After(now) {
			return i
		}
	}
	return n
}

// StartTime returns when a request may be sent, if n others are sent before it as early as is allowed.
func (l *Limiter) StartTime(n int, now time.Time) time.Time {
	until := l.limitedUntil(now)
	if !until.After(now) {
		return now
	}
	capacity := l.capacity()
	earliest := later(now, l.blockedUntil)
	times := append(make([]time.Time, 0, len(l.sent)+n+1), l.sent...)
	for range n + 1 {
		at := earliest
		if i := len(times) - capacity; i >= 0 {
			at = later(at, times[i].Add(l.longWindow()))
		}
		if i := len(times) - maxBurst; i >= 0 {
			at = later(at, times[i].Add(l.burstWindow()))
		}
		if !at.Before(until) {
			return until
		}
		times = append(times, at)
	}
	return times[len(times)-1]
}

// SentInLastSecond returns the number of requests that were sent in the last second.
func (l *Limiter) SentInLastSecond(now time.Time) int {
	n := 0
	for _, at := range l.sent {
		if now.Sub(at) < window {
			n++
		}
	}
	return n
}

// ColdOverload reports whether the target is cold and got more requests in the last second than the limiter allows. A crash is
// then attributed to the rate of the requests and not to any of them.
func (l *Limiter) ColdOverload(now time.Time) bool {
	return l.Cold(now) && l.SentInLastSecond(now) > l.capacity()
}

// BoundExceeded reports whether the target is cold and got more requests in the last second than the bound allows (see
// WithBound).
func (l *Limiter) BoundExceeded(now time.Time) bool {
	return l.Cold(now) && float64(l.SentInLastSecond(now)) > l.rate*l.overage+l.slack
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}
