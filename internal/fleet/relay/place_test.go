package relay_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/fleet/relay"
)

var start = time.Unix(1_700_000_000, 0)

func nodes(n, dataCentres int) []relay.Node {
	var out []relay.Node
	for i := range n {
		out = append(out, relay.Node{
			VM: ident.VM(fmt.Sprintf("vm-%d", i)), DataCentre: ident.DataCentre(fmt.Sprintf("d-%d", i%dataCentres)),
			Daemon: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 256), byte(i)}), 7000),
		})
	}
	return out
}

// Guards against daemons that no tree reaches and against too many hops, children or watchers.
func TestTreesReachAll(t *testing.T) {
	tests := []struct{ count, dataCentres, hops int }{{1, 1, 0}, {3, 1, 1}, {300, 2, 3}, {1800, 12, 3}}
	for _, test := range tests {
		c := quicktest.New(t)
		all := nodes(test.count, test.dataCentres)
		positions := map[ident.VM]relay.Position{}
		watchers := 0
		var reached []ident.VM
		for _, n := range all {
			p := relay.PositionOf(n.VM, n.DataCentre, all)
			positions[n.VM] = p
			c.Check(len(p.Children) <= 16, quicktest.IsTrue)
			c.Check(len(p.Parents) <= 2, quicktest.IsTrue)
			if p.WatcherIndex < relay.WatchersPerDataCentre {
				watchers++
			}
			if p.WatcherIndex == 0 {
				reached = append(reached, n.VM)
			}
		}
		c.Check(watchers, quicktest.Equals, min(test.count, test.dataCentres*relay.WatchersPerDataCentre))
		seen := map[ident.VM]bool{}
		for hops := 0; len(reached) > 0; hops++ {
			c.Check(hops <= test.hops, quicktest.IsTrue, quicktest.Commentf("%d daemons, %d hops", test.count, hops))
			var next []ident.VM
			for _, vm := range reached {
				seen[vm] = true
				for _, child := range positions[vm].Children {
					if !seen[child.VM] {
						next = append(next, child.VM)
						seen[child.VM] = true
					}
				}
			}
			reached = next
		}
		c.Check(len(seen), quicktest.Equals, test.count)
	}
}

// Guards against a data centre in which no daemon reads the configuration service after some have failed.
// TestReadLimiter tests the limit on direct reads.
func TestSomeDaemonReadsService(t *testing.T) {
	all := nodes(12, 1)
	rapid.Check(t, func(t *rapid.T) {
		live := rapid.SliceOfNDistinct(rapid.SampledFrom(all), 1, len(all), func(n relay.Node) ident.VM { return n.VM }).Draw(t, "live")
		jitter := rapid.Float64Range(0, 1).Draw(t, "jitter")
		age := time.Duration(len(all)) * 2 * time.Second
		readers, limiters := 0, map[ident.VM]*relay.ReadLimiter{}
		for now := start; now.Before(start.Add(time.Minute)); now = now.Add(time.Second) {
			reads := 0
			for _, n := range live {
				switch relay.DutyOf(relay.PositionOf(n.VM, n.DataCentre, all).WatcherIndex, age+2*time.Second, jitter) {
				case relay.Watch:
					readers++
				case relay.Direct:
					if limiters[n.VM] == nil {
						limiters[n.VM] = &relay.ReadLimiter{}
					}
					if limiters[n.VM].Allow(now) {
						readers++
						reads++
					}
				case relay.Idle:
				}
			}
			if reads > len(live) {
				t.Fatalf("%d direct reads in one second", reads)
			}
		}
		if readers == 0 {
			t.Fatalf("no daemon reads the service with %d daemons live", len(live))
		}
	})
}

// Guards against daemons that start together and all read the configuration service before their peers could answer,
// and against a daemon that reads it too late to serve within 2 s of its start.
func TestBootstrapDuty(t *testing.T) {
	for _, test := range []struct {
		name       string
		knowsPeers bool
		waited     time.Duration
		jitter     float64
		want       relay.Duty
	}{
		{"no peers", false, 0, 1, relay.Direct},
		{"peers may answer", true, 200 * time.Millisecond, 0, relay.Idle},
		{"spread", true, 500 * time.Millisecond, 0.9, relay.Idle},
		{"early part of the spread", true, 500 * time.Millisecond, 0.1, relay.Direct},
		{"no answer", true, time.Second, 1, relay.Direct},
	} {
		t.Run(test.name, func(t *testing.T) {
			if got := relay.BootstrapDuty(test.knowsPeers, test.waited, test.jitter); got != test.want {
				t.Fatalf("duty %s, want %s", got, test.want)
			}
		})
	}
}

// Guards against more than one direct read per 10 s.
func TestReadLimiter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limiter, now, last := relay.ReadLimiter{}, start, time.Time{}
		for _, ms := range rapid.SliceOf(rapid.IntRange(0, 15_000)).Draw(t, "pauses") {
			now = now.Add(time.Duration(ms) * time.Millisecond)
			if !limiter.Allow(now) {
				continue
			}
			if now.Sub(last) < 10*time.Second {
				t.Fatalf("two direct reads within %s", now.Sub(last))
			}
			last = now
		}
		if !limiter.Allow(now.Add(10 * time.Second)) {
			t.Fatal("direct read not allowed 10 s after the last one")
		}
	})
}

