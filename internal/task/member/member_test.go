package member_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/frankban/quicktest"

	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/member"
	"jacinthcross/internal/fleet/note"
	task "jacinthcross/internal/task/member"
)

// Guards against an unreachable peer that is never announced as Down because no further message arrives.
func TestUnreachablePeerIsAnnouncedDown(t *testing.T) {
	c := quicktest.New(t)
	daemon := netip.MustParseAddrPort("10.0.0.1:7000")
	inbox, announced := mail.NewBox[task.Message](8), mail.NewBox[[]member.PeerState](8)
	m := task.New(inbox, func(changes []member.PeerState) { announced.TryPut(changes) })
	defer m.Stop()
	r := note.NewRelease()
	r.Targets["t"] = note.Target{Name: "t", VM: "vm", Daemon: daemon}
	inbox.TryPut(task.ReleaseChanged{Release: r})
	inbox.TryPut(task.Unreachable{Peer: daemon})
	for _, want := range []member.State{member.Suspect, member.Down} {
		select {
		case changes := <-announced.C():
			c.Assert(changes, quicktest.HasLen, 1)
			c.Check(changes[0].State, quicktest.Equals, want)
		case <-time.After(5 * time.Second):
			t.Fatalf("state %s was not announced", want)
		}
	}
}
