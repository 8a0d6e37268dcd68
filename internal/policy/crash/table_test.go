package crash

import (
	"encoding/binary"
	"math"
	"math/rand"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/ident"
)

func digest(n int) ident.Digest {
	var d ident.Digest
	binary.BigEndian.PutUint32(d[:], uint32(n))
	return d
}

// TestQuarantined guards against requests that keep crashing targets, and against refusing requests that do not.
func TestQuarantined(t *testing.T) {
	start := time.Unix(1000, 0)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	crashing := digest(0)
	withOthers := func(n int) []ident.Digest { // the crashing request and n-1 others
		var all []ident.Digest
		for i := range n {
			all = append(all, digest(i))
		}
		return all
	}
	alone := []ident.Digest{crashing}
	tests := []struct {
		name string
		run  func(t *Table)
		now  int
		want bool
	}{
		{"one crash", func(t *Table) { t.RecordCrash(alone, at(0)) }, 1, false},
		{"two crashes alone", func(t *Table) { t.RecordCrash(alone, at(0)); t.RecordCrash(alone, at(1)) }, 2, true},
		{"two crashes with four in flight", func(t *Table) { t.RecordCrash(withOthers(4), at(0)); t.RecordCrash(withOthers(4), at(1)) }, 2, false},
		{"one crash with two copies of the request in flight", func(t *Table) { t.RecordCrash([]ident.Digest{crashing, crashing}, at(0)) }, 1, false},
		{"two crashes too far apart", func(t *Table) { t.RecordCrash(alone, at(0)); t.RecordCrash(alone, at(60)) }, 61, false},
		{"quarantine ends", func(t *Table) { t.RecordCrash(alone, at(0)); t.RecordCrash(alone, at(1)) }, 61, false},
		{"one local crash and one of a peer's target", func(t *Table) {
			t.RecordCrash(alone, at(0))
			t.MergeReports("p1", []Report{{crashing, 1, 1, crashWindow}}, at(1))
		}, 2, true},
		{"same peer report three times", func(t *Table) {
			for i := range 3 {
				t.MergeReports("p1", []Report{{crashing, 1, 1, crashWindow}}, at(i))
			}
		}, 3, false},
		{"peer report with more weight than crashes", func(t *Table) {
			t.RecordCrash(withOthers(10), at(0))
			t.MergeReports("p1", []Report{{crashing, 100, 1, crashWindow}}, at(0))
		}, 1, false},
		{"peer report with a NaN weight", func(t *Table) { t.MergeReports("p1", []Report{{crashing, math.NaN(), 2, crashWindow}}, at(0)) }, 1, false},
		{"expired peer report", func(t *Table) {
			t.MergeReports("p1", []Report{{crashing, 1, 1, time.Second}}, at(0))
			t.RecordCrash(alone, at(2))
		}, 3, false},
		{"completions between the crashes", func(t *Table) {
			t.RecordCrash(alone, at(0))
			for range completionsToClear {
				t.RecordCompletion(crashing, at(0))
			}
			t.RecordCrash(alone, at(1))
		}, 2, false},
		{"crashes of one peer's target", func(t *Table) { t.MergeReports("p1", []Report{{crashing, 8, 8, crashWindow}}, at(0)) }, 1, false},
		{"crashes of the targets of two peers", func(t *Table) {
			t.MergeReports("p1", []Report{{crashing, 1, 1, crashWindow}}, at(0))
			t.MergeReports("p2", []Report{{crashing, 1, 1, crashWindow}}, at(1))
		}, 59, true},
		{"crashes of the targets of two peers, of a request that completes here", func(t *Table) {
			t.MergeReports("p1", []Report{{crashing, 1, 1, crashWindow}}, at(0))
			for range completionsToClear {
				t.RecordCompletion(crashing, at(1))
			}
			t.MergeReports("p1", []Report{{crashing, 2, 2, crashWindow}}, at(2))
			t.MergeReports("p2", []Report{{crashing, 1, 1, crashWindow}}, at(2))
		}, 3, false},
		{"crashes of the targets of two peers, long after the request completed here", func(t *Table) {
			t.MergeReports("p1", []Report{{crashing, 1, 1, crashWindow}}, at(0))
			for range completionsToClear {
				t.RecordCompletion(crashing, at(1))
			}
			t.MergeReports("p1", []Report{{crashing, 2, 2, crashWindow}}, at(61))
			t.MergeReports("p2", []Report{{crashing, 1, 1, crashWindow}}, at(61))
		}, 62, true},
		{"two local crashes, first quarantine over", func(t *Table) { t.RecordCrash(alone, at(0)); t.RecordCrash(alone, at(1)) }, 7, false},
		{"a crash after each of two quarantines", func(t *Table) {
			for _, s := range []int{0, 1, 6, 16} {
				t.RecordCrash(alone, at(s))
			}
		}, 35, true},
		{"local crash and peer report of a request that completed here", func(t *Table) {
			t.MergeReports("p1", []Report{{crashing, 1, 1, crashWindow}}, at(0))
			for range completionsToClear {
				t.RecordCompletion(crashing, at(1))
			}
			t.RecordCrash(alone, at(2))
			t.MergeReports("p1", []Report{{crashing, 2, 2, crashWindow}}, at(3))
		}, 4, true},
		{"twelve crashes of a peer's target, of a request that was popular here until the local target crashed", func(t *Table) {
			for i := range 40 {
				t.RecordCompletion(crashing, at(0).Add(time.Duration(i)*25*time.Millisecond))
			}
			t.RecordCrash(withOthers(4), at(1))
			t.MergeReports("p1", []Report{{crashing, 12, 12, crashWindow}}, at(2))
		}, 3, false},
		{"crashes of the targets of two peers, of a request that is popular here", func(t *Table) {
			for i := range 40 {
				t.RecordCompletion(crashing, at(0).Add(time.Duration(i)*25*time.Millisecond))
			}
			t.MergeReports("p1", []Report{{crashing, 2, 2, crashWindow}}, at(1))
			t.MergeReports("p2", []Report{{crashing, 2, 2, crashWindow}}, at(1))
		}, 2, false},
		{"two local crashes, first quarantine over, and a low-weight report of a peer where the request is popular", func(t *Table) {
			t.RecordCrash(alone, at(0))
			t.RecordCrash(alone, at(1))
			t.MergeReports("p1", []Report{{crashing, .01, 1, crashWindow}}, at(2))
		}, 7, false},
		{"fifteen crashes with ten in flight within the window", func(t *Table) {
			for i := range 15 {
				t.RecordCrash(withOthers(10), at(i))
			}
		}, 15, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := NewTable()
			test.run(table)
			qt.Assert(t, table.IsQuarantined(crashing, at(test.now)), qt.Equals, test.want)
		})
	}
}

