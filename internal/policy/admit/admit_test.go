package admit

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
)

// TestActions guards against calls served out of rank order, expired calls that still run, and starvation when the
// queue is full.
func TestActions(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(d time.Duration) time.Time { return start.Add(d) }
	const ms = time.Millisecond
	arrive := func(g *Gate, id call.ID, r ident.Rank, deadline, now time.Duration) Decision {
		return g.Admit(Arrival{Call: id, Rank: r, Deadline: at(deadline)}, at(now))
	}
	occupySlot := func(g *Gate) { // one slot in use by a call that takes 10 ms
		g.addSample(10*ms, 1, 0)
		arrive(g, 100, ident.Normal, time.Second, 0)
	}
	tests := []struct {
		name string
		run  func(g *Gate) []Action
		want []Action
	}{
		{
			name: "ranks are served in order, and in order of arrival within a rank",
			run: func(g *Gate) []Action {
				arrive(g, 1, ident.Deferred, time.Second, 0)
				arrive(g, 2, ident.Urgent, time.Second, 0)
				arrive(g, 3, ident.Urgent, time.Second, 0)
				g.Done(Completed, FinishedCall{Duration: 10 * ms}, at(10*ms))
				actions := g.Actions(at(10 * ms))
				g.Done(Completed, FinishedCall{Duration: 10 * ms}, at(20*ms))
				return append(actions, g.Actions(at(20*ms))...)
			},
			want: []Action{Dispatch{2}, Dispatch{3}},
		},
		{
			name: "the newest of a rank is served first under overload",
			run: func(g *Gate) []Action {
				arrive(g, 1, ident.Deferred, time.Second, 0)
				arrive(g, 2, ident.Urgent, time.Second, 110*ms)
				arrive(g, 3, ident.Urgent, time.Second, 111*ms)
				g.Done(Completed, FinishedCall{Duration: 10 * ms}, at(120*ms))
				return g.Actions(at(120 * ms))
			},
			want: []Action{Dispatch{3}},
		},
		{
			name: "a call that waited too long for its rank is dropped",
			run: func(g *Gate) []Action {
				arrive(g, 1, ident.Urgent, time.Second, 0)
				arrive(g, 2, ident.Normal, time.Second, 0)
				return g.Actions(at(50 * ms))
			},
			want: []Action{Drop{1, errs.QueueTimeout, time.Second + 10*ms}},
		},
		{
			name: "a call that expired while the daemon was paused is dropped and not run",
			run: func(g *Gate) []Action {
				arrive(g, 1, ident.Urgent, 20*ms, 0)
				g.Done(Completed, FinishedCall{Duration: 10 * ms}, at(2*time.Second))
				return g.Actions(at(2 * time.Second))
			},
			want: []Action{Drop{1, errs.DeadlineExceeded, 0}},
		},
		{
			name: "a queued call that can no longer end in time is dropped instead of dispatched",
			run: func(g *Gate) []Action {
				g.SetSlots(2)
				g.limiter.(*gradientLimiter).limit = 2
				arrive(g, 101, ident.Normal, time.Second, 0)
				arrive(g, 1, ident.Urgent, 30*ms, 0)
				g.Done(Completed, FinishedCall{Duration: 10 * ms}, at(25*ms))
				return g.Actions(at(25 * ms))
			},
			want: []Action{Drop{1, errs.DeadlineExceeded, 0}},
		},
		{
			name: "a queued call of a lower rank is dropped for a higher one when the queue is full",
			run: func(g *Gate) []Action {
				for i := range maxQueuedPerSlot {
					arrive(g, call.ID(i+1), ident.Deferred, time.Second, 0)
				}
				arrive(g, 50, ident.Urgent, time.Second, 0)
				return g.Actions(at(0))
			},
			want: []Action{Drop{maxQueuedPerSlot, errs.Overloaded, time.Second + (maxQueuedPerSlot-1)*10*ms}},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewGate(1)
			occupySlot(g)
			qt.Assert(t, test.run(g), qt.DeepEquals, test.want)
		})
	}
}

// TestAdmit guards against starting calls that cannot succeed, and against an unbounded queue.
func TestAdmit(t *testing.T) {
	start := time.Unix(1000, 0)
	tests := []struct {
		name     string
		queued   int
		latency  time.Duration
		deadline time.Duration
		want     Decision
	}{
		{"room in the queue", 0, 10 * time.Millisecond, time.Second, Wait{}},
		{"expired", 0, 10 * time.Millisecond, 0, Refuse{Kind: errs.DeadlineExceeded}},
		{"cannot end in time", 0, 10 * time.Millisecond, 9 * time.Millisecond, Refuse{Kind: errs.DeadlineExceeded}},
		{
			"full queue of the same rank", maxQueuedPerSlot, 10 * time.Millisecond, time.Second,
			Refuse{errs.Overloaded, time.Second + maxQueuedPerSlot*10*time.Millisecond},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			g := NewGate(1)
			g.addSample(test.latency, 1, 0)
			g.Admit(Arrival{Call: 100, Rank: ident.Urgent, Deadline: start.Add(time.Second)}, start)
			for i := range test.queued {
				g.Admit(Arrival{Call: call.ID(i), Rank: ident.Urgent, Deadline: start.Add(time.Second)}, start)
			}
			got := g.Admit(Arrival{Call: 200, Rank: ident.Urgent, Deadline: start.Add(test.deadline)}, start)
			qt.Assert(t, got, qt.DeepEquals, test.want)
		})
	}
}

// TestIdleTargetIsTried guards against refusing all calls with short deadlines forever after one slow period.
func TestIdleTargetIsTried(t *testing.T) {
	start := time.Unix(1000, 0)
	g := NewGate(1)
	g.addSample(time.Second, 1, 0)
	qt.Assert(t, g.Admit(Arrival{Call: 1, Deadline: start.Add(time.Millisecond)}, start), qt.Equals, Start{})
}

// TestGradientLimiter guards against a limit that does not follow a slow or shedding target, or that does not
// recover.
func TestGradientLimiter(t *testing.T) {
	tests := []struct {
		name     string
		load     func(l *gradientLimiter)
		min, max int
	}{
		{"steady latency keeps all slots", func(l *gradientLimiter) { addSamples(l, 500, 5*time.Millisecond) }, 10, 10},
		{"a rise of the latency lowers the limit", func(l *gradientLimiter) {
			addSamples(l, 500, 5*time.Millisecond)
			addSamples(l, 30, 50*time.Millisecond)
		}, 1, 5},
		{"the limit recovers with the latency", func(l *gradientLimiter) {
			addSamples(l, 500, 5*time.Millisecond)
			addSamples(l, 30, 50*time.Millisecond)
			addSamples(l, 300, 5*time.Millisecond)
		}, 10, 10},
		{"a burst of shed calls counts once", func(l *gradientLimiter) {
			addSamples(l, 500, 5*time.Millisecond)
			for range 10 {
				l.recordShed(time.Unix(1000, 0))
			}
		}, 8, 8},
		{"continued shedding lowers the limit to one and no further", func(l *gradientLimiter) {
			addSamples(l, 500, 5*time.Millisecond)
			for i := range 100 {
				l.recordShed(time.Unix(1000+int64(i), 0))
			}
		}, 1, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := newGradientLimiter(10)
			test.load(l)
			got := l.current()
			qt.Assert(t, got >= test.min && got <= test.max, qt.IsTrue, qt.Commentf("limit %d, want %d to %d", got, test.min, test.max))
		})
	}
}

func addSamples(l *gradientLimiter, count int, took time.Duration) {
	for range count {
		l.addSample(took, l.current())
	}
}
