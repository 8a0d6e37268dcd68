// Package cfgsvc is a simulated configuration service with versioned values that daemons read and watch.
package cfgsvc

import (
	"crypto/sha256"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/bench/bind"
	"jacinthcross/internal/super/tree"
)

// VMList is the key of the list of VMs that are live or leaving.
const VMList = "vms"

// A Message is what the task receives.
type Message interface{ message() }

// A Put sets a value, which becomes visible to readers after Delay.
type Put struct {
	Key   string
	Text  string
	Delay time.Duration
}

// A PublishNote publishes the next release note with the entries in Body and sends the text of the note to Reply.
type PublishNote struct {
	Body  string
	Reply *mail.Box[string]
}

// A SetMode sets the mode in which the service answers from now on.
type SetMode struct{ Mode Mode }

type readRequest struct {
	key   string
	after uint64
	reply *mail.Box[value]
}

type waitEnded struct{ reply *mail.Box[value] }

type countRequest struct{ reply *mail.Box[int] }

func (Put) message()          {}
func (PublishNote) message()  {}
func (SetMode) message()      {}
func (readRequest) message()  {}
func (waitEnded) message()    {}
func (countRequest) message() {}

// A Mode selects how the service answers reads: Normal, Down, Slow, Stale, PreviousHead or Malformed.
type Mode interface{ mode() }

// A Normal service answers at once.
type Normal struct{}

// A Down service closes connections without a response.
type Down struct{}

// A Slow service delays each response.
type Slow struct{ Delay time.Duration }

// A Stale service answers with the values that it had when this mode was set.
type Stale struct{}

// A PreviousHead service answers like a Stale one, except that the key "head" names the release before the newest. It
// simulates a service that has lost its newest release.
type PreviousHead struct{}

// A Malformed service answers with bytes that do not parse as a value.
type Malformed struct{}

func (Normal) mode()       {}
func (Down) mode()         {}
func (Slow) mode()         {}
func (Stale) mode()        {}
func (PreviousHead) mode() {}
func (Malformed) mode()    {}

type value struct {
	text    string
	version uint64
	found   bool
	mode    Mode
}

// A Task holds the values, their versions and the reads that wait for a change.
type Task struct {
	*tree.Loop
	inbox   *mail.Box[Message]
	server  *http.Server
	address netip.AddrPort
	values  map[string]value
	// snapshot holds the values that are served in the modes Stale and PreviousHead.
	snapshot   map[string]value
	version    uint64
	waiters    []readRequest
	mode       Mode
	reads      int
	serial     int
	lastDigest string
	// previousHead is the value of the key "head" before the newest release was published.
	previousHead value
}

const inboxSize = 4096

// New starts the service at an address. Port 0 selects a free port.
func New(address netip.AddrPort) (*Task, error) {
	l, err := bind.Listen(address)
	if err != nil {
		return nil, errors.Trace(err)
	}
	t := &Task{
		Loop: tree.NewLoop(), inbox: mail.NewBox[Message](inboxSize), address: l.Addr().(*net.TCPAddr).AddrPort(),
		values: map[string]value{}, mode: Normal{},
	}
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: time.Second}
	go func() { _ = t.server.Serve(l) }()
	go func() {
		t.Run(t.loop)
	}()
	return t, nil
}

// URL returns the URL of the service, as the settings of a daemon have it.
func (t *Task) URL() string { return "http://" + t.address.String() }

// Address returns the address at which the service listens.
func (t *Task) Address() netip.AddrPort { return t.address }

// Send puts a message into the mailbox. It waits while the mailbox is full. After the task has ended, it drops the
// message.
func (t *Task) Send(m Message) { t.inbox.Put(m, t.Done()) }

// Publish publishes the next release note and returns its text.
func (t *Task) Publish(body string) string {
	reply := mail.NewBox[string](1)
	t.Send(PublishNote{body, reply})
	select {
	case text := <-reply.C():
		return text
	case <-t.Done():
		return ""
	}
}

// Reads returns the number of reads so far. A long poll counts as one.
func (t *Task) Reads() int {
	reply := mail.NewBox[int](1)
	t.Send(countRequest{reply})
	select {
	case n := <-reply.C():
		return n
	case <-t.Done():
		return 0
	}
}

func (t *Task) loop() error {
	defer t.server.Close()
	for {
		select {
		case m := <-t.inbox.C():
			t.receive(m)
		case <-t.Stopping():
			return nil
		}
	}
}

