package note_test

import (
	"fmt"
	"maps"
	"net/netip"
	"strings"
	"testing"

	"github.com/frankban/quicktest"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/note"
)

func target(name, service, vm, dataCentre string, n int) string {
	return fmt.Sprintf("Name = %q\nService = %q\nVM = %q\nDataCentre = %q\nRegion = \"r\"\nDaemon = \"10.0.%d.%d:7000\"\nAddress = \"10.0.%d.%d:80\"\nSlots = 10\n",
		name, service, vm, dataCentre, n/256, n%256, n/256, n%256)
}

const services = "[[AddService]]\nName = \"s\"\nHosts = [\"s.example\"]\n"

func firstRelease(c *quicktest.C) *note.Release {
	r, m := note.ParseAndApply(note.NewRelease(), []byte("Serial = 1\n"+services+
		"[[AddTarget]]\n"+target("a", "s", "vm-a", "d", 1)+"[[AddTarget]]\n"+target("b", "s", "vm-b", "d", 2)))
	c.Assert(m, quicktest.HasLen, 0)
	return r
}

// Guards against an error that is not detected, is reported without its line and key, or hides other errors.
func TestParseAndApplyReportsAllErrors(t *testing.T) {
	long := strings.Repeat("x", 129)
	tests := []struct {
		name string
		body string
		want []string
	}{
		{"unknown key", "Colour = 1\n", []string{"line 3: Colour: is unknown"}},
		{"several errors", "[[AddTarget]]\nName = \"c\"\nSlots = \"x\"\n", []string{
			"line 3: AddTarget.Address: is missing", "line 3: AddTarget.Daemon: is missing", "line 3: AddTarget.DataCentre: is missing",
			"line 3: AddTarget.Service: is missing", "line 3: AddTarget.VM: is missing", "line 5: AddTarget.Slots: want an integer",
		}},
		{"long name", "[[AddService]]\nName = \"" + long + "\"\n", []string{"line 4: AddService.Name: has 129 bytes"}},
		{"bad name", "[[AddService]]\nName = \"a b\"\n", []string{"line 4: AddService.Name: is \"a b\""}},
		{"moved", "[[ChangeTarget]]\n" + target("a", "s", "vm-z", "d", 1), []string{"line 6: ChangeTarget.VM: target \"a\" would move"}},
		{"added twice", "[[AddService]]\nName = \"t\"\n[[AddService]]\nName = \"t\"\n", []string{"line 6: AddService.Name: service \"t\" has another entry on line 3"}},
		{"withdrawn and added", "[[WithdrawTarget]]\nName = \"a\"\n[[AddTarget]]\n" + target("a", "s", "vm-a", "d", 1), []string{"line 6: AddTarget.Name: target \"a\" has another entry on line 3"}},
		{"daemon address", "[[AddTarget]]\n" + target("c", "s", "vm-c", "d", 1), []string{"line 9: AddTarget.Daemon: address 10.0.0.1:7000 is used", "line 10: AddTarget.Address: address 10.0.0.1:80"}},
		{"VM twice", "[[AddTarget]]\n" + target("c", "s", "vm-a", "d", 3), []string{"line 6: AddTarget.VM: VM \"vm-a\" has two targets"}},
		{"service in use", "[[WithdrawService]]\nName = \"s\"\n", []string{"line 4: WithdrawService.Name: service \"s\" is not in the resulting release, but target \"a\" belongs to it", "line 4: WithdrawService.Name: service \"s\" is not in the resulting release, but target \"b\" belongs to it"}},
		{"host twice", "[[AddService]]\nName = \"t\"\nHosts = [\"s.example\"]\n", []string{"line 5: AddService.Hosts: host \"s.example\" belongs"}},
		{"unknown names", "[[ChangeService]]\nName = \"t\"\n[[WithdrawTarget]]\nName = \"z\"\n", []string{"line 4: ChangeService.Name: service \"t\" is not", "line 6: WithdrawTarget.Name: target \"z\" is not"}},
		{"two regions", "[[AddTarget]]\n" + strings.Replace(target("c", "s", "vm-c", "d", 3), "\"r\"", "\"q\"", 1), []string{"line 8: AddTarget.Region: data centre \"d\" has two"}},
		{"not TOML", "[[AddService]\n", []string{"line 3: "}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			c := quicktest.New(t)
			r := firstRelease(c)
			next, m := note.ParseAndApply(r, fmt.Appendf(nil, "Serial = 2\nPrevious = %q\n%s", r.Head.Digest, test.body))
			c.Assert(next, quicktest.IsNil)
			c.Assert(m, quicktest.HasLen, len(test.want), quicktest.Commentf("%v", m))
			for i, want := range test.want {
				c.Check(strings.HasPrefix(m[i].String(), want), quicktest.IsTrue, quicktest.Commentf("%v, want %s", m[i], want))
			}
		})
	}
}

