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

// programOf builds the daemon.
func programOf(b testing.TB) string {
	path := filepath.Join(b.TempDir(), "jacinthcross")
	out, err := exec.Command("go", "build", "-o", path, "jacinthcross").CombinedOutput()
	qt.Assert(b, err, qt.IsNil, qt.Commentf("%s", out))
	return path
}

// calm starts the daemons of VMs as processes, with a route to each VM's service, and waits until all are ready.
func calm(b testing.TB, program string, vms int) []*node {
	site, err := fake.NewSite()
	qt.Assert(b, err, qt.IsNil)
	b.Cleanup(site.Close)
	inbox := mail.NewBox[message](mailbox)
	folder := b.TempDir()
	var nodes []*node
	var names []string
	var routes []fake.Route
	for i := range vms {
		name := fmt.Sprintf("s%d", i)
		vm := site.Add(name, "d0", slots, 0)
		n, err := newNode(vm, i, site.Store.Address())
		qt.Assert(b, err, qt.IsNil)
		qt.Assert(b, vm.Target.Start(site.Store), qt.IsNil)
		qt.Assert(b, n.run(program, folder, inbox), qt.IsNil)
		b.Cleanup(n.stop)
		nodes, names = append(nodes, n), append(names, name)
		routes = append(routes, fake.Route{
			Name: name, Host: host, Prefix: "/" + name + "/", Timeout: time.Second, Aim: 300 * time.Millisecond, Priority: 1, Attempts: 2,
			Split: map[string]int{name: 1},
		})
	}
	site.Publish(names, routes...)
	for _, n := range nodes {
		for !n.ready() {
			time.Sleep(readyGap)
		}
	}
	return nodes
}

// spent returns the processor time of a VM's daemon.
func (n *node) spent(b testing.TB) time.Duration {
	reply := mail.NewBox[int](1)
	qt.Assert(b, n.daemon.TryPut(proc.AskPID{Reply: reply}), qt.IsTrue)
	u, err := proc.ReadUsage(<-reply.C())
	qt.Assert(b, err, qt.IsNil)
	return u.CPU
}

// BenchmarkCall measures the processor time of a call at the daemon that a caller asks and at the one beside the
// target, less what both spend without calls. A call goes to the target of the first VM, then one daemon carries it,
// or of the second.
func BenchmarkCall(b *testing.B) {
	program := programOf(b)
	for _, rate := range []int{50, 500, 2000} {
		for _, path := range []string{"s0", "s1"} {
			b.Run(fmt.Sprintf("%s at %d a second", path, rate), func(b *testing.B) {
				nodes := calm(b, program, 2)
				const idle = 3 * time.Second
				var before, base, after [2]time.Duration
				for i, n := range nodes {
					before[i] = n.spent(b)
				}
				time.Sleep(idle)
				for i, n := range nodes {
					base[i] = n.spent(b)
				}
				began := time.Now()
				failed := send(nodes[0], "/"+path+"/x", b.N, rate)
				took := time.Since(began)
				for i, n := range nodes {
					after[i] = n.spent(b)
				}
				qt.Assert(b, failed, qt.Equals, 0)
				for i, name := range []string{"first", "second"} {
					without := time.Duration(float64(base[i]-before[i]) * took.Seconds() / idle.Seconds())
					b.ReportMetric(float64((after[i]-base[i]-without).Microseconds())/float64(b.N), name+"-us/call")
					b.ReportMetric(float64(without)/float64(took)*100, name+"-idle-%")
				}
			})
		}
	}
}

// send sends calls at a rate over kept connections and returns how many were not served.
func send(n *node, path string, calls, rate int) int {
	const connections = slots
	due := make(chan struct{}, calls)
	var lock sync.Mutex
	var failed int
	var senders sync.WaitGroup
	for range connections {
		senders.Go(func() {
			ctx := context.Background()
			c, err := fake.Dial(ctx, n.vm.Settings.Callers)
			for range due {
				served := err == nil && c.Do(ctx, fake.Request{Method: "GET", Host: host, Path: path}, allowed).Whole()
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
		due <- struct{}{}
	}
	close(due)
	senders.Wait()
	return failed
}

// BenchmarkReady measures the time from the start of a process to its first answer that it is ready.
func BenchmarkReady(b *testing.B) {
	program := programOf(b)
	nodes := calm(b, program, 8)
	n := nodes[0]
	b.ResetTimer()
	var sum, most time.Duration
	for range b.N {
		process := n.process.Load()
		n.asks <- askKill
		for n.process.Load() == process {
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
