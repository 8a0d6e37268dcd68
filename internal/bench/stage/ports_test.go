package stage

import (
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against two processes that take the same ports, and against addresses of the sites of platform/fake, whose
// VMs and relays are in 127.1 to 127.3.
func TestHostIsOfOneProcess(t *testing.T) {
	const processes = 1 << 17
	taken := map[netip.Addr]int{}
	for pid := 1; pid < processes; pid++ {
		a := hostOf(pid)
		qt.Assert(t, a.IsLoopback() && a.As4()[1] > 3, qt.IsTrue, qt.Commentf("%s", a))
		other, found := taken[a]
		qt.Assert(t, found, qt.IsFalse, qt.Commentf("%s is of %d and of %d", a, other, pid))
		taken[a] = pid
	}
}
