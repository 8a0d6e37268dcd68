package deploy

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against two processes with the same loopback address, and against addresses in the networks 127.0.0.0/16 to
// 127.3.0.0/16, which the VMs of platform/fake and the proxies of package soak use.
func TestHostIsUniquePerProcess(t *testing.T) {
	const processes = 1 << 17
	taken := map[netip.Addr]int{}
	for pid := 1; pid < processes; pid++ {
		a := hostForPID(pid)
		qt.Assert(t, a.IsLoopback() && a.As4()[1] > 3, qt.IsTrue, qt.Commentf("%s", a))
		other, found := taken[a]
		qt.Assert(t, found, qt.IsFalse, qt.Commentf("PIDs %[2]d and %[3]d both have address %[1]s", a, other, pid))
		taken[a] = pid
	}
}
