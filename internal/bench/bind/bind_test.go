package bind_test

import (
	"net"
	"net/netip"
	"os/exec"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/bench/bind"
	"jacinthcross/internal/bench/stage"
	"jacinthcross/platform/fake"
)

// startProcesses starts processes one after the other until the test ends.
func startProcesses(t *testing.T) {
	end := make(chan struct{})
	var starts sync.WaitGroup
	for range 8 {
		starts.Go(func() {
			for {
				select {
				case <-end:
					return
				default:
					_ = exec.Command("/bin/true").Run()
				}
			}
		})
	}
	t.Cleanup(func() {
		close(end)
		starts.Wait()
	})
}

// Guards against a stand-in that cannot start again at its address while processes are started: until a new process
// runs its program, it holds a copy of the listening socket that was closed. A stand-in that fails some times in a row
// ends the whole stage.
func TestListenWhileProcessesStart(t *testing.T) {
	startProcesses(t)
	at, err := stage.FreeAddress()
	qt.Assert(t, err, qt.IsNil)
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); {
		l, err := bind.Listen(at)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, l.Close(), qt.IsNil)
	}
}

// Guards against a target that cannot start again at its address while processes are started.
func TestTargetStartsAgainWhileProcessesStart(t *testing.T) {
	site, err := fake.NewSite()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(site.Close)
	startProcesses(t)
	at, err := stage.FreeAddress()
	qt.Assert(t, err, qt.IsNil)
	target := &fake.Target{ID: "i-0", Service: "a", DataCentre: "d0", At: at, Slots: 1}
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); {
		qt.Assert(t, target.Start(site.Store), qt.IsNil)
		target.Stop()
	}
}

// Guards against a wait for an address that another program keeps, and for errors of another kind.
func TestListenFails(t *testing.T) {
	kept, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { kept.Close() })
	for _, test := range []struct {
		name string
		at   netip.AddrPort
		most time.Duration
		want string
	}{
		{"in use", kept.Addr().(*net.TCPAddr).AddrPort(), 4 * time.Second, ".*address already in use.*"},
		{"of another machine", netip.MustParseAddrPort("192.0.2.1:80"), time.Second, ".*cannot assign.*"},
	} {
		t.Run(test.name, func(t *testing.T) {
			began := time.Now()
			_, err := bind.Listen(test.at)
			qt.Assert(t, err, qt.ErrorMatches, test.want)
			qt.Assert(t, time.Since(began) < test.most, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
		})
	}
}
