package ledger

import (
	"flag"
	"testing"
	"time"

	"pgregory.net/rapid"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/errs"
	"jacinthcross/internal/base/ident"
)

func init() {
	// One verdict each time: the seed is fixed unless -rapid.seed gives another.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// A reference is what is known of one key without a Ledger.
type reference struct {
	key     Key
	runs    int // sends that reached the target and were not proved to be not run
	running bool
	joined  int
	outcome call.Outcome
}

// A machine drives a Ledger and compares it with references.
type machine struct {
	ledger   *Ledger
	now      time.Time
	restarts byte
	keys     []*reference
}

func (m *machine) restart() {
	m.restarts++
	m.ledger = New("b1", ident.Incarnation{m.restarts}, Limits{EpochLength: time.Minute, MaxEntries: 4, MaxBytes: 20, MaxJoined: 2}, m.now)
}

func (m *machine) pick(t *rapid.T) *reference {
	if len(m.keys) == 0 {
		t.Skip("no key was issued")
	}
	return m.keys[rapid.IntRange(0, len(m.keys)-1).Draw(t, "key")]
}

func (m *machine) issue(t *rapid.T) {
	k := Key{Target: "b1", Incarnation: m.ledger.incarnation, Epoch: m.ledger.Epoch()}
	k.Nonce[0] = byte(len(m.keys))
	k.Nonce[1] = byte(len(m.keys) >> 8)
	if rapid.IntRange(0, 9).Draw(t, "forged") == 0 {
		k.Epoch += ident.Epoch(rapid.IntRange(1, 3).Draw(t, "ahead"))
	}
	m.keys = append(m.keys, &reference{key: k})
}

// send sends or resends a key and checks the decision against all earlier ones.
func (m *machine) send(t *rapid.T) {
	r := m.pick(t)
	other := rapid.IntRange(0, 9).Draw(t, "other request") == 0 && (r.running || r.outcome != nil)
	digest := ident.Digest{}
	if other {
		digest = ident.Digest{1}
	}
	switch d := m.ledger.Begin(r.key, digest).(type) {
	case Run:
		if r.runs > 0 {
			t.Fatalf("key runs again")
		}
		r.runs, r.running, r.joined = 1, true, 0
	case Join:
		if !r.running || other {
			t.Fatalf("joined a call that is not running or is another")
		}
		if r.joined++; r.joined > 2 {
			t.Fatalf("too many waiters")
		}
	case Replay:
		if r.outcome == nil || other {
			t.Fatalf("replayed %v for a key without an outcome or for another request", d)
		}
		checkReplay(t, r.outcome, d.Outcome)
	case Refuse:
		claim := errs.AnswerTo(d.Kind).Outcome
		if claim == errs.NotRun && r.runs > 0 && d.Kind != errs.KeyMismatch {
			t.Fatalf("%s says not run, but the key ran", d.Kind)
		}
		if claim != errs.NotRun && claim != errs.NotRunEarlierUnknown {
			t.Fatalf("%s is no refusal", d.Kind)
		}
		if d.Kind == errs.KeyMismatch && !other {
			t.Fatalf("the same request was called another")
		}
	}
}

func checkReplay(t *rapid.T, first, replayed call.Outcome) {
	switch o := replayed.(type) {
	case call.Answered:
		a, ok := first.(call.Answered)
		if !ok || string(a.Body) != string(o.Body) || !o.Remembered {
			t.Fatalf("replayed %v, the first outcome was %v", o, first)
		}
	case call.Unknown:
	case call.Refused:
		t.Fatalf("replayed a refusal")
	}
}

// finish ends a running call of any incarnation; the task passes it to the ledger of that run only.
func (m *machine) finish(t *rapid.T) {
	r := m.pick(t)
	if !r.running {
		t.Skip("not running")
	}
	r.running = false
	outcome := rapid.SampledFrom([]call.Outcome{
		call.Answered{Status: 200, Body: []byte("booked")},
		call.Answered{Status: 200, Body: make([]byte, 30)},
		call.Unknown{Kind: errs.TargetFailed, Detail: "reset"},
		call.Refused{Kind: errs.TargetShed},
	}).Draw(t, "outcome")
	if _, notRun := outcome.(call.Refused); notRun {
		r.runs = 0
	} else {
		r.outcome = outcome
	}
	if r.key.Incarnation == m.ledger.incarnation {
		m.ledger.Finish(r.key, outcome)
	}
}

// refuse ends a call before its dispatch.
func (m *machine) refuse(t *rapid.T) {
	r := m.pick(t)
	if !r.running {
		t.Skip("not running")
	}
	r.running, r.runs = false, 0
	if r.key.Incarnation == m.ledger.incarnation {
		m.ledger.Release(r.key)
	}
}

func (m *machine) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 150).Draw(t, "seconds")) * time.Second)
	m.ledger.Advance(m.now)
}

// check compares the counters of the Ledger with its content.
func (m *machine) check(t *rapid.T) {
	entries, bytes := 0, 0
	for epoch, keys := range m.ledger.epochs {
		if m.ledger.epoch-epoch >= epochsKept {
			t.Fatalf("epoch %d was not dropped", epoch)
		}
		for _, e := range keys {
			entries++
			bytes += size(e.outcome)
		}
	}
	if entries != m.ledger.entries || bytes != m.ledger.bytes || entries > 4 || bytes > 20 {
		t.Fatalf("%d entries of %d bytes are counted as %d of %d", entries, bytes, m.ledger.entries, m.ledger.bytes)
	}
}

// TestMachine guards against a second run, a false refusal and a changed answer over random
// sequences of sends, resends, outcomes, epochs and restarts of the owner.
func TestMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{now: time.Unix(1000, 0)}
		m.restart()
		t.Repeat(map[string]func(*rapid.T){
			"issue": m.issue, "send": m.send, "resend": m.send, "finish": m.finish, "refuse": m.refuse, "advance": m.advance,
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
					m.restart()
				}
			},
			"": m.check,
		})
	})
}
