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

// A rawTarget accepts connections and gives each request that it reads to a function.
type rawTarget struct {
	listener net.Listener
	mu       sync.Mutex
	conns    []net.Conn
	runs     atomic.Int64
	accepted atomic.Int64 // connections
	ended    atomic.Int64 // connections
}

// newRawTarget starts a target. The function writes the answer, and returns false to close the connection.
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

// crash ends the target as the death of its process does: the listener closes and connections are reset.
func (r *rawTarget) crash() {
	_ = r.listener.Close()
	r.reset()
}

// reset ends all connections, as when another process takes over the listener at once.
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

// live returns how many connections are open.
func (r *rawTarget) live() int64 { return r.accepted.Load() - r.ended.Load() }

// opened returns how many connections were accepted.
func (r *rawTarget) opened() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.conns)
}

// A bench is a Task with a mailbox, to which a test sends.
type bench struct {
	t     *testing.T
	inbox *mail.Box[Message]
}

func newBench(t *testing.T, target note.Target, options ...Option) *bench {
	b := &bench{t: t, inbox: mail.NewBox[Message](256)}
	task, err := New("vm1", b.inbox, options...)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() {
		task.Stop()
		qt.Check(t, task.Err(), qt.IsNil)
	})
	b.release(target)
	return b
}

// release puts a release with the target in force, or one without any.
func (b *bench) release(target note.Target) {
	r := note.NewRelease()
	if target.Name != "" {
		target.VM, target.Service = "vm1", "bookings"
		if target.Slots == 0 {
			target.Slots = 4
		}
		r.Targets[target.Name] = target
	}
	b.inbox.Put(ReleaseChanged{Release: r}, nil)
}

func (b *bench) load() call.Load {
	reply := mail.NewBox[call.Load](1)
	b.inbox.Put(LoadAsk{Reply: reply}, nil)
	return <-reply.C()
}

func (b *bench) key() string {
	l := b.load()
	return ledger.NewKey("b1", l.Incarnation, l.Epoch).String()
}

// send sends a call and returns the box of its result and its ID.
func (b *bench) send(r call.Request) (*mail.Box[call.Result], call.ID) {
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
	b.inbox.Put(Run{ID: id, Target: "b1", Request: r, Reply: reply}, nil)
	return reply, id
}

func (b *bench) wait(reply *mail.Box[call.Result]) call.Outcome {
	b.t.Helper()
	select {
	case r := <-reply.C():
		return r.Outcome
	case <-time.After(resultTimeout):
		b.t.Fatal("no result")
		return nil
	}
}

func (b *bench) do(r call.Request) call.Outcome {
	b.t.Helper()
	reply, _ := b.send(r)
	return b.wait(reply)
}

// until waits for a condition that other goroutines bring about.
func (b *bench) until(what string, condition func() bool) {
	b.t.Helper()
	for end := time.Now().Add(resultTimeout); !condition(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			b.t.Fatal("not reached: " + what)
		}
	}
}
