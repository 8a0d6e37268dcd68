// Package config is a stand-in for the configuration service: values that daemons can read and watch.
package config

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

// VMList is the key of the list of live and leaving VMs.
const VMList = "vms"

// A Message is what the task receives.
type Message interface{ message() }

// A Put sets a value, which readers see after Lag.
type Put struct {
	Key  string
	Text string
	Lag  time.Duration
}

// A Publish publishes the next release note with the entries in Body. Its text goes to Reply.
type Publish struct {
	Body  string
	Reply *mail.Box[string]
}

// A Behave sets how the service treats its readers from now on.
type Behave struct{ Mode Mode }

type read struct {
	key   string
	after uint64
	ready *mail.Box[value]
}

type giveUp struct{ ready *mail.Box[value] }

type countAsk struct{ reply *mail.Box[int] }

func (Put) message()      {}
func (Publish) message()  {}
func (Behave) message()   {}
func (read) message()     {}
func (giveUp) message()   {}
func (countAsk) message() {}

// A Mode is one of Normal, Down, Slow, Stale, Older and Garbage.
type Mode interface{ mode() }

// A Normal service answers in milliseconds.
type Normal struct{}

// A Down service closes connections without an answer.
type Down struct{}

// A Slow service answers late.
type Slow struct{ By time.Duration }

// A Stale service goes on answering with the values that it had when it became stale.
type Stale struct{}

// An Older service answers with the values that it has now, but with the head before the newest one.
type Older struct{}

// A Garbage service answers with bytes that are no value.
type Garbage struct{}

func (Normal) mode()  {}
func (Down) mode()    {}
func (Slow) mode()    {}
func (Stale) mode()   {}
func (Older) mode()   {}
func (Garbage) mode() {}

type value struct {
	text    string
	version uint64
	found   bool
	mode    Mode
}

// A Task owns the values, their versions and the readers that wait.
type Task struct {
	*tree.Loop
	inbox   *mail.Box[Message]
	server  *http.Server
	address netip.AddrPort
	values  map[string]value
	stale   map[string]value
	version uint64
	waiting []read
	mode    Mode
	calls   int
	serial  int
	last    string
	// before is the head before the newest one.
	before value
}

const mailbox = 4096

// New starts the service at an address. Port 0 takes a free port.
func New(at netip.AddrPort) (*Task, error) {
	l, err := bind.Listen(at)
	if err != nil {
		return nil, errors.Trace(err)
	}
	t := &Task{
		Loop: tree.NewLoop(), inbox: mail.NewBox[Message](mailbox), address: l.Addr().(*net.TCPAddr).AddrPort(),
		values: map[string]value{}, mode: Normal{},
	}
	t.server = &http.Server{Handler: t, ReadHeaderTimeout: time.Second}
	go func() { _ = t.server.Serve(l) }()
	go func() {
		t.Run(t.loop)
	}()
	return t, nil
}

// URL returns the address of the service for the settings of a daemon.
func (t *Task) URL() string { return "http://" + t.address.String() }

// Address returns where the service listens.
func (t *Task) Address() netip.AddrPort { return t.address }

// Send sends a message to the service.
func (t *Task) Send(m Message) { t.inbox.Put(m, t.Done()) }

// Publish publishes the next release note and returns its text.
func (t *Task) Publish(body string) string {
	reply := mail.NewBox[string](1)
	t.Send(Publish{body, reply})
	select {
	case text := <-reply.C():
		return text
	case <-t.Done():
		return ""
	}
}

// Calls returns how many calls readers have made. A waiting watch is one call.
func (t *Task) Calls() int {
	reply := mail.NewBox[int](1)
	t.Send(countAsk{reply})
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
		if m.Lag > 0 {
			time.AfterFunc(m.Lag, func() { t.Send(Put{Key: m.Key, Text: m.Text}) })
			return
		}
		t.put(m.Key, m.Text)
	case Publish:
		m.Reply.TryPut(t.publish(m.Body))
	case Behave:
		t.behave(m.Mode)
	case read:
		t.calls++
		if !t.answer(m) {
			t.waiting = append(t.waiting, m)
		}
	case giveUp:
		t.giveUp(m.ready)
	case countAsk:
		m.reply.TryPut(t.calls)
	}
}

func (t *Task) put(key, text string) {
	t.version++
	t.values[key] = value{text: text, version: t.version, found: true}
	t.wake()
}

func (t *Task) publish(body string) string {
	t.serial++
	text := fmt.Sprintf("Serial = %d\nPrevious = %q\n%s", t.serial, t.last, body)
	t.last = fmt.Sprintf("%x", sha256.Sum256([]byte(text)))
	t.put(fmt.Sprintf("note/%d", t.serial), text)
	t.before = t.values["head"]
	t.put("head", fmt.Sprintf("Serial = %d\nDigest = %q\n", t.serial, t.last))
	return text
}

func (t *Task) behave(m Mode) {
	t.mode, t.stale = m, nil
	switch m.(type) {
	case Stale:
		t.stale = maps.Clone(t.values)
	case Older:
		t.stale = maps.Clone(t.values)
		t.stale["head"] = t.before
	}
	t.wake()
}

// wake answers the readers whose value has changed.
func (t *Task) wake() {
	var waiting []read
	for _, r := range t.waiting {
		if !t.answer(r) {
			waiting = append(waiting, r)
		}
	}
	t.waiting = waiting
}

func (t *Task) answer(r read) bool {
	v := t.lookup(r.key)
	switch t.mode.(type) {
	case Down, Garbage:
		r.ready.TryPut(v)
		return true
	}
	if v.found && v.version > r.after {
		r.ready.TryPut(v)
		return true
	}
	return false
}

func (t *Task) lookup(key string) value {
	values := t.values
	if t.stale != nil {
		values = t.stale
	}
	v := values[key]
	v.mode = t.mode
	return v
}

// giveUp answers a reader that has waited long enough with the value that it knows.
func (t *Task) giveUp(ready *mail.Box[value]) {
	for i, r := range t.waiting {
		if r.ready == ready {
			t.waiting = append(t.waiting[:i:i], t.waiting[i+1:]...)
			ready.TryPut(t.lookup(r.key))
			return
		}
	}
}

// ServeHTTP implements http.Handler.
func (t *Task) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	key, ok := strings.CutPrefix(r.URL.Path, "/v1/values/")
	if !ok || r.Method != http.MethodGet {
		http.Error(w, "values can only be read", http.StatusMethodNotAllowed)
		return
	}
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	ready := mail.NewBox[value](1)
	t.Send(read{key, after, ready})
	select {
	case v := <-ready.C():
		write(w, r, v, after)
	case <-timer.C:
		t.Send(giveUp{ready})
		select {
		case v := <-ready.C():
			write(w, r, v, after)
		case <-t.Done():
		}
	case <-r.Context().Done():
		t.Send(giveUp{ready})
	case <-t.Done():
	}
}

func write(w http.ResponseWriter, r *http.Request, v value, after uint64) {
	switch m := v.mode.(type) {
	case Down:
		panic(http.ErrAbortHandler)
	case Garbage:
		w.Header().Set("Value-Version", strconv.FormatUint(after+1, 10))
		_, _ = w.Write([]byte("\x00\xff not a value = ["))
		return
	case Slow:
		select {
		case <-time.After(m.By):
		case <-r.Context().Done():
			return
		}
	case Normal, Stale, Older:
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
