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

// A step is something that happens to a peer after a pause.
type step struct {
	after time.Duration
	what  string
	want  member.State
}

// Guards against a failed peer that stays in use, a suspicion that an answer does not
// clear, a flapping peer that is used at once, and a lagging list that hides what is seen.
func TestStates(t *testing.T) {
	const ms = time.Millisecond
	flap := []step{
		{0, "lost", member.Suspect},
		{ms, "seen", member.Alive},
		{ms, "lost", member.Suspect},
		{ms, "seen", member.Alive},
		{ms, "lost", member.Suspect},
		{ms, "seen", member.Suspect},
	}
	tests := []struct {
		name  string
		steps []step
	}{
		{"one answer clears", []step{{0, "lost", member.Suspect}, {100 * ms, "seen", member.Alive}, {time.Second, "tick", member.Alive}}},
		{"down after 500 ms", []step{{0, "lost", member.Suspect}, {499 * ms, "tick", member.Suspect}, {ms, "tick", member.Down}, {0, "seen", member.Alive}}},
		{"repeated losses do not delay", []step{{0, "lost", member.Suspect}, {400 * ms, "lost", member.Suspect}, {100 * ms, "lost", member.Down}}},
		{"damped", append(flap, step{29 * time.Second, "tick", member.Suspect}, step{time.Second, "tick", member.Alive})},
		{"slow failures are not damped", []step{
			{0, "lost", member.Suspect},
			{ms, "seen", member.Alive},
			{16 * time.Second, "lost", member.Suspect},
			{ms, "seen", member.Alive},
			{16 * time.Second, "lost", member.Suspect},
			{ms, "seen", member.Alive},
		}},
		{"a restarted peer that opens a connection", []step{{0, "drain", member.Draining}, {0, "lost", member.Draining}, {500 * ms, "tick", member.Down}, {0, "met", member.Alive}}},
		{"drain", []step{{0, "drain", member.Draining}, {0, "leaving", member.Draining}, {0, "seen", member.Leaving}}},
		{"down and leaving", []step{{0, "leaving", member.Leaving}, {0, "lost", member.Leaving}, {500 * ms, "tick", member.Down}, {0, "seen", member.Leaving}}},
		{"missing in the list", []step{{0, "unlisted", member.Alive}, {0, "leaving", member.Leaving}, {0, "unlisted", member.Alive}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			table, now := member.NewTable(), start
			r := note.NewRelease()
			r.Targets["t"] = note.Target{Name: "t", VM: "vm", Daemon: daemon}
			table.SetRelease(r, now)
			for i, s := range test.steps {
				now = now.Add(s.after)
				before := table.StateOf(daemon)
				changes := happen(table, s.what, now)
				c.Check(table.StateOf(daemon), quicktest.Equals, s.want, quicktest.Commentf("step %d, %s", i, s.what))
				c.Check(len(changes) > 0, quicktest.Equals, before != s.want, quicktest.Commentf("step %d, %s", i, s.what))
			}
		})
	}
}

func happen(t *member.Table, what string, now time.Time) []member.Change {
	switch what {
	case "lost":
		return t.Lost(daemon, now)
	case "seen":
		return t.Seen(daemon, false, now)
	case "met":
		return t.Met("vm", false, now)
	case "drain":
		return t.Drain("vm", now)
	case "leaving":
		return t.SetList([]relay.ListedVM{{VM: "vm", State: relay.Leaving, Daemon: daemon}}, now)
	case "unlisted":
		return t.SetList(nil, now)
	}
	return t.Tick(now)
}

// Guards against a task that sleeps through the end of a suspicion.
func TestNext(t *testing.T) {
	c := quicktest.New(t)
	table := member.NewTable()
	table.SetList([]relay.ListedVM{{VM: "vm", State: relay.Live, Daemon: daemon}}, start)
	_, ok := table.Next(start)
	c.Assert(ok, quicktest.IsFalse)
	table.Lost(daemon, start)
	next, ok := table.Next(start)
	c.Assert(ok, quicktest.IsTrue)
	c.Assert(next.Sub(start), quicktest.Equals, 500*time.Millisecond)
	table.Tick(next)
	_, ok = table.Next(next)
	c.Assert(ok, quicktest.IsFalse)
}