// TestPopularRequests guards against quarantining a popular request on all VMs after targets of several VMs crashed with
// it in flight, and against running a request that crashes targets because it completed long ago.
func TestPopularRequests(t *testing.T) {
	start := time.Unix(1000, 0)
	for _, test := range []struct {
		name string
		// completed is the number of completions at each target within one second.
		completed int
		// quiet is the time between that second and the first crash.
		quiet time.Duration
		want  bool
	}{
		{"a popular request", 40, 0, false},
		{"a request that completed now and then", 8, 0, false},
		{"a request that completed once", 1, 0, true},
		{"a request that never completed", 0, 0, true},
		{"a request that completed long ago", 40, time.Minute, true},
	} {
		t.Run(test.name, func(t *testing.T) {
			vms := []ident.VM{"v0", "v1", "v2"}
			tables := map[ident.VM]*Table{}
			for _, v := range vms {
				tables[v] = NewTable()
				for i := range test.completed {
					tables[v].RecordCompletion(digest(0), start.Add(time.Duration(i)*10*time.Millisecond))
				}
			}
			now := start.Add(time.Second + test.quiet)
			for crash := range 2 {
				for _, v := range vms {
					reports := tables[v].RecordCrash([]ident.Digest{digest(0)}, now)
					for _, peer := range vms {
						if peer != v {
							tables[peer].MergeReports(v, reports, now)
						}
					}
				}
				now = now.Add(time.Duration(crash+1) * time.Second)
			}
			for _, v := range vms {
				qt.Check(t, tables[v].IsQuarantined(digest(0), now), qt.Equals, test.want, qt.Commentf("%s", v))
			}
		})
	}
}

