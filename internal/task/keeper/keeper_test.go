package keeper_test

import (
	"crypto/sha256"
	"fmt"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/relay"
	"jacinthcross/internal/task/keeper"
	"jacinthcross/internal/task/link"
	"jacinthcross/internal/task/links"
	"jacinthcross/internal/wire/codec"
)

const notes = 10

// published returns a release of two daemons in one data centre and notes that follow it.
func published() []relay.Offer {
	previous := ""
	var out []relay.Offer
	for serial := 1; serial <= notes; serial++ {
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

// Guards against a burst of notes of which each is sent to a child on its own: they overtake each other, each that
// does is answered with a pull of all, and the budget of control bytes is used up.
func TestBurstIsToldOnce(t *testing.T) {
	c := qt.New(t)
	inbox, out := mail.NewBox[keeper.Message](64), mail.NewBox[links.Message](64)
	k := keeper.New(keeper.Config{VM: "a", DataCentre: "d", Daemon: netip.MustParseAddrPort("10.0.0.1:7000"), Inbox: inbox, Links: out})
	defer func() {
		k.Stop()
		<-k.Done()
	}()
	for _, o := range published() {
		c.Assert(inbox.TryPut(keeper.FromService{Offer: o}), qt.IsTrue)
	}
	status := mail.NewBox[keeper.Status](1)
	c.Assert(inbox.TryPut(keeper.StatusAsk{Reply: status}), qt.IsTrue)
	c.Assert((<-status.C()).Head.Serial, qt.Equals, ident.Serial(notes))
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