func (t *Task) receive(m Message) {
	switch m := m.(type) {
	case Put:
		if m.Delay > 0 {
			time.AfterFunc(m.Delay, func() { t.Send(Put{Key: m.Key, Text: m.Text}) })
			return
		}
		t.put(m.Key, m.Text)
	case PublishNote:
		m.Reply.TryPut(t.appendNote(m.Body))
	case SetMode:
		t.setMode(m.Mode)
	case readRequest:
		t.reads++
		if !t.tryReply(m) {
			t.waiters = append(t.waiters, m)
		}
	case waitEnded:
		t.endWait(m.reply)
	case countRequest:
		m.reply.TryPut(t.reads)
	}
}

func (t *Task) put(key, text string) {
	t.version++
	t.values[key] = value{text: text, version: t.version, found: true}
	t.notifyWaiters()
}

func (t *Task) appendNote(body string) string {
	t.serial++
	text := fmt.Sprintf("Serial = %d\nPrevious = %q\n%s", t.serial, t.lastDigest, body)
	t.lastDigest = fmt.Sprintf("%x", sha256.Sum256([]byte(text)))
	t.put(fmt.Sprintf("note/%d", t.serial), text)
	t.previousHead = t.values["head"]
	t.put("head", fmt.Sprintf("Serial = %d\nDigest = %q\n", t.serial, t.lastDigest))
	return text
}

func (t *Task) setMode(m Mode) {
	t.mode, t.snapshot = m, nil
	switch m.(type) {
	case Stale:
		t.snapshot = maps.Clone(t.values)
	case PreviousHead:
		t.snapshot = maps.Clone(t.values)
		t.snapshot["head"] = t.previousHead
	}
	t.notifyWaiters()
}

// notifyWaiters answers the waiting reads whose value has changed.
func (t *Task) notifyWaiters() {
	var waiting []readRequest
	for _, r := range t.waiters {
		if !t.tryReply(r) {
			waiting = append(waiting, r)
		}
	}
	t.waiters = waiting
}

func (t *Task) tryReply(r readRequest) bool {
	v := t.lookup(r.key)
	switch t.mode.(type) {
	case Down, Malformed:
		r.reply.TryPut(v)
		return true
	}
	if v.found && v.version > r.after {
		r.reply.TryPut(v)
		return true
	}
	return false
}

func (t *Task) lookup(key string) value {
	values := t.values
	if t.snapshot != nil {
		values = t.snapshot
	}
	v := values[key]
	v.mode = t.mode
	return v
}

// endWait removes a read whose wait has ended and answers it with the current value.
func (t *Task) endWait(reply *mail.Box[value]) {
	for i, r := range t.waiters {
		if r.reply == reply {
			t.waiters = append(t.waiters[:i:i], t.waiters[i+1:]...)
			reply.TryPut(t.lookup(r.key))
			return
		}
	}
}

// ServeHTTP implements http.Handler.
func (t *Task) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, ok := strings.CutPrefix(r.URL.Path, "/v1/values/")
	if !ok || r.Method != http.MethodGet {
		http.Error(w, "want GET /v1/values/KEY", http.StatusMethodNotAllowed)
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	reply := mail.NewBox[value](1)
	t.Send(readRequest{key, after, reply})
	select {
	case v := <-reply.C():
		writeResponse(w, r, v, after)
	case <-timer.C:
		t.Send(waitEnded{reply})
		select {
		case v := <-reply.C():
			writeResponse(w, r, v, after)
		case <-t.Done():
		}
	case <-r.Context().Done():
		t.Send(waitEnded{reply})
	case <-t.Done():
	}
}

func writeResponse(w http.ResponseWriter, r *http.Request, v value, after uint64) {
	switch m := v.mode.(type) {
	case Down:
		panic(http.ErrAbortHandler)
	case Malformed:
		w.Header().Set("Value-Version", strconv.FormatUint(after+1, 10))
		_, _ = w.Write([]byte("\x00\xff not a value = ["))
		return
	case Slow:
		select {
		case <-time.After(m.Delay):
		case <-r.Context().Done():
			return
		}
	case Normal, Stale, PreviousHead:
	}
	switch {
	case !v.found:
		http.NotFound(w, r)
	case v.version <= after:
		w.WriteHeader(http.StatusNotModified)
	default:
		w.Header().Set("Value-Version", strconv.FormatUint(v.version, 10))
		_, _ = w.Write([]byte(v.text))
	}
}
