package crowd

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/cli/cmds"
	"jacinthcross/platform/fake"
)

// The limits of the daemon, and the bounds of what it may use. The memory bound leaves room for the runtime, whose
// collector lets the heap grow to twice its size, and for the program itself. The daemon must leave some of its
// descriptors to its connections to the target and to peers.
const (
	descriptorLimit = 500
	maxDescriptors  = 450
	maxMemory       = 128 << 20
	limits          = "MaxBody = 1048576\nMaxBodyMemory = 4194304\nMaxHeader = 16384"
	// sendPatience is how long a crowd may take to send, and servicePatience limits the wait for ordinary requests.
	sendPatience    = 400 * time.Millisecond
	servicePatience = 8 * time.Second
)

// TestMain runs the daemon in place of the tests if it gets the arguments of the daemon.
func TestMain(m *testing.M) {
	if len(os.Args) > 1 && os.Args[1] == "serve" {
		l := syscall.Rlimit{Cur: descriptorLimit, Max: descriptorLimit}
		if err := syscall.Setrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
			panic(err)
		}
		os.Exit(cmds.Main(os.Args[1:], os.Stdout, os.Stderr))
	}
	os.Exit(m.Run())
}

// A row is a crowd at an address, or a fault of the store.
type row struct {
	name  string
	crowd *Crowd
	at    func(*Node) netip.AddrPort
	path  string
	fault fake.Fault
}

func rows() []row {
	var out []row
	for _, place := range []struct {
		name, path string
		at         func(*Node) netip.AddrPort
	}{
		{"served path", "/read/x", (*Node).Callers},
		{"no route", "/other", (*Node).Callers},
		{"readiness", "/-/readyz", (*Node).Ready},
		{"admin", "/metrics", (*Node).Admin},
	} {
		for _, c := range Crowds() {
			out = append(out, row{name: place.name + "/" + c.Name, crowd: &c, at: place.at, path: place.path})
		}
	}
	for _, c := range PeerCrowds() {
		out = append(out, row{name: "peers/" + c.Name, crowd: &c, at: (*Node).Peers})
	}
	for _, f := range []fake.Fault{fake.EndlessBody, fake.EndlessHeader} {
		out = append(out, row{name: "store/" + string(f), fault: f})
	}
	return out
}

// Guards against clients that make the daemon end or hang, take more memory or descriptors than it may have, or keep it
// from serving others. The rows run one after the other, since each observes a whole process.
func TestCrowds(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes, whose memory the race detector multiplies")
	}
	var n *Node
	stop := func() {
		if n != nil {
			n.Stop()
			n = nil
		}
	}
	t.Cleanup(stop)
	for _, r := range rows() {
		t.Run(r.name, func(t *testing.T) {
			if n == nil {
				var err error
				n, err = StartNode(os.Args[0], t.TempDir(), limits)
				qt.Assert(t, err, qt.IsNil)
			}
			u, err := observe(n, r)
			t.Logf("%d MiB, %d descriptors", u.Bytes>>20, u.Descriptors)
			if err != nil {
				t.Error(err)
				// The next row gets a process that this one has not affected.
				stop()
			}
		})
	}
}

// observe returns what the daemon used during a row, and what it did wrong.
func observe(n *Node, r row) (Usage, error) {
	used := n.Watch()
	var leave func()
	if r.crowd != nil {
		leave = r.crowd.Run(context.Background(), r.at(n), r.path, sendPatience)
	} else {
		n.SetStoreFault(r.fault)
		leave = func() { n.SetStoreFault(fake.NoFault) }
		time.Sleep(sendPatience)
	}
	err := n.AwaitService(servicePatience)
	leave()
	u := used()
	if err == nil && u.Bytes > maxMemory {
		err = fmt.Errorf("%d MiB in use, want at most %d", u.Bytes>>20, maxMemory>>20)
	}
	if err == nil && u.Descriptors > maxDescriptors {
		err = fmt.Errorf("%d descriptors in use, want at most %d", u.Descriptors, maxDescriptors)
	}
	return u, err
}

// Guards against limits that refuse a single request inside the limits of the docs in calm, and against one that takes more
// than the memory of the smallest VM leaves to the daemon.
func TestLegalRequests(t *testing.T) {
	if testing.Short() {
		t.Skip("starts processes, whose memory the race detector multiplies")
	}
	const (
		largest    = 64 << 20
		maxMemory  = 160 << 20
		withBodies = "MaxBody = 67108864\nMaxBodyMemory = 67108864\nMaxHeader = 16384\nMemoryMB = 184"
	)
	x := strings.Repeat("x", 1<<20)
	tests := []struct {
		name  string
		crowd Crowd
	}{
		{"largest body", Crowd{Text: func(p string) string {
			return post(p, "Content-Length: 67108864\r\n") + strings.Repeat(x, largest>>20)
		}}},
		{"largest body in small pieces", Crowd{Piece: 4096, Text: func(p string) string {
			return post(p, "Content-Length: 67108864\r\n") + strings.Repeat(x, largest>>20)
		}}},
		{"largest body in chunks", Crowd{Text: func(p string) string {
			return post(p, chunked) + strings.Repeat("100000\r\n"+x+"\r\n", largest>>20) + "0\r\n\r\n"
		}}},
		{"largest header", Crowd{Text: func(p string) string { return get(p, shortFields(16_200)) }}},
		{"slow", Crowd{Slow: true, Piece: 2, Text: func(p string) string { return post(p, "Content-Length: 40\r\n") + x[:40] }}},
	}
	n, err := StartNode(os.Args[0], t.TempDir(), withBodies)
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(n.Stop)
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			used := n.Watch()
			c, err := net.Dial("tcp", n.Callers().String())
			qt.Assert(t, err, qt.IsNil)
			defer c.Close()
			qt.Assert(t, c.SetDeadline(time.Now().Add(20*time.Second)), qt.IsNil)
			test.crowd.send(context.Background(), c, test.crowd.Text("/upload/x"))
			r, err := http.ReadResponse(bufio.NewReader(c), nil)
			qt.Assert(t, err, qt.IsNil)
			defer r.Body.Close()
			qt.Check(t, r.StatusCode, qt.Equals, http.StatusOK)
			bytes := used().Bytes
			t.Logf("%d MiB", bytes>>20)
			qt.Check(t, bytes <= maxMemory, qt.IsTrue, qt.Commentf("%d MiB in use", bytes>>20))
		})
	}
}
