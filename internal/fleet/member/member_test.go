package member_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"jacinthcross/internal/fleet/member"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/fleet/relay"
)

var (
	start  = time.Unix(1_700_000_000, 0)
	daemon = netip.MustParseAddrPort("10.0.0.1:7000")
)

// A peerEvent is an event of a peer, the time since the previous event, and the state that it should lead to.
type peerEvent struct {
	after time.Duration
	event string
	want  member.State
}

// Guards against a failed peer that stays in use, a suspect peer that stays suspect after an answer, a flapping
// peer that is used again at once, and a lagging VM list that overrides direct observations.
func TestStates(t *testing.T) {
	const ms = time.Millisecond
	flap := []peerEvent{
		{0, "unreachable", member.Suspect},
		{ms, "answered", member.Alive},
		{ms, "unreachable", member.Suspect},
		{ms, "answered", member.Alive},
		{ms, "unreachable", member.Suspect},
		{ms, "answered", member.Suspect},
	}
	tests := []struct {
		name   string
		events []peerEvent
	}{
		{"one answer makes the peer alive", []peerEvent{{0, "unreachable", member.Suspect}, {100 * ms, "answered", member.Alive}, {time.Second, "tick", member.Alive}}},
		{"down after 500 ms", []peerEvent{{0, "unreachable", member.Suspect}, {499 * ms, "tick", member.Suspect}, {ms, "tick", member.Down}, {0, "answered", member.Alive}}},
		{"repeated failures do not extend the timeout", []peerEvent{{0, "unreachable", member.Suspect}, {400 * ms, "unreachable", member.Suspect}, {100 * ms, "unreachable", member.Down}}},
		{"damped", append(flap, peerEvent{29 * time.Second, "tick", member.Suspect}, peerEvent{time.Second, "tick", member.Alive})},
		{"infrequent failures are not damped", []peerEvent{
			{0, "unreachable", member.Suspect},
			{ms, "answered", member.Alive},
			{16 * time.Second, "unreachable", member.Suspect},
			{ms, "answered", member.Alive},
			{16 * time.Second, "unreachable", member.Suspect},
			{ms, "answered", member.Alive},
		}},
		{"a restarted peer that opens a connection", []peerEvent{{0, "drain", member.Draining}, {0, "unreachable", member.Draining}, {500 * ms, "tick", member.Down}, {0, "connected", member.Alive}}},
		{"drain", []peerEvent{{0, "drain", member.Draining}, {0, "leaving", member.Draining}, {0, "answered", member.Leaving}}},
		{"down and leaving", []peerEvent{{0, "leaving", member.Leaving}, {0, "unreachable", member.Leaving}, {500 * ms, "tick", member.Down}, {0, "answered", member.Leaving}}},
		{"missing from the list", []peerEvent{{0, "unlisted", member.Alive}, {0, "leaving", member.Leaving}, {0, "unlisted", member.Alive}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			table, now := member.NewTable(), start
			r := note.NewRelease()
			r.Targets["t"] = note.Target{Name: "t", VM: "vm", Daemon: daemon}
			table.SetRelease(r, now)
			for i, s := range test.events {
				now = now.Add(s.after)
				before := table.StateOf(daemon)
				changes := applyEvent(table, s.event, now)
				c.Check(table.StateOf(daemon), quicktest.Equals, s.want, quicktest.Commentf("step %d, %s", i, s.event))
				c.Check(len(changes) > 0, quicktest.Equals, before != s.want, quicktest.Commentf("step %d, %s", i, s.event))
			}
		})
	}
}

func applyEvent(t *member.Table, event string, now time.Time) []member.PeerState {
	switch event {
	case "unreachable":
		return t.MarkUnreachable(daemon, now)
	case "answered":
		return t.MarkAnswered(daemon, false, now)
	case "connected":
		return t.MarkConnected("vm", false, now)
	case "drain":
		return t.MarkDraining("vm", now)
	case "leaving":
		return t.SetVMList([]relay.ListedVM{{VM: "vm", State: relay.Leaving, Daemon: daemon}}, now)
	case "unlisted":
		return t.SetVMList(nil, now)
	}
	return t.Tick(now)
}

// Guards against a NextTick that omits the end of the suspect timeout, so that the peer would not be marked down.
func TestNextTick(t *testing.T) {
	c := quicktest.New(t)
	table := member.NewTable()
	table.SetVMList([]relay.ListedVM{{VM: "vm", State: relay.Live, Daemon: daemon}}, start)
	_, ok := table.NextTick(start)
	c.Assert(ok, quicktest.IsFalse)
	table.MarkUnreachable(daemon, start)
	next, ok := table.NextTick(start)
	c.Assert(ok, quicktest.IsTrue)
	c.Assert(next.Sub(start), quicktest.Equals, 500*time.Millisecond)
	table.Tick(next)
	_, ok = table.NextTick(next)
	c.Assert(ok, quicktest.IsFalse)
}
