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
	// Fix the seed, so that runs are reproducible unless -rapid.seed is given.
	if err := flag.Set("rapid.seed", "1"); err != nil {
		panic(err)
	}
}

// A keyModel is the expected state of one key, tracked independently of the Ledger.
type keyModel struct {
	key          Key
	possibleRuns int // 1 if a send of the key ran or may have run, else 0
	running      bool
	waiting      int
	outcome      call.Outcome
}

// A stateMachine drives a Ledger and compares it with the model of each key.
type stateMachine struct {
	ledger   *Ledger
	now      time.Time
	restarts byte
	keys     []*keyModel
}

func (m *stateMachine) restart() {
	m.restarts++
	m.ledger = New("b1", ident.Incarnation{m.restarts}, Limits{EpochLength: time.Minute, MaxEntries: 4, MaxBytes: 20, MaxWaiting: 2}, m.now)
}

func (m *stateMachine) pickKey(t *rapid.T) *keyModel {
	if len(m.keys) == 0 {
		t.Skip("no key issued yet")
	}
	return m.keys[rapid.IntRange(0, len(m.keys)-1).Draw(t, "key")]
}

func (m *stateMachine) issueKey(t *rapid.T) {
	k := Key{Target: "b1", Incarnation: m.ledger.incarnation, Epoch: m.ledger.Epoch()}
	k.Nonce[0] = byte(len(m.keys))
	k.Nonce[1] = byte(len(m.keys) >> 8)
	if rapid.IntRange(0, 9).Draw(t, "forged") == 0 {
		k.Epoch += ident.Epoch(rapid.IntRange(1, 3).Draw(t, "ahead"))
	}
	m.keys = append(m.keys, &keyModel{key: k})
}

// send sends or resends a key and checks the decision against the model.
func (m *stateMachine) send(t *rapid.T) {
	k := m.pickKey(t)
	otherRequest := rapid.IntRange(0, 9).Draw(t, "other request") == 0 && (k.running || k.outcome != nil)
	digest := ident.Digest{}
	if otherRequest {
		digest = ident.Digest{1}
	}
	switch d := m.ledger.Begin(k.key, digest).(type) {
	case Run:
		if k.possibleRuns > 0 {
			t.Fatalf("key allowed to run a second time")
		}
		k.possibleRuns, k.running, k.waiting = 1, true, 0
	case Join:
		if !k.running || otherRequest {
			t.Fatalf("joined a call that is not running or has a different request")
		}
		if k.waiting++; k.waiting > 2 {
			t.Fatalf("more than 2 resends wait for one call")
		}
	case Replay:
		if k.outcome == nil || otherRequest {
			t.Fatalf("replayed %v for a key without an outcome or for a different request", d)
		}
		checkReplay(t, k.outcome, d.Outcome)
	case Refuse:
		outcome := errs.ResponseFor(d.Kind).Outcome
		// KeyMismatch refuses a different request, which has not run, although the key has.
		if outcome == errs.NotRun && k.possibleRuns > 0 && d.Kind != errs.KeyMismatch {
			t.Fatalf("%s states that the call did not run, but it ran", d.Kind)
		}
		if outcome != errs.NotRun && outcome != errs.NotRunEarlierUnknown {
			t.Fatalf("Refuse with %s, which is not a refusal kind", d.Kind)
		}
		if d.Kind == errs.KeyMismatch && !otherRequest {
			t.Fatalf("KeyMismatch for the same request")
		}
	}
}

func checkReplay(t *rapid.T, first, replayed call.Outcome) {
	switch o := replayed.(type) {
	case call.Answered:
		a, ok := first.(call.Answered)
		if !ok || string(a.Body) != string(o.Body) || !o.Replayed {
			t.Fatalf("replayed %v, but the first outcome was %v", o, first)
		}
	case call.Unknown:
	case call.Refused:
		t.Fatalf("replayed a refusal")
	}
}

// finish ends a running call of any incarnation. As in the daemon, only the Ledger of the same incarnation is told.
func (m *stateMachine) finish(t *rapid.T) {
	k := m.pickKey(t)
	if !k.running {
		t.Skip("not running")
	}
	k.running = false
	outcome := rapid.SampledFrom([]call.Outcome{
		call.Answered{Status: 200, Body: []byte("booked")},
		call.Answered{Status: 200, Body: make([]byte, 30)},
		call.Unknown{Kind: errs.TargetFailed, Detail: "reset"},
		call.Refused{Kind: errs.TargetShed},
	}).Draw(t, "outcome")
	if _, notRun := outcome.(call.Refused); notRun {
		k.possibleRuns = 0
	} else {
		k.outcome = outcome
	}
	if k.key.Incarnation == m.ledger.incarnation {
		m.ledger.Finish(k.key, outcome)
	}
}

// release ends a running call that was refused before dispatch.
func (m *stateMachine) release(t *rapid.T) {
	k := m.pickKey(t)
	if !k.running {
		t.Skip("not running")
	}
	k.running, k.possibleRuns = false, 0
	if k.key.Incarnation == m.ledger.incarnation {
		m.ledger.Release(k.key)
	}
}

func (m *stateMachine) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 150).Draw(t, "seconds")) * time.Second)
	m.ledger.AdvanceEpoch(m.now)
}

// checkCounters compares the counters of the Ledger with its contents.
func (m *stateMachine) checkCounters(t *rapid.T) {
	entries, bytes := 0, 0
	for epoch, keys := range m.ledger.epochs {
		if m.ledger.epoch-epoch >= validEpochs {
			t.Fatalf("expired epoch %d was not dropped", epoch)
		}
		for _, e := range keys {
			entries++
			bytes += answerSize(e.outcome)
		}
	}
	if entries != m.ledger.entries || bytes != m.ledger.answerBytes || entries > 4 || bytes > 20 {
		t.Fatalf("ledger holds %d entries with %d bytes, but counts %d entries with %d bytes", entries, bytes, m.ledger.entries, m.ledger.answerBytes)
	}
}

// TestStateMachine guards against a second run with the same key, a wrong refusal and a changed answer, in random
// sequences of sends, resends, outcomes, epoch changes and restarts of the daemon.
func TestStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &stateMachine{now: time.Unix(1000, 0)}
		m.restart()
		t.Repeat(map[string]func(*rapid.T){
			"issue": m.issueKey, "send": m.send, "resend": m.send, "finish": m.finish, "release": m.release, "advance": m.advance,
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 4).Draw(t, "restart") == 0 {
					m.restart()
				}
			},
			"": m.checkCounters,
		})
	})
}
