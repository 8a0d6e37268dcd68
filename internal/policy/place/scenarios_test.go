package place_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/ident"
)

const ms = time.Millisecond

// The calls of the users' deployments: reads and bookings with lookups, and long reports.
var (
	read = kind{
		name: "read", service: "a", rank: ident.Deferred, work: 160 * ms, aim: 500 * ms, timeout: time.Second, allowed: 2 * time.Second,
		retries: 1, inner: []ident.Route{"lookup"},
	}
	book = kind{
		name: "book", service: "b", rank: ident.Normal, work: 210 * ms, aim: 600 * ms, timeout: 1200 * ms, allowed: 2500 * ms, retries: 1,
	}
	lookup = kind{name: "lookup", service: "b", rank: ident.Normal, work: 40 * ms, aim: 150 * ms, timeout: 500 * ms, allowed: 500 * ms}
)

func (k kind) at(rate float64) kind {
	k.rate = rate
	return k
}

func (k kind) between(from, to time.Duration) kind {
	k.from, k.to = from, to
	return k
}

// all are the decisions as daemons make them.
var all = policy{sensor: true, bounce: true}

// A wish is the least share that the callers of a kind must get.
type wish struct {
	kind   ident.Route
	inAim  float64
	served float64
}

// Guards against loads that callers feel although the targets could serve them. The loads are those that the
// decisions answer; the least shares come from what the targets can run.
func TestLoads(t *testing.T) {
	deployment := scene{targets: map[ident.Service]int{"a": 4, "b": 4}, slots: 6, noise: .35, factor: 5, spell: 150 * ms, length: 40 * time.Second}
	tests := []struct {
		name   string
		kinds  []kind
		change func(s *scene)
		wishes []wish
	}{
		{"neighbours that slow targets down a third of the time", []kind{read.at(25), book.at(14), lookup}, nil, []wish{
			{"read", .95, .99}, {"book", .95, .99}, {"lookup", .9, .99},
		}},
		{"neighbours that slow targets down for a second at a time", []kind{read.at(20), book.at(10), lookup}, func(s *scene) { s.spell, s.factor = time.Second, 4 }, []wish{
			// All four targets of a service are slow in 1.5% of the time; a call whose lookups are late is late too.
			{"read", .9, .99}, {"book", .95, .99}, {"lookup", .9, .99},
		}},
		{"targets that slow down when nearly full", []kind{read.at(45), book.at(14), lookup}, func(s *scene) { s.noise, s.knee = 0, 1.7 }, []wish{
			{"read", .9, .98}, {"book", .9, .98},
		}},
		{"a burst of three seconds at twice what the targets can run", []kind{read.at(15), book.at(14), lookup, read.at(150).between(10*time.Second, 13*time.Second)}, nil, []wish{
			{"book", .9, .98},
		}},
		{"an overload for all of the time", []kind{read.at(150), book.at(14), lookup}, nil, []wish{
			// 24 slots, 0.65 of the time fast, 0.23 s a call: 68 of 150 a second.
			{"read", .35, .35}, {"book", .9, .97}, {"lookup", .85, .97},
		}},
		{"urgent and less urgent calls of one service", []kind{
			func() kind { k := read.at(60); k.service, k.inner = "b", nil; return k }(), book.at(25), lookup,
		}, nil, []wish{{"book", .95, .98}, {"read", .5, .5}}},
		{"one target of each service twelve times slower", []kind{read.at(25), book.at(14), lookup}, func(s *scene) { s.broken = 12 }, []wish{
			{"read", .9, .97}, {"book", .9, .97},
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := deployment
			s.kinds = test.kinds
			if test.change != nil {
				test.change(&s)
			}
			got := newWorld(s, all, 1).play()
			for _, w := range test.wishes {
				g := got[w.kind]
				t.Logf("%s: asked %d, in aim %.3f, served %.3f, refused %d, failed %d", w.kind, g.asked, g.share(), g.served(), g.refused, g.failed)
				qt.Check(t, g.share() >= w.inAim, qt.IsTrue, qt.Commentf("%s in aim: %.3f, want %.3f", w.kind, g.share(), w.inAim))
				qt.Check(t, g.served() >= w.served, qt.IsTrue, qt.Commentf("%s served: %.3f, want %.3f", w.kind, g.served(), w.served))
			}
		})
	}
}

// Guards against decisions that are of no use: each must give callers more than its absence, on the load that it answers.
func TestDecisionsAreWorthTheirCode(t *testing.T) {
	deployment := scene{targets: map[ident.Service]int{"a": 4, "b": 4}, slots: 6, noise: .35, factor: 5, spell: 150 * ms, length: 40 * time.Second}
	deployment.kinds = []kind{read.at(25), book.at(14), lookup}
	for _, test := range []struct {
		name    string
		without policy
		gain    float64
	}{
		{"the measurement of slowness", policy{bounce: true}, .1},
		{"giving calls back", policy{sensor: true}, .02},
		{"both, and the choice of targets", policy{random: true}, .2},
	} {
		t.Run(test.name, func(t *testing.T) {
			with, without := 0., 0.
			for seed := range uint64(3) {
				with += newWorld(deployment, all, seed).play()["read"].share() / 3
				without += newWorld(deployment, test.without, seed).play()["read"].share() / 3
			}
			t.Logf("reads in aim: %.3f with, %.3f without", with, without)
			qt.Assert(t, with-without >= test.gain, qt.IsTrue)
		})
	}
}
