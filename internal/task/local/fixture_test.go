package local

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/call"
	"jacinthcross/internal/base/ident"
	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/fleet/note"
	"jacinthcross/internal/policy/ledger"
)

const resultTimeout = 5 * time.Second

// A rawTarget is a TCP server that passes each request that it parses to a function.
type rawTarget struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
	runs     atomic.Int64
	accepted atomic.Int64 // number of connections accepted
	ended    atomic.Int64 // number of connections ended
}

// newRawTarget starts a target. The function writes the response and returns false to close the connection.
func newRawTarget(t *testing.T, at string, serve func(w net.Conn, r *http.Request, body []byte) bool) *rawTarget {
	l, err := net.Listen("tcp", at)
	qt.Assert(t, err, qt.IsNil)
	target := &rawTarget{listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			target.accepted.Add(1)
			target.mu.Lock()
			target.conns = append(target.conns, c)
			target.mu.Unlock()
			go func() {
				defer target.ended.Add(1)
				defer c.Close()
				reader := bufio.NewReader(c)
				for {
					r, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					body, _ := io.ReadAll(r.Body)
					target.runs.Add(1)
					if !serve(c, r, body) {
						return
					}
				}
			}()
		}
	}()
	t.Cleanup(target.crash)
	return target
}

func (r *rawTarget) address() netip.AddrPort { return r.listener.Addr().(*net.TCPAddr).AddrPort() }

// crash simulates the death of the process: the listener closes and connections are reset.
func (r *rawTarget) crash() {
	_ = r.listener.Close()
	r.reset()
}

// reset resets all connections, as when the process is replaced and its successor accepts connections at once.
func (r *rawTarget) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
	r.conns = nil
}

// openConns returns the number of connections that are open.
func (r *rawTarget) openConns() int64 { return r.accepted.Load() - r.ended.Load() }

// acceptedSinceReset returns the number of connections accepted since the last reset.
func (r *rawTarget) acceptedSinceReset() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// A fixture is a Task with its mailbox.
type fixture struct {
	t     *testing.T
	inbox *mail.Box[Message]
	// target is the name of the target to which calls are sent.
	target ident.Target
	// address is the address of the target in the first release.
	address netip.AddrPort
}

func startFixture(t *testing.T, target note.Target, options ...Option) *fixture {
	f := &fixture{t: t, inbox: mail.NewBox[Message](256), target: "b1", address: target.Address}
	task, err := New("vm1", f.inbox, options...)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		task.Stop()
		qt.Check(t, task.Err(), qt.IsNil)
	})
	f.putRelease(target)
	return f
}

// putRelease sends a release with the given target, or with none if its name is empty.
func (f *fixture) putRelease(target note.Target) {
	r := note.NewRelease()
	if target.Name != "" {
		target.VM, target.Service = "vm1", "bookings"
		if target.Slots == 0 {
			target.Slots = 4
		}
		r.Targets[target.Name] = target
	}
	f.inbox.Put(ReleaseChanged{Release: r}, nil)
}

func (f *fixture) load() call.Load {
	reply := mail.NewBox[call.Load](1)
	f.inbox.Put(LoadRequest{Reply: reply}, nil)
	return <-reply.C()
}

func (f *fixture) key() string {
	l := f.load()
	return ledger.NewKey("b1", l.Incarnation, l.Epoch).String()
}

// send sends a call and returns the mailbox for its result and its ID.
func (f *fixture) send(r call.Request) (*mail.Box[call.Result], call.ID) {
	if r.Deadline.IsZero() {
		r.Deadline = time.Now().Add(3 * time.Second)
	}
	if r.Method == "" {
		r.Method = http.MethodGet
	}
	if r.URI == "" {
		r.URI = "/"
	}
	if r.Rank == "" {
		r.Rank = ident.Urgent
	}
	r.Idempotent = r.Key == ""
	reply, id := mail.NewBox[call.Result](1), call.NextID()
	f.inbox.Put(Run{ID: id, Target: f.target, Request: r, Reply: reply}, nil)
	return reply, id
}

func (f *fixture) wait(reply *mail.Box[call.Result]) call.Outcome {
	f.t.Helper()
	select {
	case r := <-reply.C():
		return r.Outcome
	case <-time.After(resultTimeout):
		f.t.Fatal("the call has no result within resultTimeout")
		return nil
	}
}

func (f *fixture) do(r call.Request) call.Outcome {
	f.t.Helper()
	reply, _ := f.send(r)
	return f.wait(reply)
}

// waitUntil polls a condition until it is true and fails the test after resultTimeout.
func (f *fixture) waitUntil(what string, condition func() bool) {
	f.t.Helper()
	for end := time.Now().Add(resultTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatal("timed out waiting until " + what)
		}
	}
}
