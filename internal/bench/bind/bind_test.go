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
	"jacinthcross/internal/bench/deploy"
	"jacinthcross/platform/fake"
)

// startProcesses continuously starts short-lived processes until the test ends.
func startProcesses(t *testing.T) {
	stop := make(chan struct{})
	var running sync.WaitGroup
	for range 8 {
		running.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
					_ = exec.Command("/bin/true").Run()
				}
			}
		})
	}
	t.Cleanup(func() {
		close(stop)
		running.Wait()
	})
}

// Guards against a simulated service that cannot restart at its address while processes are started: until a new
// process executes its program it holds a copy of the listening socket that was closed. A service that repeatedly fails
// to start exceeds the failure limit of its supervisor, which ends the whole deployment.
func TestListenWhileProcessesStart(t *testing.T) {
	startProcesses(t)
	at, err := deploy.FreeAddress()
	qt.Assert(t, err, qt.IsNil)
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); {
		l, err := bind.Listen(at)
		qt.Assert(t, err, qt.IsNil)
		qt.Assert(t, l.Close(), qt.IsNil)
	}
}

// Guards against a target that cannot restart at its address while processes are started.
func TestTargetRestartsWhileProcessesStart(t *testing.T) {
	site, err := fake.NewSite()
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(site.Close)
	startProcesses(t)
	at, err := deploy.FreeAddress()
	qt.Assert(t, err, qt.IsNil)
	target := &fake.Target{ID: "i-0", Service: "a", DataCentre: "d0", Address: at, Slots: 1}
	for until := time.Now().Add(2 * time.Second); time.Now().Before(until); {
		qt.Assert(t, target.Start(site.Store), qt.IsNil)
		target.Crash()
	}
}

// Guards against waiting indefinitely for an address that another program uses, and against retrying on other errors.
func TestListenFails(t *testing.T) {
	occupied, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { occupied.Close() })
	for _, test := range []struct {
		name        string
		at          netip.AddrPort
		maxDuration time.Duration
		want        string
	}{
		{"in use", occupied.Addr().(*net.TCPAddr).AddrPort(), 4 * time.Second, ".*address already in use.*"},
		{"address of another machine", netip.MustParseAddrPort("192.0.2.1:80"), time.Second, ".*cannot assign.*"},
	} {
		t.Run(test.name, func(t *testing.T) {
			began := time.Now()
			_, err := bind.Listen(test.at)
			qt.Assert(t, err, qt.ErrorMatches, test.want)
			qt.Assert(t, time.Since(began) < test.maxDuration, qt.IsTrue, qt.Commentf("%s", time.Since(began)))
		})
	}
}