// Guards against control traffic above the rate once the burst is used up.
func TestBudget(t *testing.T) {
	c := quicktest.New(t)
	b := relay.NewBudget(start)
	sent := 0
	for now := start; now.Before(start.Add(10 * time.Minute)); now = now.Add(100 * time.Millisecond) {
		if b.Available(now) {
			b.Spend(10_000, now)
			sent += 10_000
		}
	}
	c.Assert(sent <= 1_000_000+600*5_000+10_000, quicktest.IsTrue, quicktest.Commentf("%d bytes", sent))
	c.Assert(sent >= 600*5_000, quicktest.IsTrue)
}

// Guards against passing on an age without adding the time for which the daemon has held it.
func TestReadAgeAddsUp(t *testing.T) {
	c := quicktest.New(t)
	var a, b relay.ReadAgeTracker
	_, known := b.Elapsed(start)
	c.Assert(known, quicktest.IsFalse)
	a.MarkRead(start)
	age, _ := a.Elapsed(start.Add(3 * time.Second))
	// The clock of the second daemon is one hour ahead.
	remoteNow := start.Add(time.Hour)
	b.Merge(relay.Digest{ServiceReadAgeKnown: true, ServiceReadAge: age}, remoteNow)
	b.Merge(relay.Digest{ServiceReadAgeKnown: true, ServiceReadAge: 20 * time.Second}, remoteNow)
	b.Merge(relay.Digest{ServiceReadAge: 0}, remoteNow)
	b.Merge(relay.Digest{ServiceReadAgeKnown: true, ServiceReadAge: -time.Hour}, remoteNow)
	age, known = b.Elapsed(remoteNow.Add(2 * time.Second))
	c.Assert(known, quicktest.IsTrue)
	c.Assert(age, quicktest.Equals, 5*time.Second)
}

// Guards against serving calls with idempotency keys before peers have confirmed the head, and against never serving
// them. Also guards against counting a response from before a suspension of the machine as a confirmation after it.
func TestConfirmation(t *testing.T) {
	own := ident.Head{Serial: 5, Digest: ident.Digest{1}}
	lower, higher, other := ident.Head{Serial: 4}, ident.Head{Serial: 6}, ident.Head{Serial: 5, Digest: ident.Digest{2}}
	tests := []struct {
		name  string
		heads []ident.Head
		peers int
		sent  time.Duration
		after time.Duration
		want  bool
	}{
		{"no answer", nil, 5, 0, time.Second, false},
		{"one of many", []ident.Head{own}, 5, 0, time.Second, false},
		{"two", []ident.Head{own, lower}, 5, 0, time.Second, true},
		{"two answers to requests sent before the start", []ident.Head{own, lower}, 5, -time.Millisecond, time.Second, false},
		{"two, one ahead", []ident.Head{own, higher}, 5, 0, time.Second, false},
		{"two, one with another note of the serial", []ident.Head{own, other}, 5, 0, time.Second, false},
		{"two with another note of the serial", []ident.Head{other, other}, 5, 0, time.Second, false},
		{"the only one", []ident.Head{own}, 1, 0, time.Second, true},
		{"the only one has another note of the serial", []ident.Head{other}, 1, 0, time.Second, false},
		{"alone", nil, 0, 0, 0, true},
		{"timeout passed", nil, 5, 0, 1500 * time.Millisecond, true},
	}
	for _, test := range tests {
		c := quicktest.New(t)
		confirmation := relay.NewConfirmation(start)
		for i, h := range test.heads {
			confirmation.AddAnswer(ident.VM(fmt.Sprint(i)), h, own, start.Add(test.sent))
		}
		c.Check(confirmation.Done(test.peers, start.Add(test.after)), quicktest.Equals, test.want, quicktest.Commentf(test.name))
	}
}

// Guards against a VM list that returns to an older version, and against removals that are lost in transit.
func TestListsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lists := []*relay.VMList{relay.NewVMList(), relay.NewVMList(), relay.NewVMList()}
		vms := rapid.SliceOfNDistinct(rapid.IntRange(0, 5), 0, 6, rapid.ID[int])
		version := uint64(0)
		var sent []relay.Listing
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			a, b := rapid.IntRange(0, 2).Draw(t, "from"), rapid.IntRange(0, 2).Draw(t, "to")
			before := lists[b].Version()
			if rapid.Bool().Draw(t, "read") {
				version++
				m := relay.Listing{Version: version}
				for _, i := range vms.Draw(t, "vms") {
					m.VMs = append(m.VMs, relay.ListedVM{VM: ident.VM(fmt.Sprint(i)), State: relay.Live})
				}
				lists[b].Apply(m)
			} else if len(sent) > 0 && rapid.Bool().Draw(t, "late") {
				lists[b].Apply(rapid.SampledFrom(sent).Draw(t, "message"))
			} else {
				m := lists[a].ChangesSince(before)
				sent = append(sent, m)
				lists[b].Apply(m)
				if lists[a].Version() > before && lists[b].Version() != lists[a].Version() {
					t.Fatalf("version %d after applying version %d", lists[b].Version(), lists[a].Version())
				}
			}
			if lists[b].Version() < before {
				t.Fatalf("version decreased from %d to %d", before, lists[b].Version())
			}
			if lists[a].Version() == lists[b].Version() && fmt.Sprint(lists[a].VMs()) != fmt.Sprint(lists[b].VMs()) {
				t.Fatalf("lists of version %d differ: %v and %v", version, lists[a].VMs(), lists[b].VMs())
			}
		}
	})
}

func BenchmarkPositionOf(b *testing.B) {
	all := nodes(1800, 12)
	for b.Loop() {
		relay.PositionOf("vm-7", "d-7", all)
	}
}