// Guards against a note that is applied out of order or to a release that resulted from other notes.
func TestSerialOrder(t *testing.T) {
	tests := []struct {
		name string
		head string
	}{
		{"lower serial", "Serial = 1\n"},
		{"serial skipped", "Serial = 3\nPrevious = %q\n"},
		{"other previous note", "Serial = 2\nPrevious = \"00\"\n"},
	}
	for _, test := range tests {
		c := quicktest.New(t)
		r := firstRelease(c)
		_, m := note.ParseAndApply(r, []byte(strings.Replace(test.head, "%q", fmt.Sprintf("%q", r.Head.Digest), 1)))
		c.Check(len(m) > 0, quicktest.IsTrue, quicktest.Commentf(test.name))
	}
}

// largestRelease returns a release of the largest supported size: 1,800 targets in 220 services.
func largestRelease(c *quicktest.C) *note.Release {
	r := note.NewRelease()
	n := 0
	for serial := 1; n < 1800; serial++ {
		var b strings.Builder
		previous := ""
		if serial > 1 {
			previous = r.Head.Digest.String()
		}
		fmt.Fprintf(&b, "Serial = %d\nPrevious = %q\n", serial, previous)
		for s := range 22 {
			fmt.Fprintf(&b, "[[AddService]]\nName = \"service-%d-%d\"\nHosts = [\"service-%d-%d.example\"]\n", serial, s, serial, s)
		}
		for range 180 {
			n++
			fmt.Fprintf(&b, "[[AddTarget]]\n%s", target(fmt.Sprintf("target-number-%d", n), fmt.Sprintf("service-%d-%d", serial, n%22), fmt.Sprintf("vm-%d", n), fmt.Sprintf("data-centre-%d", n%12), n))
		}
		next, m := note.ParseAndApply(r, []byte(b.String()))
		c.Assert(m, quicktest.HasLen, 0)
		r = next
	}
	return r
}

// Guards against a snapshot of the largest supported release that exceeds the maximum value size of the configuration
// service, and against a snapshot that depends on map order or loses a field.
func TestSnapshotOfLargestRelease(t *testing.T) {
	c := quicktest.New(t)
	r := largestRelease(c)
	text := r.Snapshot()
	t.Logf("%d services, %d targets: %d bytes", len(r.Services), len(r.Targets), len(text))
	c.Assert(len(r.Services), quicktest.Equals, 220)
	c.Assert(len(text) <= note.MaxSnapshotSize, quicktest.IsTrue)
	c.Assert(r.SnapshotSize(), quicktest.Equals, len(text))
	back, err := note.ParseSnapshot(text)
	c.Assert(err, quicktest.IsNil)
	c.Assert(string(back.Snapshot()), quicktest.Equals, string(text))
	c.Assert(maps.Equal(back.Targets, r.Targets), quicktest.IsTrue)
	c.Assert(back.Services, quicktest.DeepEquals, r.Services)
	last, ok := back.TargetByVM("vm-1800")
	c.Assert(ok, quicktest.IsTrue)
	c.Assert(last.Name, quicktest.Equals, ident.Target("target-number-1800"))
}

// Guards against a change of the snapshot format: daemons of different versions compare checksums of the text.
// Also guards against a SnapshotSize that differs from the text, so that daemons would disagree on which releases are
// too large.
func TestSnapshotText(t *testing.T) {
	c := quicktest.New(t)
	service := "[[AddService]]\nName = \"s\"\nHosts = [\"s.example\", \"t.example\"]\nRank = \"Urgent\"\nKeyRequired = true\nTimeout = \"1m30s\"\n"
	withoutRegion := strings.Replace(target("b", "s", "vm-b", "e", 2), "Region = \"r\"\n", "", 1)
	r, m := note.ParseAndApply(note.NewRelease(), []byte("Serial = 1\n"+service+"[[AddTarget]]\n"+target("a", "s", "vm-a", "d", 1)+"[[AddTarget]]\n"+withoutRegion))
	c.Assert(m, quicktest.HasLen, 0)
	r, m = note.ParseAndApply(r, fmt.Appendf(nil, "Serial = 2\nPrevious = %q\n[[WithdrawTarget]]\nName = \"b\"\n", r.Head.Digest))
	c.Assert(m, quicktest.HasLen, 0)
	text := string(r.Snapshot())
	c.Assert(text, quicktest.Contains, "\nHosts = [\"s.example\", \"t.example\"]\n")
	c.Assert(text, quicktest.Contains, "\n\n[[Withdrawn]]\nSerial = 2\nName = \"b\"\n")
	c.Assert(r.SnapshotSize(), quicktest.Equals, len(text))
	first, _, _ := strings.Cut(text, "\n")
	c.Assert(first, quicktest.Equals, "Checksum = \"80dea456f8f0eae4ec12c8cd1fb317e67bfe9b412b76a34fa4cbbe3a74a6afeb\"")
}

