package gossip_test

import (
	"crypto/sha256"
	"fmt"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/relay"
	"jacinthcross/internal/task/dialer"
	"jacinthcross/internal/task/gossip"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/wire/codec"
)

const noteCount = 10

// noteSequence returns noteCount successive notes. The first one adds targets on two VMs of one data centre.
func noteSequence() []relay.Offer {
	previous := ""
	var out []relay.Offer
	for serial := 1; serial <= noteCount; serial++ {
		text := fmt.Sprintf("Serial = %d\nPrevious = %q\n[[AddService]]\nName = \"s%d\"\n", serial, previous, serial)
		for i, vm := range []string{"a", "b"} {
			if serial == 1 {
				text += fmt.Sprintf("[[AddTarget]]\nName = %q\nService = \"s1\"\nVM = %q\nDataCentre = \"d\"\nDaemon = \"10.0.0.%d:7000\"\nAddress = \"10.0.0.%d:80\"\nSlots = 1\n", vm, vm, i+1, i+1)
			}
		}
		previous = ident.Digest(sha256.Sum256([]byte(text))).String()
		out = append(out, relay.Offer{Serial: ident.Serial(serial), Text: []byte(text), Version: uint64(serial)})
	}
	return out
}

// Guards against sending each note of a burst to a child separately: a later note may arrive before an earlier one, the
// child then answers it with a pull of all notes, and the budget of control bytes is used up.
func TestBurstSendsOneNote(t *testing.T) {
	c := qt.New(t)
	inbox, out := mail.NewBox[gossip.Message](64), mail.NewBox[dialer.Message](64)
	g := gossip.New(gossip.Config{VM: "a", DataCentre: "d", Daemon: netip.MustParseAddrPort("10.0.0.1:7000"), Inbox: inbox, Dialer: out})
	defer func() {
		g.Stop()
		<-g.Done()
	}()
	for _, o := range noteSequence() {
		c.Assert(inbox.TryPut(gossip.NoteRead{Offer: o}), qt.IsTrue)
	}
	status := mail.NewBox[gossip.Status](1)
	c.Assert(inbox.TryPut(gossip.StatusRequest{Reply: status}), qt.IsTrue)
	c.Assert((<-status.C()).Head.Serial, qt.Equals, ident.Serial(noteCount))
	offers := 0
	for len(out.C()) > 0 {
		e, ok := (<-out.C()).Message.(link.Exchange)
		c.Assert(ok, qt.IsTrue)
		if _, ok := e.Message.(codec.Control).Message.(relay.Offer); ok {
			offers++
		}
	}
	c.Assert(offers, qt.Equals, 1)
}
