package soak

import (
	"context"
	"fmt"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"jacinthcross/internal/base/mail"
	"jacinthcross/internal/bench/proc"
	"jacinthcross/platform/fake"
)

// buildDaemon builds the daemon and returns its path.
func buildDaemon(b testing.TB) string {
	path := filepath.Join(b.TempDir(), "jacinthcross")
	out, err := exec.Command("go", "build", "-o", path, "jacinthcross").CombinedOutput()
	qt.Assert(b, err, qt.IsNil, qt.Commentf("%s", out))
	return path
}

// startDaemons starts a daemon process for each VM, publishes a route to the service of each VM, and waits until all
// daemons are ready. No faults are injected.
func startDaemons(b testing.TB, program string, vms int) []*node {
	site, err := fake.NewSite()
	qt.Assert(b, err, qt.IsNil)
	b.Cleanup(site.Close)
	inbox := mail.NewBox[message](inboxSize)
	dir := b.TempDir()
	var nodes []*node
	var names []string
	var routes []fake.Route
	for i := range vms {
		name := fmt.Sprintf("s%d", i)
		vm := site.AddVM(name, "d0", targetSlots, 0)
		n, err := newNode(vm, i, site.Store.Address())
		qt.Assert(b, err, qt.IsNil)
		qt.Assert(b, vm.Target.Start(site.Store), qt.IsNil)
		qt.Assert(b, n.startDaemon(program, dir, inbox), qt.IsNil)
		b.Cleanup(n.stop)
		nodes, names = append(nodes, n), append(names, name)
		routes = append(routes, fake.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Timeout: time.Second, TargetLatency: 300 * time.Millisecond, Priority: 1, Attempts: 2,
			Weights: map[string]int{name: 1},
		})
	}
	site.PublishConfig(names, routes...)
	for _, n := range nodes {
		for !n.ready() {
			time.Sleep(readyPollInterval)
		}
	}
	return nodes
}

// cpuTime returns the CPU time that the daemon of a VM has used.
func (n *node) cpuTime(b testing.TB) time.Duration {
	reply := mail.NewBox[int](1)
	qt.Assert(b, n.daemonInbox.TryPut(proc.GetPID{Reply: reply}), qt.IsTrue)
	u, err := proc.ReadUsage(<-reply.C())
	qt.Assert(b, err, qt.IsNil)
	return u.CPU
}

// BenchmarkCall measures the CPU time per call at the daemon that receives it from a caller, which is the first, and
// at the second daemon, less the CPU time of idle daemons. A call to service s0 is handled by the first daemon alone;
// one to s1 passes through both.
func BenchmarkCall(b *testing.B) {
	program := buildDaemon(b)
	for _, rate := range []int{50, 500, 2000} { // calls per second
		for _, path := range []string{"s0", "s1"} {
			b.Run(fmt.Sprintf("%s at %d calls per second", path, rate), func(b *testing.B) {
				nodes := startDaemons(b, program, 2)
				const idle = 3 * time.Second
				var start, idleEnd, end [2]time.Duration
				for i, n := range nodes {
					start[i] = n.cpuTime(b)
				}
				time.Sleep(idle)
				for i, n := range nodes {
					idleEnd[i] = n.cpuTime(b)
				}
				began := time.Now()
				failed := sendCalls(nodes[0], "/"+path+"/x", b.N, rate)
				took := time.Since(began)
				for i, n := range nodes {
					end[i] = n.cpuTime(b)
				}
				qt.Assert(b, failed, qt.Equals, 0)
				for i, name := range []string{"first", "second"} {
					idleCPU := time.Duration(float64(idleEnd[i]-start[i]) * took.Seconds() / idle.Seconds())
					b.ReportMetric(float64((end[i]-idleEnd[i]-idleCPU).Microseconds())/float64(b.N), name+"-us/call")
					b.ReportMetric(float64(idleCPU)/float64(took)*100, name+"-idle-%")
				}
			})
		}
	}
}

// sendCalls sends calls at a rate over persistent connections and returns the number that were not served.
func sendCalls(n *node, path string, calls, rate int) int {
	const connections = targetSlots
	pending := make(chan struct{}, calls)
	var lock sync.Mutex
	var failed int
	var senders sync.WaitGroup
	for range connections {
		senders.Go(func() {
			ctx := context.Background()
			c, err := fake.Dial(ctx, n.vm.Settings.Callers)
			for range pending {
				served := err == nil && c.Send(ctx, fake.Request{Method: "GET", Host: host, Path: path}, callerTimeout).IsSuccess()
				lock.Lock()
				if !served {
					failed++
				}
				lock.Unlock()
			}
		})
	}
	began := time.Now()
	for i := range calls {
		time.Sleep(time.Until(began.Add(time.Duration(i) * time.Second / time.Duration(rate))))
		pending <- struct{}{}
	}
	close(pending)
	senders.Wait()
	return failed
}

// BenchmarkReady measures the time from the start of a process until it first reports that it is ready.
func BenchmarkReady(b *testing.B) {
	program := buildDaemon(b)
	nodes := startDaemons(b, program, 8)
	n := nodes[0]
	b.ResetTimer()
	var sum, most time.Duration
	for range b.N {
		process := n.processNumber.Load()
		n.commands <- commandKill
		for n.processNumber.Load() == process {
			time.Sleep(time.Millisecond)
		}
		began := time.Now()
		for !n.ready() {
			time.Sleep(time.Millisecond)
		}
		took := time.Since(began)
		sum, most = sum+took, max(most, took)
	}
	b.ReportMetric(float64(sum.Microseconds())/1000/float64(b.N), "ready-ms")
	b.ReportMetric(float64(most.Microseconds())/1000, "longest-ms")
}