// TestCompletionCounterIsBounded guards against a completion counter that grows with the number of distinct requests.
func TestCompletionCounterIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable()
	for i := range 10 * maxCountedRequests {
		table.RecordCompletion(digest(i), now)
	}
	qt.Assert(t, table.completions.len() <= 2*maxCountedRequests, qt.IsTrue)
}

// TestReportsExcludePeerEvidence guards against counting a crash twice because peers forward each other's reports.
func TestReportsExcludePeerEvidence(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable()
	table.MergeReports("p1", []Report{{digest(0), 1, 1, crashWindow}}, now)
	table.RecordCrash([]ident.Digest{digest(0)}, now)
	got := table.RecordCrash([]ident.Digest{digest(0), digest(1)}, now.Add(20*time.Second))
	qt.Assert(t, got, qt.DeepEquals, []Report{{digest(0), 1.5, 2, 40 * time.Second}, {digest(1), 0.5, 1, crashWindow}})
}

// TestEvidenceExpires guards against computing the digest of each call long after the last crash.
func TestEvidenceExpires(t *testing.T) {
	now := time.Unix(1000, 0)
	for _, test := range []struct {
		name  string
		run   func(t *Table)
		after time.Duration
		want  bool
	}{
		{"no crash", func(*Table) {}, 0, false},
		{"a crash", func(t *Table) { t.RecordCrash([]ident.Digest{digest(0)}, now) }, crashWindow - 1, true},
		{"an old crash", func(t *Table) { t.RecordCrash([]ident.Digest{digest(0)}, now) }, crashWindow, false},
		{"a request that keeps completing", func(t *Table) {
			t.RecordCrash([]ident.Digest{digest(0)}, now)
			for i := range 100 {
				t.RecordCompletion(digest(0), now.Add(time.Duration(i)*time.Second))
			}
		}, 200 * time.Second, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			table := NewTable()
			test.run(table)
			qt.Assert(t, table.HasEvidence(now.Add(test.after)), qt.Equals, test.want)
		})
	}
}

// TestFloodKeepsStrongEvidence guards against a flood of distinct requests that evicts strong evidence from the table.
func TestFloodKeepsStrongEvidence(t *testing.T) {
	now := time.Unix(1000, 0)
	table := NewTable()
	table.RecordCrash([]ident.Digest{digest(0)}, now)
	for crash := range 100 {
		var flood []ident.Digest
		for i := range 50 {
			flood = append(flood, digest(1+crash*50+i))
		}
		table.RecordCrash(flood, now)
	}
	qt.Assert(t, table.Len() <= 1024, qt.IsTrue)
	table.RecordCrash([]ident.Digest{digest(0)}, now)
	qt.Assert(t, table.IsQuarantined(digest(0), now), qt.IsTrue)
}

// TestCrashesUnrelatedToRequests guards against quarantining popular requests of a Zipf-distributed load when a
// target crashes every five seconds for reasons unrelated to requests. It also checks that a request which does crash
// the target is detected.
func TestCrashesUnrelatedToRequests(t *testing.T) {
	tests := []struct {
		name    string
		slots   int
		crashes bool
	}{
		{"ten slots", 10, false},
		{"six slots", 6, false},
		{"six slots and a request that crashes each target", 6, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			random := rand.New(rand.NewSource(3))
			popular := rand.NewZipf(random, 1.2, 1, 500)
			table, now := NewTable(), time.Unix(1000, 0)
			quarantined, found := 0, false
			for range 60 {
				for range 500 {
					table.RecordCompletion(digest(1+int(popular.Uint64())), now)
				}
				var inFlight []ident.Digest
				for range test.slots {
					inFlight = append(inFlight, digest(1+int(popular.Uint64())))
				}
				now = now.Add(5 * time.Second)
				if test.crashes && !table.IsQuarantined(digest(0), now) {
					inFlight[0] = digest(0)
				}
				table.RecordCrash(inFlight, now)
				found = found || table.IsQuarantined(digest(0), now)
				for i := 1; i <= 501; i++ {
					if table.IsQuarantined(digest(i), now) {
						quarantined++
					}
				}
			}
			qt.Assert(t, quarantined, qt.Equals, 0)
			qt.Assert(t, found, qt.Equals, test.crashes)
		})
	}
}