// Guards against a corrupt snapshot that is accepted.
func TestParseSnapshotRejectsCorruptText(t *testing.T) {
	c := quicktest.New(t)
	text := firstRelease(c).Snapshot()
	for i := range text {
		changed := append([]byte(nil), text...)
		changed[i] ^= 1
		_, err := note.ParseSnapshot(changed)
		c.Assert(err, quicktest.IsNotNil, quicktest.Commentf("byte %d changed", i))
		_, err = note.ParseSnapshot(text[:i])
		c.Assert(err, quicktest.IsNotNil, quicktest.Commentf("cut to %d bytes", i))
	}
}

// Guards against a text that makes the parser panic, and against results that differ between daemons.
func FuzzParse(f *testing.F) {
	f.Add([]byte("Serial = 1\n" + services + "[[AddTarget]]\n" + target("a", "s", "vm-a", "d", 1)))
	f.Add([]byte("Serial = 1\nAddTarget = [{Name = 1}, 2]\n[[AddService.X]]\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		r, m := note.ParseAndApply(note.NewRelease(), text)
		again, n := note.ParseAndApply(note.NewRelease(), text)
		quicktest.Assert(t, m, quicktest.DeepEquals, n)
		quicktest.Assert(t, (r == nil) == (len(m) > 0), quicktest.IsTrue)
		if r != nil {
			quicktest.Assert(t, string(r.Snapshot()), quicktest.Equals, string(again.Snapshot()))
			back, err := note.ParseSnapshot(r.Snapshot())
			quicktest.Assert(t, err, quicktest.IsNil)
			quicktest.Assert(t, string(back.Snapshot()), quicktest.Equals, string(r.Snapshot()))
		}
	})
}

// Guards against a snapshot that makes the parser panic, and against a parsed snapshot that cannot be written and
// parsed again.
func FuzzParseSnapshot(f *testing.F) {
	f.Add(firstRelease(quicktest.New(f)).Snapshot())
	f.Add([]byte("Checksum = \"\"\n"))
	f.Fuzz(func(t *testing.T, text []byte) {
		r, err := note.ParseSnapshot(text)
		if err == nil {
			_, err = note.ParseSnapshot(r.Snapshot())
			quicktest.Assert(t, err, quicktest.IsNil)
		}
	})
}

func BenchmarkLargestRelease(b *testing.B) {
	r := largestRelease(quicktest.New(b))
	text := fmt.Appendf(nil, "Serial = %d\nPrevious = %q\n[[AddService]]\nName = \"extra\"\n", r.Head.Serial+1, r.Head.Digest)
	snapshot := r.Snapshot()
	b.Run("ParseAndApply", func(b *testing.B) {
		for b.Loop() {
			note.ParseAndApply(r, text)
		}
	})
	b.Run("ParseSnapshot", func(b *testing.B) {
		for b.Loop() {
			if _, err := note.ParseSnapshot(snapshot); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// Guards against a daemon that takes another process on its VM for its target, or does not recognise its target.
func TestTargetBeside(t *testing.T) {
	target := func(name string, service ident.Service, port uint16) note.Target {
		return note.Target{Name: ident.Target(name), Service: service, VM: "vm", Address: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port)}
	}
	own := netip.MustParseAddrPort("10.0.0.1:80")
	tests := []struct {
		name    string
		targets []note.Target
		service ident.Service
		address netip.AddrPort
		want    ident.Target
	}{
		{"nothing known, the only one", []note.Target{target("a", "s", 80)}, "", netip.AddrPort{}, "a"},
		{"the address decides", []note.Target{target("a", "s", 80), target("b", "s", 81)}, "s", own, "a"},
		{"the address decides against the service", []note.Target{target("a", "t", 80), target("b", "s", 81)}, "s", own, "a"},
		{"the address has passed to another service", []note.Target{target("a", "t", 80)}, "s", own, "a"},
		{"the service decides if none has the address", []note.Target{target("a", "s", 81), target("b", "t", 82)}, "s", own, "a"},
		{"neither the address nor the service", []note.Target{target("b", "t", 82)}, "s", own, ""},
		{"without an address, the service decides", []note.Target{target("a", "s", 81), target("b", "t", 82)}, "s", netip.AddrPort{}, "a"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := note.NewRelease()
			for _, target := range test.targets {
				r.Targets[target.Name] = target
			}
			got, ok := r.TargetBeside("vm", test.service, test.address)
			quicktest.Assert(t, ok, quicktest.Equals, test.want != "")
			quicktest.Assert(t, got.Name, quicktest.Equals, test.want)
		})
	}
}
