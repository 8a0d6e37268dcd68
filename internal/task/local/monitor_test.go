package local

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/policy/crash"
)

// TestSingleConnection guards against a request that crashes a target with one connection again and again
// because its process is replaced before a probe, and against blame for a target that only closes the
// connection of a call.
func TestSingleConnection(t *testing.T) {
	const poison = "/poison"
	tests := []struct {
		name  string
		slots int
		// between happens to the target before each call of the poison.
		between func(b *bench, target *rawTarget)
		end     func(target *rawTarget)
		rounds  int
		blames  []int // messages after each round
		live    int64 // connections after each round
		outcome string
	}{
		{
			name: "process is replaced at once", slots: 4, end: (*rawTarget).reset,
			rounds: 3, blames: []int{0, 1, 2}, live: 1, outcome: "Refused Quarantined",
		},
		{
			name: "connection of the call ends", slots: 4, end: func(*rawTarget) {},
			rounds: 4, blames: []int{0, 0, 0, 0}, live: 1, outcome: "Unknown TargetFailed",
		},
		{
			name: "connection of the call ends, and the target closes idle connections", slots: 4,
			between: func(b *bench, target *rawTarget) {
				ended := target.ended.Load()
				target.reset()
				b.until("the connections have ended", func() bool { return target.ended.Load() > ended })
				time.Sleep(4 * settleTime)
			},
			end: func(*rawTarget) {}, rounds: 4, blames: []int{0, 0, 0, 0}, live: 1, outcome: "Unknown TargetFailed",
		},
		{
			name: "target that may have one connection only", slots: 1, end: (*rawTarget).reset,
			rounds: 3, blames: []int{0, 0, 0}, outcome: "Unknown TargetFailed",
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			current := make(chan *rawTarget, 1)
			target := newRawTarget(t, "127.0.0.1:0", func(w net.Conn, r *http.Request, body []byte) bool {
				if r.URL.Path != poison {
					return answerOK(w, r, body)
				}
				target := <-current
				test.end(target)
				current <- target
				return false
			})
			current <- target
			blames := make(chan []crash.Blame, 8)
			b := newBench(t, note.Target{Name: "b1", Address: target.address(), Slots: test.slots}, WithBlame(func(_ ident.Service, blame []crash.Blame) {
				blames <- blame
			}))
			for round := range test.rounds {
				qt.Assert(t, summary(b.do(call.Request{})), qt.Equals, `Answered 200 ""`)
				if test.between != nil {
					test.between(b, target)
				}
				qt.Assert(t, summary(b.do(call.Request{URI: poison})), qt.Equals, "Unknown TargetFailed")
				b.until("the blame is sent", func() bool { return len(blames) >= test.blames[round] })
				time.Sleep(3 * settleTime) // a false blame would be sent by then
				qt.Assert(t, blames, qt.HasLen, test.blames[round], qt.Commentf("round %d", round))
				b.until("only a monitor is open", func() bool { return target.live() == test.live })
			}
			qt.Assert(t, summary(b.do(call.Request{URI: poison})), qt.Equals, test.outcome)
		})
	}
}

// TestMonitorEnds guards against connections without calls that stay open or are opened without bound.
func TestMonitorEnds(t *testing.T) {
	target := newRawTarget(t, "127.0.0.1:0", func(w net.Conn, r *http.Request, body []byte) bool {
		return r.URL.Path == "/" && answerOK(w, r, body)
	})
	c := &jumpClock{}
	b := newBench(t, note.Target{Name: "b1", Address: target.address()}, WithClock(c))
	step := func(d time.Duration) {
		for range d / (time.Second / 4) { // below the threshold of a pause
			c.offset.Add(int64(time.Second / 4))
			b.load()
		}
	}
	qt.Assert(t, summary(b.do(call.Request{URI: "/end"})), qt.Equals, "Unknown TargetFailed")
	// The connections are that of the call, the probe and the monitor.
	b.until("a monitor is open", func() bool { return target.opened() == 3 && target.ended.Load() == 2 })
	step(monitorTime / 2)
	time.Sleep(2 * settleTime)
	qt.Assert(t, target.opened(), qt.Equals, 3)
	qt.Assert(t, target.ended.Load(), qt.Equals, int64(2))
	step(monitorTime)
	b.until("the monitor is closed", func() bool { return target.ended.Load() == 3 })
	qt.Assert(t, target.opened(), qt.Equals, 3)
}
